/**
 * Replicated table of backend servers without a sidecar.
 *
 * As the table is replicated, gateways have servers right after a restart of
 * all members, before the servers announce themselves again, and the notice
 * that a server is leaving survives the loss of the leader.
 *
 * The table also assigns places. A place is a stable hash key to which gateways
 * assign prompts, and it passes as a whole from a leaving server to its
 * successor. Assigned by server name, a share of all prompts would move to each
 * new server and be processed again, although another server still caches them.
 */
import {type BackendServer} from '@lovagepond/core';

/** A server as it joined. */
export type JoiningServer = Omit<
  BackendServer,
  'slot' | 'state' | 'place' | 'warmUp'
> & {
  /**
   * Start of this instance, milliseconds since the Unix epoch. It distinguishes
   * instances when a server restarts under the same incarnation.
   */
  readonly startedAtMs?: number | undefined;
  /**
   * Routers that issue permits for it while it is warming up. Replicated, as
   * routers that follow different leaders must not add up to more than the limit.
   */
  readonly warmUpRouters?: readonly string[];
};

/** One server of the table. */
export interface DirectServerRecord {
  readonly server: JoiningServer;
  readonly leaving: boolean;
  /** Empty for a standby, which has no place yet, and for a leaving server. */
  readonly place: string;
  /** Replicated time of the join, milliseconds. */
  readonly joinedAtMs: number;
}

interface VacantPlace {
  readonly pool: string;
  readonly place: string;
  readonly sinceMs: number;
}

export interface DirectServerSnapshot {
  readonly records: readonly DirectServerRecord[];
  readonly vacant: readonly VacantPlace[];
  readonly ended: readonly string[];
  /** Start of each incarnation's latest instance; absent in old snapshots. */
  readonly lives?: readonly (readonly [string, number])[];
}

/**
 * Servers that join within this time after the first server of their pool get
 * a place immediately; milliseconds.
 */
const INITIAL_JOIN_WINDOW_MS = 10_000;

/**
 * A server that joins later, with no place vacant, is a standby for this time:
 * the server that it replaces leaves within seconds. Then it gets its own
 * place; milliseconds.
 */
const STANDBY_MS = 8_000;

/**
 * A place vacant for this time is discarded: other servers hold its prompts by
 * then, and moving these back would have them processed again; milliseconds.
 */
const VACANCY_RETENTION_MS = 8_000;

/** Limit of ended servers that are recorded, so that none joins again. */
const MAX_ENDED = 2_048;

/** Limit of incarnations whose latest start is recorded for the same reason. */
const MAX_STARTS = 2_048;

/** @returns true if routers were named for the server's warm-ups */
export function hasWarmUpRouters({server}: DirectServerRecord): boolean {
  return (server.warmUpRouters ?? []).length > 0;
}

/** Servers and their places. Part of the replicated state. */
export class DirectServerTable {
  readonly #records = new Map<string, DirectServerRecord>();
  readonly #ended = new Set<string>();
  readonly #starts = new Map<string, number>();
  #vacant: VacantPlace[] = [];

  /** True if no server has ever joined. */
  get isUnused(): boolean {
    return this.#records.size === 0 && this.#ended.size === 0;
  }

  /** @returns all servers, in the order of joining */
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
   * Adds a server, unless it has ended or a later instance of it is known. A
   * partition may delay an announcement until after its sender has ended; if it
   * were accepted, it would remove the server now running at that address.
   *
   * @param server a server, which may be in the table already
   * @param timeMs replicated time
   */
  join(server: JoiningServer, timeMs: number): void {
    if (this.#records.has(server.name) || this.#ended.has(server.name)) return;
    if (this.#isFormerInstance(server)) return;
    this.#recordStart(server);
    // A server has ended when another one joins at its address, or when a later
    // instance of its incarnation joins at any address.
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
   * @param incarnation a server's incarnation
   * @returns the name of its instance in the table, if any
   */
  nameOf(incarnation: string): string | undefined {
    const records = this.list();
    return records.find(({server}) => server.incarnation === incarnation)
      ?.server.name;
  }

  /**
   * Marks a server as leaving and passes its place on.
   *
   * @param name the server
   * @param timeMs replicated time
   */
  leave(name: string, timeMs: number): void {
    const record = this.#records.get(name);
    if (!record) return;
    this.#records.set(name, {...record, leaving: true, place: ''});
    this.#reassignPlace(record, timeMs);
  }

  /**
   * @param name a server; its routers stay as they are if it has some
   * @param routers routers that issue its permits while it is warming up
   */
  nameWarmUpRouters(name: string, routers: readonly string[]): void {
    const record = this.#records.get(name);
    if (!record || hasWarmUpRouters(record)) return;
    const server = {...record.server, warmUpRouters: routers};
    this.#records.set(name, {...record, server});
  }

  /**
   * @param name the server, which never joins again
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
   * Removes a server that may join again, such as one whose lease expired.
   *
   * @param name the server
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
   * Assigns places to servers that have been standbys for long enough, and
   * discards places that have been vacant for too long.
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

  /** @param snapshot the result of {@link snapshot}; absent in older ones */
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

  /**
   * @returns true when a later instance of the incarnation is known. This holds
   *     for any announcement without a start once the incarnation has reported
   *     one: such an announcement can't come from the server itself.
   */
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
