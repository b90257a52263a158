/**
 * Backend servers that announce themselves, without a sidecar.
 *
 * Who is there and who leaves is committed to the log before it is answered;
 * that a server is still alive is soft state of the leader, as with sidecars.
 */
import {type Clock, SERVER_STATE, type ServerState} from '@lovagepond/core';
import {
  DROP_SERVERS_COMMAND,
  END_SERVER_COMMAND,
  JOIN_SERVER_COMMAND,
  LEAVE_SERVER_COMMAND,
  OPEN_PLACES_COMMAND,
} from './control_commands.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type DirectServerRecord} from './direct_server_table.js';
import {
  type Announcement,
  type MembershipRegistry,
} from './membership_registry.js';
import {type ProposalResult, type Proposer} from './proposer.js';

/** What a server says of itself. */
export interface DirectAnnouncement {
  /** The name under which the server answers; it may start again under it. */
  readonly incarnation: string;
  /**
   * Start of this life, milliseconds since the Unix epoch; undefined where
   * each start has an incarnation of its own.
   */
  readonly startedAtMs: number | undefined;
  readonly pool: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Requests that it processes at once. */
  readonly slots: number;
  readonly version: string;
  readonly models: readonly string[];
  readonly leaving: boolean;
  /** Rises with each announcement, so that a late one is recognised. */
  readonly sequence: number;
}

/** What became of an announcement. */
export type AnnouncementAnswer =
  | {readonly kind: 'accepted'}
  /** The configuration in force has no such pool. */
  | {readonly kind: 'unknownPool'}
  | {readonly kind: 'notLeader'; readonly leader: string}
  /** It may have been committed: the server says it again. */
  | {readonly kind: 'unknown'};

/** What the class is built from. */
export interface DirectServersParts {
  readonly clock: Clock;
  readonly machine: ControlStateMachine;
  readonly registry: MembershipRegistry;
  readonly proposer: Proposer;
  /** @returns true once the registry has been taken over in this term */
  readonly hasTakenOver: () => boolean;
  /** Sends subscribers what changed, at once. */
  readonly publish: () => void;
}

/** Takes announcements at the leader. */
export class DirectServers {
  readonly #parts: DirectServersParts;
  /** Numbers of the last announcements, by server. */
  #sequences = new Map<string, number>();
  #opening = false;

  constructor(parts: DirectServersParts) {
    this.#parts = parts;
  }

  /** @returns the servers of the table, for a leader that takes over */
  known(): readonly Announcement[] {
    return this.#parts.machine.directServers.list().map(toAnnouncement);
  }

