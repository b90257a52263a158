/**
 * Backend servers without a sidecar, as all members agree on them.
 *
 * Without the table a restart of all members would leave gateways without any
 * server until each has announced itself again, and a leader lost right after
 * it heard that a server leaves would take that knowledge with it.
 *
 * The table also gives out places. Prompts have their home at a place, and a
 * place moves from a leaving server to its successor as a whole. With homes
 * tied to servers' names, each newcomer would draw a share of all prompts to
 * itself, and have them read again although a server still holds them.
 */
import {type BackendServer} from '@lovagepond/core';

/** A server as it joined. */
export type JoiningServer = Omit<BackendServer, 'slot' | 'state' | 'place'> & {
  /**
   * Start of this life, milliseconds since the Unix epoch: tells lives of one
   * incarnation apart, in which a server may start again.
   */
  readonly startedAtMs?: number | undefined;
};

/** One server of the table. */
export interface DirectServerRecord {
  readonly server: JoiningServer;
  readonly leaving: boolean;
  /** Empty while it stands by without a place. */
  readonly place: string;
  /** Replicated time, milliseconds. */
  readonly joinedAtMs: number;
}

interface VacantPlace {
  readonly pool: string;
  readonly place: string;
  readonly sinceMs: number;
}

/** Serialized form. */
export interface DirectServerSnapshot {
  readonly records: readonly DirectServerRecord[];
  readonly vacant: readonly VacantPlace[];
  readonly ended: readonly string[];
  /** Start of the newest life of each incarnation; absent in older ones. */
  readonly lives?: readonly (readonly [string, number])[];
}

/**
 * Servers that join within this time of a pool's first one found the pool
 * together, and each has a place at once; milliseconds.
 */
const INITIAL_JOIN_WINDOW_MS = 10_000;

/**
 * A newcomer stands by for so long, as the server that it takes over from
 * leaves within seconds; then it gets a place of its own. Milliseconds.
 */
const STANDBY_MS = 8_000;

/**
 * After this time without a server the prompts of a place have new homes, and
 * to move them back would have them read once more; milliseconds.
 */
const VACANCY_RETENTION_MS = 8_000;

/** Servers that ended, remembered so that none is brought back; bounded. */
const MAX_ENDED = 2_048;

/** Incarnations whose newest life is remembered, for the same reason. */
const MAX_STARTS = 2_048;

/** Servers and places. Part of the replicated state. */
export class DirectServerTable {
  readonly #records = new Map<string, DirectServerRecord>();
  readonly #ended = new Set<string>();
  readonly #starts = new Map<string, number>();
  #vacant: VacantPlace[] = [];

