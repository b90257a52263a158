/**
 * State of one member in its term: term, vote, role, leader and the promise not
 * to vote for others that it gave to the leader.
 */
import {invariant, type Random} from '@lovagepond/core';
import {Leadership} from './consensus_leadership.js';
import {type ConsensusMessage} from './consensus_messages.js';
import {Outbox} from './consensus_outbox.js';
import {Replica} from './consensus_replica.js';
import {type StoredState} from './consensus_storage.js';
import {
  type ConsensusTimings,
  ENTRY_KIND,
  type Member,
  MEMBER_ROLE,
  type MemberId,
  type MemberRole,
} from './consensus_types.js';

/** Input of a member. */
export interface CoreOptions {
  readonly stored: StoredState;
  readonly address: string;
  readonly timings: ConsensusTimings;
  readonly random: Random;
  /**
   * Time by which any previous run of this member had ended, in monotonic
   * milliseconds; it gave no promise later. Defaults to the creation time.
   */
  readonly previousRunEndedBy?: number;
}

type WithoutEnvelope<Message> = Message extends ConsensusMessage
  ? Omit<Message, 'from' | 'fromAddress' | 'to' | 'term'>
  : never;

/**
 * A pre-vote without a majority is retried after this fraction of an election
 * timeout; pre-votes change no state at other members. When all members
 * restart, the first one gets no reply, and a full timeout would delay the
 * election until long after the others are up.
 */
const PRE_VOTE_RETRY_FRACTION = 0.5;

/** A message without its envelope. */
export type MessageBody = WithoutEnvelope<ConsensusMessage>;

export class MemberState {
  readonly id: MemberId;
  readonly parts: CoreOptions;
  readonly outbox = new Outbox();
  readonly replica: Replica;
  #term: number;
  #vote: MemberId;
  #role: MemberRole = MEMBER_ROLE.FOLLOWER;
  #leader: Member | undefined;
  #leadership: Leadership | undefined;
  #leaderContact: number;
  #electionDue = 0;

  /**
   * @param options input of the member
   * @param now monotonic milliseconds
   */
  constructor(options: CoreOptions, now: number) {
    const {stored, timings} = options;
    this.parts = options;
    this.id = stored.id;
    this.replica = new Replica(stored, timings, this.outbox);
    this.#term = stored.hardState.term;
    this.#vote = stored.hardState.vote;
    // A restarted member does not know which leader it promised to follow, so
    // the end of its previous run counts as leader contact: its vote must not
    // cut a lease short. A sole voter waits too, as a leader that is removing
    // itself may still lead. Most of the promise has expired by now.
    this.#leaderContact = options.previousRunEndedBy ?? now;
    this.#electionDue = now + this.#firstTimeout(now);
  }

  get term(): number {
    return this.#term;
  }

  /** The member voted for in the current term; empty if none. */
  get vote(): MemberId {
    return this.#vote;
  }

  get role(): MemberRole {
    return this.#role;
  }

  /** The leader of the term, if known. */
  get leader(): Member | undefined {
    return this.#leader;
  }

  /** Leader state; undefined while this member does not lead. */
  get leadership(): Leadership | undefined {
    return this.#leadership;
  }

  /**
   * @param now monotonic milliseconds
   * @returns true once the election timeout has expired
   */
  isElectionDue(now: number): boolean {
    return now >= this.#electionDue;
  }

  /**
   * For an election timeout after a message of the leader, this member votes
   * for no other; leases rely on this. It also keeps a partitioned member that
   * requests votes with a higher term from deposing the leader.
   *
   * @param now monotonic milliseconds
   * @returns true while this member must not vote for another member
   */
  isBoundToLeader(now: number): boolean {
    const {electionTimeoutMs} = this.parts.timings;
    const isLeading = this.#leadership !== undefined;
    return isLeading || now - this.#leaderContact < electionTimeoutMs;
  }

  /**
   * @param lastIndex last index of another log
   * @param lastTerm term of the last entry of that log
   * @returns true if that log is at least as up to date as this one, so that it
   *     contains all entries that this one may have committed
   */
  isUpToDate(lastIndex: number, lastTerm: number): boolean {
    const {log} = this.replica;
    if (lastTerm !== log.lastTerm) return lastTerm > log.lastTerm;
    return lastIndex >= log.lastIndex;
  }

  /**
   * @param now monotonic milliseconds
   * @returns time since the last message from a leader in milliseconds; before
   *     the first one, since the end of the previous run
   */
  timeSinceLeaderContactMs(now: number): number {
    return now - this.#leaderContact;
  }

  /** @param now monotonic milliseconds */
  postponeElection(now: number): void {
    this.#electionDue = now + this.#drawTimeout();
  }

