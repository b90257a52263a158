/**
 * The deciding part of consensus: messages, storage results and the present
 * time go in, actions come out. It does no I/O and draws from a seeded
 * generator, so that a test can drive it through any order of events.
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
 * Silence of the leader after which a member asks to be let in again, in
 * election timeouts: a group that has a majority has a new leader by then.
 */
const REJOIN_AFTER_TIMEOUTS = 3;

/** Where a proposal stands in the log; it is not committed yet. */
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

/** One member of the group, without I/O. */
export class ConsensusCore {
  readonly #state: MemberState;
  readonly #roles: CoreRoles;

  /**
   * @param options what it is built from
   * @param now monotonic milliseconds
   */
  constructor(options: CoreOptions, now: number) {
    const state = new MemberState(options, now);
    this.#state = state;
    const elector = new Elector(state);
    this.#roles = {state, elector, follower: new Follower(state)};
  }

  /** @returns the actions collected since the last call, to do in order */
  takeActions(): readonly ConsensusAction[] {
    return this.#state.outbox.take();
  }

  /**
   * Makes this empty member the author of the group's first member list. May
   * be called on one member only, and before any has heard of a group.
   *
   * @param members the first members, this one among them
   */
  bootstrap(members: MemberList): void {
    const {replica} = this.#state;
    replica.add(ENTRY_KIND.MEMBERS, encodeMembers(members), 0);
    replica.writeNew();
    this.#state.makeElectionDue();
  }

  /** @param now monotonic milliseconds; to be called often */
  tick(now: number): void {
    const {leadership} = this.#state;
    if (!leadership) this.#roles.elector.tick(now);
    else if (!leadership.tick(now)) this.#state.stepDown(now);
    this.flush(now);
  }

  /** @param now monotonic milliseconds; to be called after each event */
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
   * @param message a message that arrived
   * @param now monotonic milliseconds
   */
  receive(message: ConsensusMessage, now: number): void {
    // Another identity once had this address: what it was told, or promised,
    // binds this member to nothing.
    if (message.to !== this.#state.id) return;
    // A newer version's kind must not stop this member.
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
   * @param index the index that `takeSnapshot` named
   * @param data the state machine's state there
   */
  snapshotTaken(index: number, data: Uint8Array): void {
    this.#state.replica.snapshotTaken(index, data);
  }

  /**
   * @param command a command of the state machine
   * @returns where it stands; `flush` sends it
   */
  propose(command: Uint8Array): Proposal {
    if (!this.#state.leadership) return {kind: 'notLeader'};
    return this.#add(ENTRY_KIND.COMMAND, command);
  }

  /**
   * @param change one change of the members
   * @param now monotonic milliseconds
   * @returns where it stands; `flush` sends it
   */
  changeMembers(change: MemberChange, now: number): Proposal {
    const {leadership, replica} = this.#state;
    if (!leadership) return {kind: 'notLeader'};
    // Two changes at once, or one beside a forgotten change of an earlier
    // term, can give two majorities that share no voter: two leaders.
    if (!leadership.hasCommittedInTerm) {
      return {kind: 'refused', reason: CHANGE_REFUSAL.TERM_NOT_COMMITTED};
    }
    if (replica.log.membersIndex > replica.commitIndex) {
      return {kind: 'refused', reason: CHANGE_REFUSAL.CHANGE_PENDING};
    }
    const changed = changeMembers(replica.log.members, change);
    if (!changed.ok) return {kind: 'refused', reason: changed.reason};
    // A voter that lacks committed entries is no second copy of them: losing
    // another disk right afterwards would lose acknowledged commands.
    if (change.kind === 'promote' && !leadership.isCaughtUp(change.id)) {
      return {kind: 'refused', reason: CHANGE_REFUSAL.NOT_CAUGHT_UP};
    }
    const data = encodeMembers(changed.members);
    const proposal = this.#add(ENTRY_KIND.MEMBERS, data);
    leadership.updateMembers(now);
    return proposal;
  }

  /**
   * @param token comes back in `readReady` or `readRefused`
   * @param mayWait it may wait for the next heartbeat
   */
  read(token: number, mayWait = false): void {
    const {leadership, outbox} = this.#state;
    if (leadership) leadership.addRead(token, mayWait);
    else outbox.push({kind: 'readRefused', tokens: [token]});
  }

  /**
   * @param id identity of a learner
   * @returns true when this member leads and the learner may be promoted
   */
  isCaughtUp(id: MemberId): boolean {
    return this.#state.leadership?.isCaughtUp(id) ?? false;
  }

  /**
   * @param id identity of a member
   * @param now monotonic milliseconds
   * @returns true when this member leads and hears from the other one
   */
  isActive(id: MemberId, now: number): boolean {
    return this.#state.leadership?.isActive(id, now) ?? false;
  }

  /**
   * @param id identity of a member
   * @param now monotonic milliseconds
   * @returns time since the other one's last answer; 0 unless this one leads
   */
  timeSinceReplyMs(id: MemberId, now: number): number {
    return this.#state.leadership?.timeSinceReplyMs(id, now) ?? 0;
  }

  /**
   * A member that was taken off the list while it was away hears from nobody,
   * and never by itself: the leader no longer sends to it.
   *
   * @param now monotonic milliseconds
   * @returns true when it remembers a group and has long heard no leader
   */
  hasLostLeader(now: number): boolean {
    const {leadership, options} = this.#state;
    if (this.isBlank || leadership) return false;
    const limitMs = REJOIN_AFTER_TIMEOUTS * options.timings.electionTimeoutMs;
    return this.#state.timeSinceLeaderContactMs(now) >= limitMs;
  }

  /** True while this member remembers no group: its storage is empty. */
  get isBlank(): boolean {
    const {term, replica} = this.#state;
    return term === 0 && replica.log.lastIndex === 0;
  }

  /**
   * @param now monotonic milliseconds
   * @returns what this member knows
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
    // An entry of an earlier term on a majority can still be overwritten by
    // another leader; it is committed only by one of the own term after it.
    if (replica.log.termAt(index) !== term) return;
    replica.commitTo(index);
    const {members, membersIndex} = replica.log;
    const isRemoved = !findMember(members, id);
    if (isRemoved && membersIndex <= replica.commitIndex) {
      this.#state.stepDown(now);
    }
  }
}
