/**
 * Confirmation rounds: how a leader knows that it still leads.
 *
 * Each heartbeat starts a round; followers return its number. When a majority
 * has answered a round, nobody else led at the round's start, and those who
 * answered elect nobody for an election timeout after it.
 */
import {type ConsensusTimings} from './consensus_types.js';

interface Round {
  readonly number: number;
  readonly startedAt: number;
}

interface PendingRead {
  readonly token: number;
  /** The first round that started after the read arrived. */
  readonly round: number;
  /** It is answered by the next heartbeat's round. */
  readonly mayWait: boolean;
}

/**
 * The lease must end before a follower's promise does: the leader's clock may
 * be slow and the follower's fast, each by the allowance. Without the factor a
 * deposed leader still answers reads that miss its successor's commits.
 *
 * @param timings times of the group
 * @returns length of a lease on the leader's clock, milliseconds
 */
function leaseLengthMs(timings: ConsensusTimings): number {
  const drift = timings.clockDriftAllowance;
  return (timings.electionTimeoutMs * (1 - drift)) / (1 + drift);
}

/**
 * A leader whose own loop stood still for longer than this part of an election
 * timeout may have its followers' answers unread before it.
 */
const STALL_FRACTION = 0.4;

/** The rounds of one leader in one term, and the reads that wait for them. */
export class ConfirmationRounds {
  readonly #timings: ConsensusTimings;
  readonly #leaderSince: number;
  #rounds: Round[] = [];
  #current = 0;
  #confirmed = 0;
  #confirmedAt = -Infinity;
  #tickedAt: number;
  /** When the leader's own stall ended, and the round that it was granted for. */
  #stalledUntil = -Infinity;
  #stalledRound = -1;
  #reads: PendingRead[] = [];

  constructor(timings: ConsensusTimings, now: number) {
    this.#timings = timings;
    this.#leaderSince = now;
    this.#tickedAt = now;
  }

  /**
   * Taking over after a stop of all processes, a leader reads and passes on what
   * a dozen engines hold: it stood still for 0.3 s, gave up a group that was
   * well, and callers were refused for half a second more. So a stall of its own
   * doesn't count as the followers' silence, once between two confirmed rounds.
   * The lease isn't lengthened: it ends by the clock.
   *
   * @param now monotonic milliseconds; to be called with each tick
   */
  recordTick(now: number): void {
    const stallMs = now - this.#tickedAt;
    this.#tickedAt = now;
    const {electionTimeoutMs} = this.#timings;
    if (stallMs < electionTimeoutMs * STALL_FRACTION) return;
    if (this.#stalledRound === this.#confirmed) return;
    this.#stalledRound = this.#confirmed;
    this.#stalledUntil = now;
  }

  /** Number of the latest round. */
  get current(): number {
    return this.#current;
  }

  /**
   * @param now monotonic milliseconds
   * @returns true when the next heartbeat is due
   */
  isHeartbeatDue(now: number): boolean {
    const last = this.#rounds.at(-1)?.startedAt ?? -Infinity;
    return now - last >= this.#timings.heartbeatIntervalMs;
  }

  /** @param now monotonic milliseconds */
  start(now: number): void {
    this.#current += 1;
    this.#rounds.push({number: this.#current, startedAt: now});
  }

  /** @param round a majority has answered this round, or a later one */
  confirm(round: number): void {
    if (round <= this.#confirmed) return;
    this.#confirmed = round;
    const found = this.#rounds.find(candidate => candidate.number === round);
    this.#confirmedAt = found?.startedAt ?? this.#confirmedAt;
    this.#rounds = this.#rounds.filter(later => later.number >= round);
  }

  /**
   * @param now monotonic milliseconds
   * @returns true while no other member can be elected
   */
  isLeaseValid(now: number): boolean {
    return now < this.#confirmedAt + leaseLengthMs(this.#timings);
  }

  /**
   * @param now monotonic milliseconds
   * @returns true when no majority answered for an election timeout
   */
  hasLostMajority(now: number): boolean {
    const contact = Math.max(
      this.#leaderSince,
      this.#confirmedAt,
      this.#stalledUntil,
    );
    return now - contact >= this.#timings.electionTimeoutMs;
  }

  /**
   * @param token the caller's number for a read that arrives now
   * @param mayWait the read may wait for the next heartbeat: with a round for
   *     each read, 27 gateways that ask twice a second had a group of eight
   *     send three times the messages of its heartbeats
   */
  addRead(token: number, mayWait: boolean): void {
    this.#reads.push({token, round: this.#current + 1, mayWait});
  }

  /** @returns true when a read needs a round now and none is under way */
  needsRound(): boolean {
    const underWay = this.#reads.some(
      read => read.round <= this.#current && read.round > this.#confirmed,
    );
    const needs = (read: PendingRead): boolean =>
      !read.mayWait && read.round > this.#current;
    return !underWay && this.#reads.some(needs);
  }

  /** @returns tokens of the reads that are confirmed now */
  takeConfirmedReads(): readonly number[] {
    const done = this.#reads.filter(read => read.round <= this.#confirmed);
    if (done.length === 0) return [];
    this.#reads = this.#reads.filter(read => read.round > this.#confirmed);
    return done.map(read => read.token);
  }

  /** @returns tokens of all reads; they will not be answered */
  takeAllReads(): readonly number[] {
    const tokens = this.#reads.map(read => read.token);
    this.#reads = [];
    return tokens;
  }
}
