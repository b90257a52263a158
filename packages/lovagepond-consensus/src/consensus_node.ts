/**
 * A consensus member with I/O: connects the core to storage, transport, state
 * machine and timer.
 */
import {type Unregister} from '@lovagepond/core';
import {
  ActionPerformer,
  type AppliedListener,
  type LeaderListener,
} from './consensus_action_performer.js';
import {ConsensusCore, type Proposal} from './consensus_core.js';
import {StatusLog} from './consensus_status_log.js';
import {Formation} from './consensus_formation.js';
import {FormationPerformer} from './consensus_formation_performer.js';
import {type MemberChange} from './consensus_members.js';
import {MemberReplacement} from './consensus_member_replacement.js';
import {type TransportMessage} from './consensus_messages.js';
import {type ConsensusDependencies} from './consensus_dependencies.js';
import {PendingCalls} from './consensus_pending.js';
import {StorageWriter} from './consensus_storage_writer.js';
import {type ConsensusStorage} from './consensus_storage.js';
import {StorageError} from './consensus_storage_errors.js';
import {
  type ChangeOutcome,
  type ConsensusSettings,
  type ConsensusStatus,
  MEMBER_ROLE,
  type MemberId,
  type ProposeOutcome,
  type ReadOutcome,
} from './consensus_types.js';

/**
 * Ticks per heartbeat interval. A heartbeat is sent at the first tick after it
 * is due, so at most half an interval late. With four ticks, eight idle members
 * use 0.75 of a core; with two, they use 0.64.
 */
const TICKS_PER_HEARTBEAT = 2;
/** Interval between hellos of a host without a group, in election timeouts. */
const HELLO_INTERVAL_TIMEOUTS = 0.5;

/** Interval between attempts to reopen failed storage, milliseconds. */
const REOPEN_MS = 500;

/** Only an operator can resolve damaged data: storage is not reopened. */
function isDamage(err: unknown): boolean {
  return err instanceof StorageError && err.failure.kind === 'damaged';
}

const INITIAL_STATUS: ConsensusStatus = {
  id: '',
  role: MEMBER_ROLE.FOLLOWER,
  term: 0,
  commitIndex: 0,
  appliedIndex: 0,
  lastIndex: 0,
  snapshotIndex: 0,
  members: [],
  leaseValid: false,
};

export class ConsensusNode {
  readonly #settings: ConsensusSettings;
  readonly #dependencies: ConsensusDependencies;
  readonly #pending = new PendingCalls();
  readonly #writer: StorageWriter;
  readonly #performer: ActionPerformer;
  readonly #replacement: MemberReplacement;
  readonly #formationPerformer: FormationPerformer;
  readonly #statusLog: StatusLog;
  #core: ConsensusCore | undefined;
  #formation: Formation | undefined;
  #timer: NodeJS.Timeout | undefined;
  #unregister: Unregister = () => undefined;
  #lastStatus: ConsensusStatus = INITIAL_STATUS;
  readonly #emptyState: Uint8Array;
  #storage: ConsensusStorage;
  #reopenTimer: NodeJS.Timeout | undefined;
  #flushScheduled = false;
  /** See {@link CoreOptions.previousRunEndedBy}. */
  #previousRunEndedBy: number | undefined;