  /** Makes the next tick start an election. */
  makeElectionDue(): void {
    this.#electionDue = -Infinity;
  }

  /** @param candidate the member that receives the vote in this term */
  voteFor(candidate: MemberId): void {
    invariant(
      this.#vote === '' || this.#vote === candidate,
      110,
      'second vote in one term',
    );
    this.#setHardState(this.#term, candidate);
  }

  /**
   * @param term a higher term, received in a message
   * @param now monotonic milliseconds
   */
  adoptTerm(term: number, now: number): void {
    invariant(
      term > this.#term,
      111,
      'adopted term is not higher than the current one',
    );
    this.stepDown(now);
    this.#setHardState(term, '');
    this.replica.resetVerified();
  }

  /** @param now monotonic milliseconds */
  becomePreCandidate(now: number): void {
    this.#role = MEMBER_ROLE.PRE_CANDIDATE;
    this.#setLeader(undefined);
    this.#electionDue = now + this.#drawTimeout() * PRE_VOTE_RETRY_FRACTION;
  }

  /** Starts a new term and votes for itself. */
  becomeCandidate(): void {
    this.#role = MEMBER_ROLE.CANDIDATE;
    this.#setHardState(this.#term + 1, this.id);
    this.replica.resetVerified();
  }

  /** @param now monotonic milliseconds */
  becomeLeader(now: number): void {
    const {id, outbox, replica} = this;
    const {address, timings} = this.parts;
    this.#role = MEMBER_ROLE.LEADER;
    const term = this.#term;
    const view = {id, address, term, timings, outbox, replica};
    this.#leadership = new Leadership(view, now);
    replica.add(ENTRY_KIND.NOOP, new Uint8Array(), term);
    this.#setLeader({id, address, voter: true});
  }

  /**
   * @param message a message from a leader
   * @param now monotonic milliseconds
   * @returns false if the term of the sender is over
   */
  follow(
    message: Pick<ConsensusMessage, 'from' | 'fromAddress' | 'term'>,
    now: number,
  ): boolean {
    if (message.term < this.#term) return false;
    if (message.term > this.#term) this.adoptTerm(message.term, now);
    invariant(!this.#leadership, 112, 'two leaders in one term');
    this.#role = MEMBER_ROLE.FOLLOWER;
    this.#leaderContact = now;
    this.postponeElection(now);
    const {from, fromAddress} = message;
    this.#setLeader({id: from, address: fromAddress, voter: true});
    return true;
  }

  /**
   * Ends leadership or candidacy.
   *
   * @param now monotonic milliseconds
   */
  stepDown(now: number): void {
    this.#role = MEMBER_ROLE.FOLLOWER;
    this.#setLeader(undefined);
    const leadership = this.#leadership;
    if (!leadership) return;
    this.replica.writeNew();
    const tokens = leadership.takeAllReads();
    this.#leadership = undefined;
    this.postponeElection(now);
    this.outbox.push({kind: 'readRefused', tokens});
    this.outbox.push({kind: 'leadershipLost'});
  }

  /**
   * @param body the message to send
   * @param to the receiver
   * @returns the message in its envelope
   */
  envelop(body: MessageBody, to: MemberId): ConsensusMessage {
    const {address} = this.parts;
    const head = {from: this.id, fromAddress: address, to, term: this.#term};
    return {...body, ...head};
  }

  /**
   * @param message the message to reply to; its sender may not be in the member
   *     list yet
   * @param body the reply, sent once term and vote are synced
   */
  reply(
    message: Pick<ConsensusMessage, 'from' | 'fromAddress'>,
    body: MessageBody,
  ): void {
    const reply = this.envelop(body, message.from);
    this.outbox.sendWhenTermStored(message.fromAddress, reply);
  }

  #setHardState(term: number, vote: MemberId): void {
    if (term === this.#term && vote === this.#vote) return;
    this.#term = term;
    this.#vote = vote;
    this.outbox.write({hardState: {term, vote}, entries: []});
  }

  #setLeader(leader: Member | undefined): void {
    if (leader?.id === this.#leader?.id) return;
    this.#leader = leader;
    this.outbox.push({kind: 'leaderChanged', leader});
  }

  /** Random: members that start together must not start elections together. */
  #firstTimeout(now: number): number {
    const {timings, random} = this.parts;
    const {electionTimeoutMs} = timings;
    const remainingPromiseMs =
      electionTimeoutMs - this.timeSinceLeaderContactMs(now);
    return Math.max(0, remainingPromiseMs) + electionTimeoutMs * random.next();
  }

  /** Random for each call, so that members do not start elections together. */
  #drawTimeout(): number {
    const {timings, random} = this.parts;
    return timings.electionTimeoutMs * (1 + random.next());
  }
}