  /** @returns all servers, in the order in which they joined */
  list(): readonly DirectServerRecord[] {
    return [...this.#records.values()];
  }

  /**
   * @param name a server
   * @returns its record while it is in the table
   */
  get(name: string): DirectServerRecord | undefined {
    return this.#records.get(name);
  }

  /**
   * Takes a server in, unless it ended or a later life of it is known: an
   * announcement that a partition held up may arrive after its sender's end,
   * and would put the server out that now answers at its address.
   *
   * @param server a server that is new to the table
   * @param timeMs replicated time
   */
  join(server: JoiningServer, timeMs: number): void {
    if (this.#records.has(server.name) || this.#ended.has(server.name)) return;
    if (this.#isFormerInstance(server)) return;
    this.#recordStart(server);
    // A new server at an address means that the one before has ended, as does
    // a later life of an incarnation, wherever it is.
    for (const {server: former} of this.list()) {
      const isSame = former.incarnation === server.incarnation;
      const isAtAddress = former.address === server.address;
      if (isSame || isAtAddress) this.end(former.name, timeMs);
    }
    const place =
      this.#claimVacantPlace(server.pool) ??
      this.#choosePlaceOnJoin(server, timeMs);
    const record = {server, leaving: false, place, joinedAtMs: timeMs};
    this.#records.set(server.name, record);
  }

  /**
   * @param incarnation a server's
   * @returns the name of the life of it that is in the table
   */
  nameOf(incarnation: string): string | undefined {
    const records = this.list();
    return records.find(({server}) => server.incarnation === incarnation)
      ?.server.name;
  }

  /**
   * @param name a server that says it leaves
   * @param timeMs replicated time
   */
  leave(name: string, timeMs: number): void {
    const record = this.#records.get(name);
    if (!record) return;
    this.#records.set(name, {...record, leaving: true, place: ''});
    this.#reassignPlace(record, timeMs);
  }

  /**
   * @param name a server that is gone for good
   * @param timeMs replicated time
   */
  end(name: string, timeMs: number): void {
    this.drop(name, timeMs);
    this.#ended.add(name);
    for (const oldest of this.#ended) {
      if (this.#ended.size <= MAX_ENDED) return;
      this.#ended.delete(oldest);
    }
  }

  /**
   * @param name a server that went silent; it may announce itself again
   * @param timeMs replicated time
   */
  drop(name: string, timeMs: number): void {
    const record = this.#records.get(name);
    if (!record) return;
    this.#records.delete(name);
    this.#reassignPlace(record, timeMs);
  }

  /**
   * @param timeMs replicated time
   * @returns true when {@link openPlaces} would change something
   */
  hasPlacesToOpen(timeMs: number): boolean {
    return this.#dueStandbys(timeMs).length > 0 || this.#hasLapsed(timeMs);
  }

  /**
   * Gives places to servers that stood by long enough, and closes those that
   * have been vacant for long.
   *
   * @param timeMs replicated time
   */
  openPlaces(timeMs: number): void {
    this.#vacant = this.#vacant.filter(
      ({sinceMs}) => timeMs - sinceMs < VACANCY_RETENTION_MS,
    );
    for (const record of this.#dueStandbys(timeMs)) {
      const {name, pool} = record.server;
      const place = this.#claimVacantPlace(pool) ?? name;
      this.#records.set(name, {...record, place});
    }
  }

  /** @returns the serialized form */
  snapshot(): DirectServerSnapshot {
    const ended = [...this.#ended];
    const lives = [...this.#starts];
    return {records: this.list(), vacant: this.#vacant, ended, lives};
  }

  /** @param snapshot what {@link snapshot} gave; absent in older ones */
  restore(snapshot: DirectServerSnapshot | undefined): void {
    this.#records.clear();
    for (const record of snapshot?.records ?? []) {
      this.#records.set(record.server.name, record);
    }
    this.#vacant = [...(snapshot?.vacant ?? [])];
    this.#ended.clear();
    for (const name of snapshot?.ended ?? []) this.#ended.add(name);
    this.#starts.clear();
    for (const [name, at] of snapshot?.lives ?? []) this.#starts.set(name, at);
  }

  /** One without a start, of an incarnation that tells it, is another's word. */
  #isFormerInstance({incarnation, startedAtMs = 0}: JoiningServer): boolean {
    return startedAtMs < (this.#starts.get(incarnation) ?? 0);
  }

  #recordStart({incarnation, startedAtMs}: JoiningServer): void {
    if (startedAtMs === undefined) return;
    this.#starts.delete(incarnation);
    this.#starts.set(incarnation, startedAtMs);
    for (const oldest of this.#starts.keys()) {
      if (this.#starts.size <= MAX_STARTS) return;
      this.#starts.delete(oldest);
    }
  }

  #dueStandbys(timeMs: number): DirectServerRecord[] {
    return this.list().filter(
      ({leaving, place, joinedAtMs}) =>
        !leaving && place === '' && timeMs - joinedAtMs >= STANDBY_MS,
    );
  }

  #hasLapsed(timeMs: number): boolean {
    return this.#vacant.some(
      ({sinceMs}) => timeMs - sinceMs >= VACANCY_RETENTION_MS,
    );
  }

  #choosePlaceOnJoin({name, pool}: JoiningServer, timeMs: number): string {
    const joinTimes = this.list()
      .filter(({server}) => server.pool === pool)
      .map(({joinedAtMs}) => joinedAtMs);
    const isInitialJoin =
      timeMs - Math.min(timeMs, ...joinTimes) < INITIAL_JOIN_WINDOW_MS;
    return isInitialJoin ? name : '';
  }

  #claimVacantPlace(pool: string): string | undefined {
    const at = this.#vacant.findIndex(vacant => vacant.pool === pool);
    return at < 0 ? undefined : this.#vacant.splice(at, 1)[0]?.place;
  }

  #reassignPlace(
    {server: {pool}, place}: DirectServerRecord,
    timeMs: number,
  ): void {
    if (place === '') return;
    const successor = this.list().find(
      record =>
        record.server.pool === pool && !record.leaving && record.place === '',
    );
    if (successor) {
      this.#records.set(successor.server.name, {...successor, place});
    } else {
      this.#vacant.push({pool, place, sinceMs: timeMs});
    }
  }
}
