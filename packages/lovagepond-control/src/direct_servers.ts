/**
 * Handles backend servers that announce themselves, without a sidecar.
 *
 * Joining and leaving are committed to the log before they are acknowledged.
 * The renewal of a server's lease is soft state of the leader, as it is for
 * servers with a sidecar.
 */
import {
  type Clock,
  isDirect,
  type Pool,
  SERVER_STATE,
  type ServerState,
  type WarmUp,
} from '@lovagepond/core';
import {
  DROP_SERVERS_COMMAND,
  END_SERVER_COMMAND,
  JOIN_SERVER_COMMAND,
  LEAVE_SERVER_COMMAND,
  OPEN_PLACES_COMMAND,
} from './control_commands.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type ConvergenceTable} from './convergence_table.js';
import {type DirectServerRecord} from './direct_server_table.js';
import {type Announcement} from './membership_record.js';
import {type MembershipRegistry} from './membership_registry.js';
import {type ProposalResult, type Proposer} from './proposer.js';
import {decideWarmUp} from './warm_up_decision.js';
import {WarmUpRouters} from './warm_up_routers.js';

/** An announcement by a backend server. */
export interface DirectAnnouncement {
  /** Name of the server, which it may keep when it restarts. */
  readonly incarnation: string;
  /**
   * Start of this instance, milliseconds since the Unix epoch; undefined for a
   * server that uses a new incarnation at each start.
   */
  readonly startedAtMs: number | undefined;
  readonly pool: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Requests that the server processes concurrently. */
  readonly slots: number;
  readonly version: string;
  readonly models: readonly string[];
  readonly leaving: boolean;
  /**
   * Time until the server is warm, milliseconds; 0 when it is warm, undefined
   * when the announcement doesn't say.
   */
  readonly warmUpLeftMs?: number | undefined;
  /** Increases with each announcement, so that late ones are recognized. */
  readonly sequence: number;
}

/** Answer to an announcement. */
export type AnnouncementAnswer =
  | {readonly kind: 'accepted'}
  /** The configuration in force has no such pool. */
  | {readonly kind: 'unknownPool'}
  | {readonly kind: 'notLeader'; readonly leader: string}
  /** The announcement may have been committed: the server must resend it. */
  | {readonly kind: 'unknown'};

export interface DirectServersDependencies {
  readonly clock: Clock;
  readonly machine: ControlStateMachine;
  readonly registry: MembershipRegistry;
  readonly proposer: Proposer;
  /** @returns true once the registry was initialized for this term */
  readonly hasTakenOver: () => boolean;
  readonly convergence: Pick<ConvergenceTable, 'namesOf'>;
  /** @returns the lowest log version among the members */
  readonly oldestLogVersion: () => number;
  /** Sends changes to the subscribers immediately. */
  readonly publish: () => void;
}

/** Handles announcements of servers without a sidecar at the leader. */
export class DirectServers {
  readonly #deps: DirectServersDependencies;
  /** Sequence number of the last announcement, by server. */
  #sequences = new Map<string, number>();
  /** End of the warm-up by the last report, monotonic ms, by server. */
  readonly #warmUpEnds = new Map<string, number>();
  readonly #warmUpRouters: WarmUpRouters;
  #isOpeningPlaces = false;

  constructor(deps: DirectServersDependencies) {
    this.#deps = deps;
    this.#warmUpRouters = new WarmUpRouters(deps);
  }

