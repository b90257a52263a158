/**
 * The shell of consensus: connects the deciding part to storage, transport and
 * timers.
 */
import {
  type Clock,
  invariant,
  type Logger,
  type Random,
  type Unregister,
} from '@lovagepond/core';
import {type ConsensusStorage} from './consensus_storage.js';
import {type ConsensusTransport} from './consensus_transport.js';
import {
  CHANGE_REFUSAL,
  type ChangeOutcome,
  type ConsensusSettings,
  type ConsensusStatus,
  ENTRY_KIND,
  type HardState,
  type Member,
  MEMBER_ROLE,
  type MemberId,
  type ProposeOutcome,
  type ReadOutcome,
  type StateMachine,
} from './consensus_types.js';

/** What a node is built from. */
export interface ConsensusParts {
  readonly stateMachine: StateMachine;
  readonly storage: ConsensusStorage;
  readonly transport: ConsensusTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** Called when the leader known to this member changes. */
export type LeaderListener = (leader: Member | undefined) => void;

/** Called after entries were applied, with the last applied index. */
export type AppliedListener = (appliedIndex: number) => void;

/** One member of the group. In this version a group has one member. */
export class ConsensusNode {
  readonly #settings: ConsensusSettings;
  readonly #parts: ConsensusParts;
  readonly #leaderListeners = new Set<LeaderListener>();
  readonly #appliedListeners = new Set<AppliedListener>();
  #hardState: HardState = {term: 0, vote: ''};
  #self: Member | undefined;
  #lastIndex = 0;
  #appliedIndex = 0;

  constructor(settings: ConsensusSettings, parts: ConsensusParts) {
    this.#settings = settings;
    this.#parts = parts;
  }

  /** Opens storage and starts; resolves before there is a leader. */
  async start(): Promise<void> {
    invariant(this.#settings.peers.length === 1, 100, 'one member only');
    const {storage, stateMachine} = this.#parts;
    const stored = await storage.open();
    if (stored.snapshot) {
      stateMachine.restore(stored.snapshot.data);
      this.#appliedIndex = stored.snapshot.index;
    }
    for (const entry of stored.entries) {
      if (entry.kind === ENTRY_KIND.COMMAND) {
        stateMachine.apply(entry.data, entry.index);
      }
      this.#appliedIndex = entry.index;
    }
    this.#lastIndex = this.#appliedIndex;
    this.#hardState = {term: stored.hardState.term + 1, vote: stored.id};
    await storage.write({hardState: this.#hardState, entries: []});
    const {address} = this.#settings;
    this.#self = {id: stored.id, address, voter: true};
    for (const listener of [...this.#leaderListeners]) listener(this.#self);
  }

  /** Ends at once; proposals under way become `unknown`. */
  async stop(): Promise<void> {
    this.#self = undefined;
    await this.#parts.storage.close();
  }

  /**
   * @param command a command of the state machine
   * @returns what became of it
   */
  async propose(command: Uint8Array): Promise<ProposeOutcome> {
    if (!this.#self) return {kind: 'notLeader'};
    this.#lastIndex += 1;
    const index = this.#lastIndex;
    const {term} = this.#hardState;
    const entry = {index, term, kind: ENTRY_KIND.COMMAND, data: command};
    await this.#parts.storage.write({entries: [entry]});
    const result = this.#parts.stateMachine.apply(command, index);
    this.#appliedIndex = index;
    for (const listener of [...this.#appliedListeners]) listener(index);
    return {kind: 'committed', result, index};
  }

  /** @returns `ok` once a read of the state machine is linearizable */
  readBarrier(): Promise<ReadOutcome> {
    if (!this.#self) return Promise.resolve({kind: 'notLeader'});
    return Promise.resolve({kind: 'ok', index: this.#appliedIndex});
  }

  /** @returns what this member knows now */
  status(): ConsensusStatus {
    const self = this.#self;
    return {
      id: self?.id ?? '',
      role: self ? MEMBER_ROLE.LEADER : MEMBER_ROLE.FOLLOWER,
      term: this.#hardState.term,
      ...(self && {leader: self}),
      commitIndex: this.#appliedIndex,
      appliedIndex: this.#appliedIndex,
      lastIndex: this.#lastIndex,
      snapshotIndex: 0,
      members: self ? [self] : [],
      leaseValid: self !== undefined,
    };
  }

  /**
   * @param listener called when the known leader changes
   * @returns a function that takes the registration back
   */
  onLeaderChange(listener: LeaderListener): Unregister {
    this.#leaderListeners.add(listener);
    return () => {
      this.#leaderListeners.delete(listener);
    };
  }

  /**
   * @param listener called after entries were applied
   * @returns a function that takes the registration back
   */
  onApplied(listener: AppliedListener): Unregister {
    this.#appliedListeners.add(listener);
    return () => {
      this.#appliedListeners.delete(listener);
    };
  }

  /**
   * Adds a member that receives the log and counts in no majority.
   *
   * @param _id identity of the new member
   * @param _address where it is reached
   * @returns what became of the change
   */
  addLearner(_id: MemberId, _address: string): Promise<ChangeOutcome> {
    return this.#refuseChange();
  }

  /**
   * Makes a learner that has caught up a voter.
   *
   * @param _id identity of the learner
   * @returns what became of the change
   */
  promote(_id: MemberId): Promise<ChangeOutcome> {
    return this.#refuseChange();
  }

  /**
   * @param _id identity of the member to remove
   * @returns what became of the change
   */
  removeMember(_id: MemberId): Promise<ChangeOutcome> {
    return this.#refuseChange();
  }

  /**
   * Adds the new member as a learner, waits until it has caught up, promotes
   * it, then removes the old one.
   *
   * @param _oldId identity of the member to remove
   * @param _newId identity of the member that takes its place
   * @param _address where the new member is reached
   * @returns what became of the first change that failed, or of the last
   */
  replaceMember(
    _oldId: MemberId,
    _newId: MemberId,
    _address: string,
  ): Promise<ChangeOutcome> {
    return this.#refuseChange();
  }

  #refuseChange(): Promise<ChangeOutcome> {
    const reason = CHANGE_REFUSAL.UNKNOWN_MEMBER;
    return Promise.resolve({kind: 'refused', reason});
  }
}
