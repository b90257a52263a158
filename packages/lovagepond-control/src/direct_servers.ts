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
import {type Proposed, type Proposer} from './proposer.js';

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
export interface DirectServersDependencies {
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
  readonly #deps: DirectServersDependencies;
  /** Numbers of the last announcements, by server. */
  #sequences = new Map<string, number>();
  #isOpeningPlaces = false;

  constructor(dependencies: DirectServersDependencies) {
    this.#deps = dependencies;
  }

  /** @returns the servers of the table, for a leader that takes over */
  replicatedServers(): readonly Announcement[] {
    return this.#deps.machine.directServers.list().map(toAnnouncement);
  }

  /**
   * @param announcement the announcement
   * @returns the answer; not accepted by any other member than the leader
   */
  async announce(
    announcement: DirectAnnouncement,
  ): Promise<AnnouncementAnswer> {
    if (!this.#canServe()) return this.#refuse();
    if (!this.#isKnownPool(announcement.pool)) return {kind: 'unknownPool'};
    const name = instanceName(announcement);
    // A late announcement must not bring back an earlier state.
    const isLate = announcement.sequence <= (this.#sequences.get(name) ?? -1);
    if (isLate && !announcement.leaving) return {kind: 'accepted'};
    this.#sequences.set(name, announcement.sequence);
    const committed = await this.#commit(announcement);
    if (committed.kind !== 'committed') return this.#toFailure(committed);
    if (!this.#canServe()) return this.#refuse();
    this.#renew(name);
    return {kind: 'accepted'};
  }

  /**
   * A server says that it is gone, or leaves without having said so before.
   *
   * @param instance the server; without a start the life that is known
   * @returns the answer; not accepted by any other member than the leader
   */
  async remove(instance: ServerInstance): Promise<AnnouncementAnswer> {
    if (!this.#canServe()) return this.#refuse();
    const {machine, proposer, registry, clock} = this.#deps;
    const knownName = machine.directServers.nameOf(instance.incarnation);
    const isAnyInstance = instance.startedAtMs === undefined;
    const name =
      (isAnyInstance ? knownName : undefined) ?? instanceName(instance);
    const ended = await proposer.propose(END_SERVER_COMMAND, {name});
    if (ended.kind !== 'committed') return this.#toFailure(ended);
    if (!this.#canServe()) return this.#refuse();
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
    const {machine, proposer} = this.#deps;
    const table = machine.directServers;
    const names = lapsed.filter(name => table.get(name));
    if (names.length > 0) {
      await proposer.propose(DROP_SERVERS_COMMAND, {names});
      this.#publishTable();
    }
    if (
      this.#isOpeningPlaces ||
      !table.hasPlacesToOpen(machine.time.stamp(now))
    ) {
      return;
    }
    this.#isOpeningPlaces = true;
    try {
      await proposer.propose(OPEN_PLACES_COMMAND, {});
      this.#publishTable();
    } finally {
      this.#isOpeningPlaces = false;
    }
  }

  /**
   * What names a pool that nobody configured may come from another writer, and
   * would put the server out that answers at its address.
   */
  #isKnownPool(pool: string): boolean {
    const {content} = this.#deps.machine.configuration.current.read();
    const {pools} = content;
    return pools.length === 0 || pools.some(({name}) => name === pool);
  }

  #canServe(): boolean {
    return this.#deps.proposer.leads() && this.#deps.hasTakenOver();
  }

  #refuse(): AnnouncementAnswer {
    const leader = this.#deps.proposer.leaderAddress();
    return {kind: 'notLeader', leader};
  }

  #toFailure(outcome: {readonly kind: string}): AnnouncementAnswer {
    return outcome.kind === 'unknown' ? {kind: 'unknown'} : this.#refuse();
  }

  /** Proposes what the table lacks; most announcements only renew. */
  async #commit(announcement: DirectAnnouncement): Promise<Proposed<unknown>> {
    const {machine, proposer} = this.#deps;
    const name = instanceName(announcement);
    const table = machine.directServers;
    let outcome: Proposed<unknown> = {kind: 'committed', value: {}};
    if (!table.get(name)) {
      const server = toJoiningServer(announcement);
      outcome = await proposer.propose(JOIN_SERVER_COMMAND, {server});
    }
    if (outcome.kind === 'committed' && announcement.leaving) {
      if (table.get(name)?.leaving) return outcome;
      outcome = await proposer.propose(LEAVE_SERVER_COMMAND, {name});
    }
    return outcome;
  }

  #renew(name: string): void {
    const {registry, machine, clock} = this.#deps;
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
    const {machine, registry, publish, clock} = this.#deps;
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
export type ServerInstance = Pick<
  DirectAnnouncement,
  'incarnation' | 'startedAtMs'
>;

/**
 * Each life is a server of its own everywhere: what is known of the one before,
 * such as its warm prompts, its load and its pauses, ends with its name.
 */
function instanceName({incarnation, startedAtMs}: ServerInstance): string {
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

function toJoiningServer(
  announcement: DirectAnnouncement,
): DirectServerRecord['server'] {
  return {
    name: instanceName(announcement),
    incarnation: announcement.incarnation,
    startedAtMs: announcement.startedAtMs,
    pool: announcement.pool,
    labels: {version: announcement.version},
    availabilityZone: announcement.availabilityZone,
    region: announcement.region,
    address: announcement.address,
    capacityTokens: 0,
    models: announcement.models,
    directSlots: announcement.slots,
  };
}
