/**
 * Core of consensus: messages, storage results and the current time go in,
 * actions come out. The core does no I/O and uses a seeded random generator, so
 * that tests can replay any order of events.
 */
import {Elector} from './consensus_elector.js';
import {Follower} from './consensus_follower.js';

import {
  changeMembers,
  encodeMembers,
  findMember,
  type MemberChange,
} from './consensus_members.js';
import {type CoreOptions, MemberState} from './consensus_member_state.js';
import {type ConsensusMessage} from './consensus_messages.js';
import {type ConsensusAction} from './consensus_outbox.js';
import {
  CHANGE_REFUSAL,
  type ChangeRefusal,
  type ConsensusStatus,
  ENTRY_KIND,
  type EntryKind,
  type MemberId,
  type MemberList,
} from './consensus_types.js';

/**
 * Time without leader contact, in election timeouts, after which a member asks
 * to join again. A group with a quorum has elected a new leader by then.
 */
const REJOIN_AFTER_TIMEOUTS = 3;

/** Result of proposing an entry; an added entry is not committed yet. */
export type Proposal =
  | {readonly kind: 'added'; readonly index: number; readonly term: number}
  | {readonly kind: 'notLeader'}
  | {readonly kind: 'refused'; readonly reason: ChangeRefusal};

interface CoreRoles {
  readonly state: MemberState;
  readonly elector: Elector;
  readonly follower: Follower;
}

type MessageHandler<Kind extends ConsensusMessage['kind']> = (
  roles: CoreRoles,
  message: Extract<ConsensusMessage, {kind: Kind}>,
  now: number,
) => void;

const MESSAGE_HANDLERS: {
  readonly [Kind in ConsensusMessage['kind']]: MessageHandler<Kind>;
} = {
  preVote: ({elector}, message, now) => {
    elector.onPreVote(message, now);
  },
  preVoteReply: ({elector}, message, now) => {
    elector.onPreVoteReply(message, now);
  },
  vote: ({elector}, message, now) => {
    elector.onVote(message, now);
  },
  voteReply: ({elector}, message, now) => {
    elector.onVoteReply(message, now);
  },
  append: ({follower}, message, now) => {
    follower.onAppend(message, now);
  },
  snapshotChunk: ({follower}, message, now) => {
    follower.onSnapshotChunk(message, now);
  },
  appendReply: ({state}, message, now) => {
    if (message.term > state.term) state.adoptTerm(message.term, now);
    if (message.term < state.term) return;
    state.leadership?.receiveAppendReply(message, now);
  },
  snapshotReply: ({state}, message, now) => {
    if (message.term > state.term) state.adoptTerm(message.term, now);
    if (message.term < state.term) return;
    state.leadership?.receiveSnapshotReply(message, now);
  },
};

export class ConsensusCore {
  readonly #state: MemberState;
  readonly #roles: CoreRoles;

  /**
   * @param options input of the member
   * @param now monotonic milliseconds
   */
  constructor(options: CoreOptions, now: number) {
    const state = new MemberState(options, now);
    this.#state = state;
    const elector = new Elector(state);
    this.#roles = {state, elector, follower: new Follower(state)};
  }

  /** @returns the actions since the last call, in the order to perform */
  takeActions(): readonly ConsensusAction[] {
    return this.#state.outbox.take();
  }

  /**
   * Appends the first member list of a new group to the empty log of this
   * member. Call it on one member only, and before any of the members belongs
   * to a group.
   *
   * @param members the first members, including this one
   */
  bootstrap(members: MemberList): void {
    const {replica} = this.#state;
    replica.add(ENTRY_KIND.MEMBERS, encodeMembers(members), 0);
    replica.writeNew();
    this.#state.makeElectionDue();
  }

  /**
   * Starts elections and heartbeats that are due. Call it at least once per
   * heartbeat interval.
   *
   * @param now monotonic milliseconds
   */
  tick(now: number): void {
    const {leadership} = this.#state;
    if (!leadership) this.#roles.elector.tick(now);
    else if (!leadership.tick(now)) this.#state.stepDown(now);
    this.flush(now);
  }

  /**
   * Writes and sends pending entries, advances the commit index and answers
   * confirmed reads. Call it after proposals, membership changes and reads;
   * `tick`, `receive` and `stored` include it.
   *
   * @param now monotonic milliseconds
   */
  flush(now: number): void {
    const {replica} = this.#state;
    replica.writeNew();
    this.#advanceCommit(now);
    const {leadership} = this.#state;
    if (!leadership) return;
    leadership.flush(now);
    const tokens = leadership.takeConfirmedReads();
    if (tokens.length === 0) return;
    const index = replica.commitIndex;
    this.#state.outbox.push({kind: 'readReady', tokens, index});
  }

