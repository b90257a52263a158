/**
 * What one member is in its term: term and vote, role, leader and the promise
 * it gave to that leader.
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

/** What a member is built from. */
export interface CoreOptions {
  readonly stored: StoredState;
  readonly address: string;
  readonly timings: ConsensusTimings;
  readonly random: Random;
  /**
   * After this time no former life of the member promised anything, monotonic
   * milliseconds; by default up to now.
   */
  readonly previousRunEndedBy?: number;
}

type WithoutEnvelope<Message> = Message extends ConsensusMessage
  ? Omit<Message, 'from' | 'fromAddress' | 'to' | 'term'>
  : never;

/**
 * A pre-vote that found no majority is tried again after this part of the time
 * that an election gets. It changes nothing at the others, and when all members
 * were stopped, the first one up asks in vain, and would ask again only when the
 * others have long been up.
 */
const PRE_VOTE_RETRY_FRACTION = 0.5;

/** A message without its envelope. */
export type MessageBody = WithoutEnvelope<ConsensusMessage>;

/** Term, role and promises of one member. */
export class MemberState {
  readonly id: MemberId;
  readonly options: CoreOptions;
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
   * @param options what the member is built from
   * @param now monotonic milliseconds
   */
  constructor(options: CoreOptions, now: number) {
    const {stored, timings} = options;
    this.options = options;
    this.id = stored.id;
    this.replica = new Replica(stored, timings, this.outbox);
    this.#term = stored.hardState.term;
    this.#vote = stored.hardState.vote;
    // A restarted member forgot which leader it promised to follow. It counts
    // the end of its former life as contact, so that its vote cuts no lease
    // short. That holds for a sole voter too: the leader that is removing itself
    // still leads. Counted from when the process was there and not from when
    // this member was ready, most of the promise is over by then.
    this.#leaderContact = options.previousRunEndedBy ?? now;
    this.#electionDue = now + this.#firstTimeout(now);
  }

  /** The current term. */
  get term(): number {
    return this.#term;
  }

  /** The member voted for in the current term; empty when none. */
  get vote(): MemberId {
    return this.#vote;
  }

  /** What this member does in its term. */
  get role(): MemberRole {
    return this.#role;
  }

  /** The leader of the term, when known. */
  get leader(): Member | undefined {
    return this.#leader;
  }

  /** Set while this member leads. */
  get leadership(): Leadership | undefined {
    return this.#leadership;
  }

  /**
   * @param now monotonic milliseconds
   * @returns true when this member should try to be elected
   */
  isElectionDue(now: number): boolean {
    return now >= this.#electionDue;
  }

  /**
   * The promise that leases stand on: for an election timeout after a leader's
   * message no other member gets this one's vote. It also keeps a member that
   * was cut off, and now asks with a higher term, from deposing that leader.
   *
   * @param now monotonic milliseconds
   * @returns true while this member may vote for nobody else
   */
  isBoundToLeader(now: number): boolean {
    const {electionTimeoutMs} = this.options.timings;
    const isLeading = this.#leadership !== undefined;
    return isLeading || now - this.#leaderContact < electionTimeoutMs;
  }

  /**
   * @param lastIndex the last index of another log
   * @param lastTerm the term of its last entry
   * @returns true when that log holds all that this one may have committed
   */
  isUpToDate(lastIndex: number, lastTerm: number): boolean {
    const {log} = this.replica;
    if (lastTerm !== log.lastTerm) return lastTerm > log.lastTerm;
    return lastIndex >= log.lastIndex;
  }

  /**
   * @param now monotonic milliseconds
   * @returns time since a leader's last message, or since the start
   */
  timeSinceLeaderContactMs(now: number): number {
    return now - this.#leaderContact;
  }

  /** @param now monotonic milliseconds */
  postponeElection(now: number): void {
    this.#electionDue = now + this.#drawTimeout();
  }

  /** Tries to be elected now, without waiting for the timeout. */
  makeElectionDue(): void {
    this.#electionDue = -Infinity;
  }

  /** @param candidate the member that gets the vote of this term */
  voteFor(candidate: MemberId): void {
    invariant(
      this.#vote === '' || this.#vote === candidate,
      110,
      'a second vote in one term',
    );
    this.#setHardState(this.#term, candidate);
  }

  /**
   * @param term a higher term, seen in a message
   * @param now monotonic milliseconds
   */
  adoptTerm(term: number, now: number): void {
    invariant(term > this.#term, 111, 'a term went back');
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

  /** Starts a term of its own, with its own vote. */
  becomeCandidate(): void {
    this.#role = MEMBER_ROLE.CANDIDATE;
    this.#setHardState(this.#term + 1, this.id);
    this.replica.resetVerified();
  }

  /** @param now monotonic milliseconds */
  becomeLeader(now: number): void {
    const {id, outbox, replica} = this;
    const {address, timings} = this.options;
    this.#role = MEMBER_ROLE.LEADER;
    const term = this.#term;
    const view = {id, address, term, timings, outbox, replica};
    this.#leadership = new Leadership(view, now);
    replica.add(ENTRY_KIND.NOOP, new Uint8Array(), term);
    this.#setLeader({id, address, voter: true});
  }

  /**
   * @param message a message from the leader of its term
   * @param now monotonic milliseconds
   * @returns false when the sender's term is over
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

  /** @param now monotonic milliseconds; ends leading or trying to */
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
    const {address} = this.options;
    const head = {from: this.id, fromAddress: address, to, term: this.#term};
    return {...body, ...head};
  }

  /**
   * @param message the message to answer; its sender may be in no list yet
   * @param body the answer, sent once term and vote are synced
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

  /** All members may start at once, and must not ask at the same moment. */
  #firstTimeout(now: number): number {
    const {timings, random} = this.options;
    const {electionTimeoutMs} = timings;
    const boundMs = electionTimeoutMs - this.timeSinceLeaderContactMs(now);
    return Math.max(0, boundMs) + electionTimeoutMs * random.next();
  }

  /** Drawn anew each time, so that members don't ask at the same moment. */
  #drawTimeout(): number {
    const {timings, random} = this.options;
    return timings.electionTimeoutMs * (1 + random.next());
  }
}