  /**
   * @param said the announcement
   * @returns the answer; not accepted by any other member than the leader
   */
  async announce(said: DirectAnnouncement): Promise<AnnouncementAnswer> {
    if (!this.#serves()) return this.#refuse();
    if (!this.#isKnownPool(said.pool)) return {kind: 'unknownPool'};
    const name = nameOfLife(said);
    // A late announcement must not bring back an earlier state.
    const isLate = said.sequence <= (this.#sequences.get(name) ?? -1);
    if (isLate && !said.leaving) return {kind: 'accepted'};
    this.#sequences.set(name, said.sequence);
    const committed = await this.#commit(said);
    if (committed.kind !== 'committed') return this.#explain(committed);
    if (!this.#serves()) return this.#refuse();
    this.#renew(name);
    return {kind: 'accepted'};
  }

  /**
   * A server says that it is gone, or leaves without having said so before.
   *
   * @param gone the server; without a start the life that is known
   * @returns the answer; not accepted by any other member than the leader
   */
  async remove(gone: ServerLife): Promise<AnnouncementAnswer> {
    if (!this.#serves()) return this.#refuse();
    const {machine, proposer, registry, clock} = this.#parts;
    const known = machine.directServers.nameOf(gone.incarnation);
    const isAnyLife = gone.startedAtMs === undefined;
    const name = (isAnyLife ? known : undefined) ?? nameOfLife(gone);
    const ended = await proposer.propose(END_SERVER_COMMAND, {name});
    if (ended.kind !== 'committed') return this.#explain(ended);
    if (!this.#serves()) return this.#refuse();
    registry.remove(name, clock.now());
    this.#publishTable();
    return {kind: 'accepted'};
  }

  /**
   * Follows what the registry found, and opens places that are due.
   *
   * @param lapsed servers that went silent
   * @param now monotonic milliseconds
   */
  async tick(lapsed: readonly string[], now: number): Promise<void> {
    const {machine, proposer} = this.#parts;
    const table = machine.directServers;
    const names = lapsed.filter(name => table.get(name));
    if (names.length > 0) {
      await proposer.propose(DROP_SERVERS_COMMAND, {names});
      this.#publishTable();
    }
    if (this.#opening || !table.hasPlacesToOpen(machine.time.stamp(now))) {
      return;
    }
    this.#opening = true;
    try {
      await proposer.propose(OPEN_PLACES_COMMAND, {});
      this.#publishTable();
    } finally {
      this.#opening = false;
    }
  }

  /**
   * What names a pool that nobody configured may come from another writer, and
   * would put the server out that answers at its address.
   */
  #isKnownPool(pool: string): boolean {
    const {content} = this.#parts.machine.configuration.current.read();
    const {pools} = content;
    return pools.length === 0 || pools.some(({name}) => name === pool);
  }

  #serves(): boolean {
    return this.#parts.proposer.leads() && this.#parts.hasTakenOver();
  }

  #refuse(): AnnouncementAnswer {
    const leader = this.#parts.proposer.leaderAddress();
    return {kind: 'notLeader', leader};
  }

  #explain(outcome: {readonly kind: string}): AnnouncementAnswer {
    return outcome.kind === 'unknown' ? {kind: 'unknown'} : this.#refuse();
  }

  /** Proposes what the table lacks; most announcements only renew. */
  async #commit(said: DirectAnnouncement): Promise<ProposalResult<unknown>> {
    const {machine, proposer} = this.#parts;
    const name = nameOfLife(said);
    const table = machine.directServers;
    let outcome: ProposalResult<unknown> = {kind: 'committed', value: {}};
    if (!table.get(name)) {
      const server = toJoining(said);
      outcome = await proposer.propose(JOIN_SERVER_COMMAND, {server});
    }
    if (outcome.kind === 'committed' && said.leaving) {
      if (table.get(name)?.leaving) return outcome;
      outcome = await proposer.propose(LEAVE_SERVER_COMMAND, {name});
    }
    return outcome;
  }

  #renew(name: string): void {
    const {registry, machine, clock} = this.#parts;
    const record = machine.directServers.get(name);
    // It ended while its announcement was on the way.
    if (!record) return;
    const wanted = machine.wanted.get(name);
    const isNew = !registry.has(name);
    registry.announce(toAnnouncement(record), wanted, clock.now());
    if (isNew || record.leaving) this.#publishTable();
  }

  /** A change of one server may have given or taken others' places. */
  #publishTable(): void {
    const {machine, registry, publish, clock} = this.#parts;
    const table = machine.directServers;
    for (const record of table.list()) {
      const {name} = record.server;
      // Otherwise the registry decides: it may hold a server that flaps.
      const leaving = record.leaving && {state: SERVER_STATE.DRAINING};
      registry.update(name, {place: record.place, ...leaving});
    }
    for (const {server} of registry.list()) {
      if (server.directSlots === undefined || table.get(server.name)) continue;
      registry.remove(server.name, clock.now());
      this.#sequences.delete(server.name);
    }
    publish();
  }
}

/** One life of a server. */
export type ServerLife = Pick<
  DirectAnnouncement,
  'incarnation' | 'startedAtMs'
>;

/**
 * Each life is a server of its own everywhere: what is known of the one before,
 * such as its warm prompts, its load and its pauses, ends with its name.
 */
function nameOfLife({incarnation, startedAtMs}: ServerLife): string {
  return startedAtMs === undefined
    ? incarnation
    : `${incarnation}@${startedAtMs}`;
}

function stateOf({leaving}: DirectServerRecord): ServerState {
  return leaving ? SERVER_STATE.DRAINING : SERVER_STATE.READY;
}

function toAnnouncement(record: DirectServerRecord): Announcement {
  return {
    ...record.server,
    state: stateOf(record),
    place: record.place,
    runningTokens: 0,
    queuedTokens: 0,
  };
}

function toJoining(said: DirectAnnouncement): DirectServerRecord['server'] {
  return {
    name: nameOfLife(said),
    incarnation: said.incarnation,
    startedAtMs: said.startedAtMs,
    pool: said.pool,
    labels: {version: said.version},
    availabilityZone: said.availabilityZone,
    region: said.region,
    address: said.address,
    capacityTokens: 0,
    models: said.models,
    directSlots: said.slots,
  };
}