  /**
   * @param message a received message
   * @param now monotonic milliseconds
   */
  receive(message: ConsensusMessage, now: number): void {
    // The message is for a previous identity at this address, whose messages
    // and promises do not bind this member.
    if (message.to !== this.#state.id) return;
    // A kind that only newer versions know must not stop this member.
    if (!Object.hasOwn(MESSAGE_HANDLERS, message.kind)) return;
    const handler = MESSAGE_HANDLERS[message.kind] as MessageHandler<
      ConsensusMessage['kind']
    >;
    handler(this.#roles, message, now);
    this.flush(now);
  }

  /**
   * @param id all writes up to this id are synced
   * @param now monotonic milliseconds
   */
  stored(id: number, now: number): void {
    const {outbox, replica} = this.#state;
    outbox.stored(id);
    replica.stored(id);
    this.#roles.elector.onStored(now);
    this.#roles.follower.onStored();
    this.flush(now);
  }

  /**
   * @param index the index in the `takeSnapshot` action
   * @param data the state of the state machine at that index
   */
  snapshotTaken(index: number, data: Uint8Array): void {
    this.#state.replica.snapshotTaken(index, data);
  }

  /**
   * @param command a command for the state machine
   * @returns the position in the log; `flush` sends the entry
   */
  propose(command: Uint8Array): Proposal {
    if (!this.#state.leadership) return {kind: 'notLeader'};
    return this.#add(ENTRY_KIND.COMMAND, command);
  }

  /**
   * @param change a membership change
   * @param now monotonic milliseconds
   * @returns the position in the log; `flush` sends the entry
   */
  changeMembers(change: MemberChange, now: number): Proposal {
    const {leadership, replica} = this.#state;
    if (!leadership) return {kind: 'notLeader'};
    // Two concurrent changes, or one beside an uncommitted change of an earlier
    // term, can give two majorities without a common voter: two leaders.
    if (!leadership.hasCommittedInTerm) {
      return {kind: 'refused', reason: CHANGE_REFUSAL.TERM_NOT_COMMITTED};
    }
    if (replica.log.membersIndex > replica.commitIndex) {
      return {kind: 'refused', reason: CHANGE_REFUSAL.CHANGE_PENDING};
    }
    const changed = changeMembers(replica.log.members, change);
    if (!changed.ok) return {kind: 'refused', reason: changed.reason};
    // A voter that lacks committed entries is no second copy of them. Losing
    // another disk right after the promotion would lose acknowledged commands.
    if (change.kind === 'promote' && !leadership.isCaughtUp(change.id)) {
      return {kind: 'refused', reason: CHANGE_REFUSAL.NOT_CAUGHT_UP};
    }
    const data = encodeMembers(changed.members);
    const proposal = this.#add(ENTRY_KIND.MEMBERS, data);
    leadership.updateMembers(now);
    return proposal;
  }

  /**
   * @param token identifies the read in `readReady` or `readRefused`
   * @param mayWait true if the read may wait for the next heartbeat
   */
  read(token: number, mayWait = false): void {
    const {leadership, outbox} = this.#state;
    if (leadership) leadership.addRead(token, mayWait);
    else outbox.push({kind: 'readRefused', tokens: [token]});
  }

  /**
   * @param id identity of a learner
   * @returns true if this member leads and the learner may be promoted
   */
  isCaughtUp(id: MemberId): boolean {
    return this.#state.leadership?.isCaughtUp(id) ?? false;
  }

  /**
   * @param id identity of a member
   * @param now monotonic milliseconds
   * @returns true if this member leads and that one replied within an election
   *     timeout
   */
  isActive(id: MemberId, now: number): boolean {
    return this.#state.leadership?.isActive(id, now) ?? false;
  }

  /**
   * @param id identity of a member
   * @param now monotonic milliseconds
   * @returns time since the last reply of that member in milliseconds; 0 unless
   *     this member leads
   */
  timeSinceReplyMs(id: MemberId, now: number): number {
    return this.#state.leadership?.timeSinceReplyMs(id, now) ?? 0;
  }

  /**
   * A member removed while it was down gets no messages from the leader and has
   * to ask to join again.
   *
   * @param now monotonic milliseconds
   * @returns true if this member has stored state, does not lead, and had no
   *     leader contact for several election timeouts
   */
  hasLostLeader(now: number): boolean {
    const {leadership, parts: options} = this.#state;
    if (this.isBlank || leadership) return false;
    const limitMs = REJOIN_AFTER_TIMEOUTS * options.timings.electionTimeoutMs;
    return this.#state.timeSinceLeaderContactMs(now) >= limitMs;
  }

  /** True while this member belongs to no group: its storage is empty. */
  get isBlank(): boolean {
    const {term, replica} = this.#state;
    return term === 0 && replica.log.lastIndex === 0;
  }

  /**
   * @param now monotonic milliseconds
   * @returns the state of this member
   */
  status(now: number): ConsensusStatus {
    const {id, role, term, leader, leadership, replica} = this.#state;
    const {log, commitIndex, snapshot} = replica;
    return {
      id,
      role,
      term,
      ...(leader && {leader}),
      commitIndex,
      appliedIndex: commitIndex,
      lastIndex: log.lastIndex,
      snapshotIndex: snapshot?.index ?? 0,
      members: log.members,
      leaseValid: leadership?.isLeaseValid(now) ?? false,
    };
  }

  #add(kind: EntryKind, data: Uint8Array): Proposal {
    const {term, replica} = this.#state;
    return {kind: 'added', index: replica.add(kind, data, term), term};
  }

  #advanceCommit(now: number): void {
    const {leadership, replica, term, id} = this.#state;
    if (!leadership) return;
    const index = leadership.majorityIndex();
    // Another leader can still overwrite an entry of an earlier term that a
    // majority stores. Only a later entry of the current term commits it.
    if (replica.log.termAt(index) !== term) return;
    replica.commitTo(index);
    const {members, membersIndex} = replica.log;
    const isRemoved = !findMember(members, id);
    if (isRemoved && membersIndex <= replica.commitIndex) {
      this.#state.stepDown(now);
    }
  }
}
