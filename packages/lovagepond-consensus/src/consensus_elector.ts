/**
 * Elections: whom this member votes for, and how it is elected itself.
 */
import {isMajority, isVoter} from './consensus_members.js';
import {type MemberState, type MessageBody} from './consensus_member_state.js';
import {
  type PreVoteReply,
  type PreVoteRequest,
  type VoteReply,
  type VoteRequest,
} from './consensus_messages.js';
import {MEMBER_ROLE, type MemberId} from './consensus_types.js';

/** The part of a member that deals with votes. */
export class Elector {
  readonly #state: MemberState;
  readonly #granted = new Set<MemberId>();
  #attempt = 0;

  /** @param state the member's state, shared with its other parts */
  constructor(state: MemberState) {
    this.#state = state;
  }

  /** @param now monotonic milliseconds */
  tick(now: number): void {
    const state = this.#state;
    if (!state.isElectionDue(now)) return;
    if (this.#mayBeElected()) this.#startPreVote(now);
  }

  /**
   * @param message asks whether this member would vote for the sender
   * @param now monotonic milliseconds
   */
  onPreVote(message: PreVoteRequest, now: number): void {
    const state = this.#state;
    const granted =
      !state.isBoundToLeader(now) &&
      message.term >= state.term &&
      state.isUpToDate(message.lastIndex, message.lastTerm);
    const {attempt} = message;
    state.reply(message, {kind: 'preVoteReply', granted, attempt});
  }

  /**
   * @param message an answer to this member's question
   * @param now monotonic milliseconds
   */
  onPreVoteReply(message: PreVoteReply, now: number): void {
    const state = this.#state;
    if (message.term > state.term) state.adoptTerm(message.term, now);
    if (state.role !== MEMBER_ROLE.PRE_CANDIDATE) return;
    if (!message.granted || message.attempt !== this.#attempt) return;
    this.#granted.add(message.from);
    if (this.#hasMajority()) this.#startElection(now);
  }

  /**
   * @param message asks for this member's vote
   * @param now monotonic milliseconds
   */
  onVote(message: VoteRequest, now: number): void {
    const state = this.#state;
    if (state.isBoundToLeader(now)) return;
    if (message.term > state.term) state.adoptTerm(message.term, now);
    const granted =
      message.term === state.term &&
      (state.vote === '' || state.vote === message.from) &&
      state.isUpToDate(message.lastIndex, message.lastTerm);
    if (granted) {
      state.stepDown(now);
      state.voteFor(message.from);
      state.postponeElection(now);
    }
    state.reply(message, {kind: 'voteReply', granted});
  }

  /**
   * @param message a vote
   * @param now monotonic milliseconds
   */
  onVoteReply(message: VoteReply, now: number): void {
    const state = this.#state;
    if (message.term > state.term) state.adoptTerm(message.term, now);
    if (!message.granted || message.term !== state.term) return;
    this.#countVote(message.from, now);
  }

  /**
   * Counts the own vote once it is synced. Counted before, a crash could
   * forget it, and the member would vote again in the same term.
   *
   * @param now monotonic milliseconds
   */
  onStored(now: number): void {
    const state = this.#state;
    if (state.outbox.isTermStored) this.#countVote(state.id, now);
  }

  /**
   * A learner, or a member with an emptied disk that nobody promoted yet,
   * never tries: it would speak for a log that it doesn't have. A voter whose
   * removal is not committed yet must try: when only its log holds the
   * removal, the voters left can't be elected against that longer log, and the
   * group would stand still.
   */
  #mayBeElected(): boolean {
    const {id, replica} = this.#state;
    const {members, previousMembers, membersIndex} = replica.log;
    if (isVoter(members, id)) return true;
    const isCommitted = membersIndex <= replica.commitIndex;
    return !isCommitted && isVoter(previousMembers, id);
  }

  #countVote(from: MemberId, now: number): void {
    if (this.#state.role !== MEMBER_ROLE.CANDIDATE) return;
    this.#granted.add(from);
    if (this.#hasMajority()) this.#state.becomeLeader(now);
  }

  #startPreVote(now: number): void {
    const state = this.#state;
    state.becomePreCandidate(now);
    this.#attempt += 1;
    this.#granted.clear();
    this.#granted.add(state.id);
    if (this.#hasMajority()) {
      this.#startElection(now);
      return;
    }
    const attempt = this.#attempt;
    this.#askVoters({kind: 'preVote', ...this.#lastEntry(), attempt});
  }

  #startElection(now: number): void {
    const state = this.#state;
    state.becomeCandidate();
    state.postponeElection(now);
    this.#granted.clear();
    this.#askVoters({kind: 'vote', ...this.#lastEntry()});
  }

  #askVoters(body: MessageBody): void {
    const {replica, id, outbox} = this.#state;
    for (const member of replica.log.members) {
      if (!member.voter || member.id === id) continue;
      const message = this.#state.envelop(body, member.id);
      outbox.sendWhenTermStored(member.address, message);
    }
  }

  #lastEntry(): {lastIndex: number; lastTerm: number} {
    const {lastIndex, lastTerm} = this.#state.replica.log;
    return {lastIndex, lastTerm};
  }

  #hasMajority(): boolean {
    return isMajority(this.#state.replica.log.members, this.#granted);
  }
}
