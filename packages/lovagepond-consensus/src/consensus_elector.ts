/**
 * Elections: granting votes and requesting them.
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

export class Elector {
  readonly #state: MemberState;
  readonly #granted = new Set<MemberId>();
  #attempt = 0;

  /** @param state state of the member, shared with its other components */
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
   * @param message a pre-vote request
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
   * @param message a reply to a pre-vote request of this member
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
   * @param message a vote request
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
   * @param message a reply to a vote request of this member
   * @param now monotonic milliseconds
   */
  onVoteReply(message: VoteReply, now: number): void {
    const state = this.#state;
    if (message.term > state.term) state.adoptTerm(message.term, now);
    if (!message.granted || message.term !== state.term) return;
    this.#countVote(message.from, now);
  }

  /**
   * Counts this member's own vote only once it is synced: after a crash that
   * lost it, the member could vote again in the same term.
   *
   * @param now monotonic milliseconds
   */
  onStored(now: number): void {
    const state = this.#state;
    if (state.outbox.isTermStored) this.#countVote(state.id, now);
  }

  /**
   * A learner, such as a member that lost its disk, must not become a
   * candidate: its log may be incomplete. A voter whose removal is not
   * committed must be able to: if only its log contains the removal, the other
   * voters can't win against that longer log, and the group would have no
   * leader.
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
    this.#sendToVoters({kind: 'preVote', ...this.#lastEntry(), attempt});
  }

  #startElection(now: number): void {
    const state = this.#state;
    state.becomeCandidate();
    state.postponeElection(now);
    this.#granted.clear();
    this.#sendToVoters({kind: 'vote', ...this.#lastEntry()});
  }

  #sendToVoters(body: MessageBody): void {
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