  /**
   * @returns the servers in the replicated table, for a new leader; undefined
   *     while none has ever joined
   */
  replicatedServers(): readonly Announcement[] | undefined {
    const {directServers: table} = this.#deps.machine;
    if (table.isUnused) return undefined;
    return table.list().map(one => this.#toAnnouncement(one));
  }

  /**
   * @param announcement the announcement
   * @returns the answer; only the leader accepts an announcement
   */
  async announce(
    announcement: DirectAnnouncement,
  ): Promise<AnnouncementAnswer> {
    if (!this.#canServe()) return this.#refuse();
    if (!this.#isKnownPool(announcement.pool)) return {kind: 'unknownPool'};
    const name = instanceName(announcement);
    // A late announcement must not restore an earlier state.
    const isLate = announcement.sequence <= (this.#sequences.get(name) ?? -1);
    if (isLate && !announcement.leaving) return {kind: 'accepted'};
    this.#sequences.set(name, announcement.sequence);
    const {warmUpLeftMs} = announcement;
    if (warmUpLeftMs !== undefined) {
      this.#warmUpEnds.set(name, this.#deps.clock.now() + warmUpLeftMs);
    }
    const committed = await this.#commit(announcement);
    if (committed.kind !== 'committed') return this.#toFailure(committed);
    if (!this.#canServe()) return this.#refuse();
    this.#renew(name);
    return {kind: 'accepted'};
  }

  /**
   * Removes a server that reports its end, even without an earlier leave.
   *
   * @param instance the server; without a start, its instance in the table ends
   * @returns the answer; only the leader accepts the report
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
   * Drops servers whose lease expired, ends warm-ups, names routers for them, and
   * assigns and discards due places.
   *
   * @param lapsed names of servers whose lease expired, with or without sidecar
   * @param now monotonic milliseconds
   */
  async tick(lapsed: readonly string[], now: number): Promise<void> {
    const {machine, proposer} = this.#deps;
    const table = machine.directServers;
    this.refreshWarmUps(now);
    await this.#warmUpRouters.tick(now);
    await this.#removeLapsed(lapsed.filter(name => table.get(name)));
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
   * A leaving server is ended and not only dropped: a report from before it
   * left may arrive late, and would have it join as ready.
   */
  async #removeLapsed(names: readonly string[]): Promise<void> {
    if (names.length === 0) return;
    const {machine, proposer} = this.#deps;
    const leaving = names.filter(
      name => machine.directServers.get(name)?.leaving,
    );
    for (const name of leaving) {
      await proposer.propose(END_SERVER_COMMAND, {name});
    }
    const staying = names.filter(name => !leaving.includes(name));
    if (staying.length > 0) {
      await proposer.propose(DROP_SERVERS_COMMAND, {names: staying});
    }
    this.#publishTable();
  }

  /**
   * An announcement of a pool that isn't configured may come from a foreign
   * sender; accepted, it would remove the server that runs at its address.
   * Without configured pools, any pool is accepted.
   */
  #isKnownPool(pool: string): boolean {
    const {content} = this.#deps.machine.configuration.current.read();
    return content.pools.length === 0 || this.#findPool(pool) !== undefined;
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

  /** Proposes changes to the table; most announcements need none. */
  async #commit(
    announcement: DirectAnnouncement,
  ): Promise<ProposalResult<unknown>> {
    const {machine, proposer} = this.#deps;
    const name = instanceName(announcement);
    const table = machine.directServers;
    let outcome: ProposalResult<unknown> = {kind: 'committed', value: {}};
    if (!table.get(name)) {
      const server = this.#toJoiningServer(announcement);
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
    // The server ended while its announcement was being processed.
    if (!record) return;
    const wanted = machine.wantedStateOf(record.server);
    const isNew = !registry.has(name);
    const known = this.#toAnnouncement(record);
    registry.announce(known, wanted, clock.now());
    if (isNew || record.leaving) this.#publishTable();
  }

  /** Copies the whole table, as one change may move the places of others. */
  #publishTable(): void {
    const {machine, registry, publish, clock} = this.#deps;
    const table = machine.directServers;
    for (const record of table.list()) {
      const {name} = record.server;
      // The registry decides the other states: it may hold back a flapping
      // server.
      const leaving = record.leaving && {state: SERVER_STATE.DRAINING};
      registry.update(name, {place: record.place, ...leaving});
    }
    for (const {server} of registry.list()) {
      if (!isDirect(server) || table.get(server.name)) continue;
      registry.remove(server.name, clock.now());
      this.#sequences.delete(server.name);
      this.#warmUpEnds.delete(server.name);
    }
    publish();
  }

  /**
   * Updates which servers are warming up.
   *
   * @param now monotonic milliseconds
   */
  refreshWarmUps(now: number): void {
    const {machine, registry, publish} = this.#deps;
    let hasChanged = false;
    for (const record of machine.directServers.list()) {
      const warmUp = this.#decideWarmUp(record, now);
      hasChanged = registry.setWarmUp(record.server.name, warmUp) || hasChanged;
    }
    if (hasChanged) publish();
  }

  #decideWarmUp(record: DirectServerRecord, now: number): WarmUp | undefined {
    const {machine} = this.#deps;
    const {name, pool, availabilityZone} = record.server;
    const facts = {
      limits: this.#findPool(pool)?.warmUp,
      zoneReturn: machine.evacuations.lastReturn(availabilityZone),
      reportedUntil: this.#warmUpEnds.get(name),
      timeMs: machine.time.stamp(now),
    };
    return decideWarmUp(record, facts, now);
  }

  #findPool(name: string): Pool | undefined {
    const {content} = this.#deps.machine.configuration.current.read();
    return content.pools.find(pool => pool.name === name);
  }

  #toAnnouncement(record: DirectServerRecord): Announcement {
    const warmUp = this.#decideWarmUp(record, this.#deps.clock.now());
    return {
      ...record.server,
      state: stateOf(record),
      place: record.place,
      runningTokens: 0,
      queuedTokens: 0,
      warmUp,
    };
  }

  #toJoiningServer(
    announcement: DirectAnnouncement,
  ): DirectServerRecord['server'] {
    const name = instanceName(announcement);
    const now = this.#deps.clock.now();
    const limits = this.#findPool(announcement.pool)?.warmUp;
    const warmUpRouters = this.#warmUpRouters.choose(name, limits, now);
    return {...toJoiningServer(announcement, name), warmUpRouters};
  }
}

/** Identifies one instance of a server: a single run of its process. */
export type ServerInstance = Pick<
  DirectAnnouncement,
  'incarnation' | 'startedAtMs'
>;

/**
 * Names each instance differently, so that no node carries over state of the
 * previous one, such as its cached prompts, load and pauses.
 */
function instanceName({incarnation, startedAtMs}: ServerInstance): string {
  return startedAtMs === undefined
    ? incarnation
    : `${incarnation}@${startedAtMs}`;
}

function stateOf({leaving}: DirectServerRecord): ServerState {
  return leaving ? SERVER_STATE.DRAINING : SERVER_STATE.READY;
}

function toJoiningServer(
  announcement: DirectAnnouncement,
  name: string,
): DirectServerRecord['server'] {
  return {
    name,
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