  constructor(
    settings: ConsensusSettings,
    dependencies: ConsensusDependencies,
  ) {
    this.#settings = settings;
    this.#dependencies = dependencies;
    this.#storage = dependencies.storage;
    this.#previousRunEndedBy = dependencies.processStartedAt;
    this.#emptyState = dependencies.stateMachine.snapshot();
    this.#statusLog = new StatusLog(dependencies.log);
    this.#writer = new StorageWriter(dependencies.storage, {
      onStored: id => {
        this.#run(core => {
          core.stored(id, this.#now());
        });
      },
      onFailed: err => {
        this.#fail(err);
      },
    });
    this.#performer = new ActionPerformer({
      ...dependencies,
      writer: this.#writer,
      pending: this.#pending,
      leader: () => this.status().leader,
    });
    this.#replacement = new MemberReplacement({
      change: change => this.#change(change),
      status: () => this.status(),
      isCaughtUp: id => this.#core?.isCaughtUp(id) ?? false,
      isActive: id => this.#core?.isActive(id, this.#now()) ?? false,
      timeSinceReplyMs: id =>
        this.#core?.timeSinceReplyMs(id, this.#now()) ?? 0,
      openMembership: settings.openMembership ?? false,
      toleratedLosses: settings.toleratedLosses,
      mayJoin: address => {
        const {automaticJoin = true, openMembership = false, peers} = settings;
        return automaticJoin && (openMembership || peers.includes(address));
      },
    });
    this.#formationPerformer = new FormationPerformer({
      send: (address, message) => {
        dependencies.transport.send(address, message);
      },
      status: () => this.status(),
      bootstrap: members => {
        this.#run(core => {
          core.bootstrap(members);
          core.tick(this.#now());
        });
      },
      join: host => {
        this.#replacement.join(host);
      },
    });
  }

  /**
   * Opens storage and starts the member. Resolves before a leader is elected.
   *
   * @throws StorageError if the stored state is damaged
   */
  async start(): Promise<void> {
    const {transport, random} = this.#dependencies;
    const {address, peers, timings} = this.#settings;
    const stored = await this.#storage.open();
    const previousRunEndedBy = this.#previousRunEndedBy;
    const options = {
      stored,
      address,
      timings,
      random,
      ...(previousRunEndedBy !== undefined && {previousRunEndedBy}),
    };
    const core = new ConsensusCore(options, this.#now());
    this.#core = core;
    this.#formation = new Formation({
      id: stored.id,
      address,
      peers,
      mayForm: this.#settings.mayForm ?? true,
      observer: this.#settings.observer ?? false,
      helloIntervalMs: timings.electionTimeoutMs * HELLO_INTERVAL_TIMEOUTS,
      isBlank: () => core.isBlank,
      hasLostLeader: now => core.hasLostLeader(now),
      isLeading: () => this.status().role === MEMBER_ROLE.LEADER,
      members: () => this.status().members,
      isActive: id => core.isActive(id, this.#now()),
    });
    this.#unregister = transport.onMessage(message => {
      this.#receive(message);
    });
    const interval = timings.heartbeatIntervalMs / TICKS_PER_HEARTBEAT;
    this.#timer = setInterval(() => {
      this.#tick();
    }, interval);
    this.#tick();
  }

  /** Stops immediately; pending proposals resolve to `unknown`. */
  async stop(): Promise<void> {
    clearTimeout(this.#reopenTimer);
    this.#halt();
    await this.#storage.close();
  }

  /**
   * @param command a command for the state machine
   * @returns the outcome of the proposal
   */
  propose(command: Uint8Array): Promise<ProposeOutcome> {
    return this.#awaitProposal(this.#core?.propose(command));
  }

  /**
   * @param mayWait true if the read may wait for the next heartbeat
   * @returns `ok` once a read of the state machine is linearizable
   */
  readBarrier(mayWait = false): Promise<ReadOutcome> {
    const core = this.#core;
    if (!core) return Promise.resolve({kind: 'notLeader'});
    return this.#pending.addRead(token => {
      core.read(token, mayWait);
      this.#scheduleFlush();
    });
  }

  /** @returns the current state of this member */
  status(): ConsensusStatus {
    return this.#core?.status(this.#now()) ?? this.#lastStatus;
  }

  /** @returns addresses for callers while this host belongs to no group */
  announcedMembers(): readonly string[] {
    return this.#formation?.announcedMembers ?? [];
  }

  /**
   * @param listener called when the known leader changes
   * @returns a function that removes the listener
   */
  onLeaderChange(listener: LeaderListener): Unregister {
    return this.#performer.onLeaderChange(listener);
  }

  /**
   * @param listener called after entries were applied
   * @returns a function that removes the listener
   */
  onApplied(listener: AppliedListener): Unregister {
    return this.#performer.onApplied(listener);
  }

  /**
   * Adds a member that receives the log and does not count towards the quorum.
   *
   * @param id identity of the new member
   * @param address address of the new member
   * @returns the outcome of the change
   */
  addLearner(id: MemberId, address: string): Promise<ChangeOutcome> {
    return this.#change({kind: 'addLearner', id, address});
  }

  /**
   * Promotes a learner that has caught up to a voter.
   *
   * @param id identity of the learner
   * @returns the outcome of the change
   */
  promote(id: MemberId): Promise<ChangeOutcome> {
    return this.#change({kind: 'promote', id});
  }

  /**
   * @param id identity of the member to remove
   * @returns the outcome of the change
   */
  removeMember(id: MemberId): Promise<ChangeOutcome> {
    return this.#change({kind: 'remove', id});
  }

  /**
   * Adds the new member as a learner, waits until it has caught up, and
   * replaces the old member by it. May be called again after a failure:
   * completed steps are skipped.
   *
   * @param oldId identity of the member to remove
   * @param newId identity of the new member
   * @param address address of the new member
   * @returns the outcome of the first change that failed, or of the last one
   */
  replaceMember(
    oldId: MemberId,
    newId: MemberId,
    address: string,
  ): Promise<ChangeOutcome> {
    return this.#replacement.start(oldId, newId, address);
  }

  #now(): number {
    return this.#dependencies.clock.now();
  }

  #tick(): void {
    this.#run(core => {
      core.tick(this.#now());
    });
    this.#formation?.tick(this.#now());
    this.#performFormation();
    this.#replacement.tick();
    if (this.#writer.isIdle && this.#core) {
      this.#storage.seal().catch((err: unknown) => {
        this.#fail(err);
      });
    }
  }

  #receive(message: TransportMessage): void {
    if (message.kind === 'hello') this.#formation?.onHello(message);
    else if (message.kind === 'helloReply') {
      this.#formation?.onHelloReply(message);
    } else {
      this.#run(core => {
        core.receive(message, this.#now());
      });
    }
    this.#performFormation();
  }

  #change(change: MemberChange): Promise<ChangeOutcome> {
    const proposal = this.#core?.changeMembers(change, this.#now());
    if (proposal?.kind === 'refused') return Promise.resolve(proposal);
    return this.#awaitProposal(proposal);
  }

  #awaitProposal(proposal: Proposal | undefined): Promise<ProposeOutcome> {
    if (proposal?.kind !== 'added') {
      const {leader} = this.status();
      return Promise.resolve({kind: 'notLeader', ...(leader && {leader})});
    }
    this.#scheduleFlush();
    return this.#pending.addProposal(proposal.index, proposal.term);
  }

  /** Proposals of one event loop iteration share one message and one sync. */
  #scheduleFlush(): void {
    if (this.#flushScheduled) return;
    this.#flushScheduled = true;
    setImmediate(() => {
      this.#flushScheduled = false;
      this.#run(core => {
        core.flush(this.#now());
      });
    });
  }

  #run(step: (core: ConsensusCore) => void): void {
    const core = this.#core;
    if (!core) return;
    try {
      step(core);
      this.#performer.perform(core);
      this.#statusLog.update(core.status(this.#now()));
    } catch (err) {
      this.#fail(err);
    }
  }

  #performFormation(): void {
    if (this.#formation) this.#formationPerformer.perform(this.#formation);
  }

  #fail(err: unknown): void {
    if (!this.#core) return;
    const failure = err instanceof Error ? err.message : String(err);
    this.#dependencies.log.error('consensus has stopped', {failure});
    this.#halt(failure);
    if (this.#dependencies.reopenStorage && !isDamage(err)) this.#reopenLater();
  }

  #reopenLater(): void {
    clearTimeout(this.#reopenTimer);
    this.#reopenTimer = setTimeout(() => {
      void this.#reopen();
    }, REOPEN_MS);
  }

  /**
   * Restarts from the stored data. Otherwise a disk that failed or was full for
   * a while would cost the group a member for good, and the next loss its
   * majority.
   */
  async #reopen(): Promise<void> {
    const {reopenStorage, stateMachine, log} = this.#dependencies;
    if (!reopenStorage) return;
    await this.#storage.close().catch(() => undefined);
    this.#storage = reopenStorage();
    this.#writer.restart(this.#storage);
    stateMachine.restore(this.#emptyState);
    try {
      await this.start();
      log.info('consensus goes on', {lastIndex: this.status().lastIndex});
    } catch (err) {
      const failure = err instanceof Error ? err.message : String(err);
      this.#lastStatus = {...this.#lastStatus, failure};
      log.warn('storage still fails', {failure});
      if (!isDamage(err)) this.#reopenLater();
    }
  }

  #halt(failure?: string): void {
    const {id, term, members, lastIndex} = this.status();
    const stopped = {...INITIAL_STATUS, id, term, members, lastIndex};
    this.#lastStatus = failure ? {...stopped, failure} : stopped;
    clearInterval(this.#timer);
    this.#unregister();
    this.#writer.stop();
    this.#core = undefined;
    this.#previousRunEndedBy = this.#now();
    this.#formation = undefined;
    this.#pending.abandonProposals();
    this.#pending.refuseAllReads();
    this.#replacement.stop();
    this.#performer.notifyLeaderChange(undefined);
  }
}
