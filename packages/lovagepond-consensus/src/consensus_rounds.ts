/**
 * Confirmation rounds, by which a leader verifies that it still leads.
 *
 * Each heartbeat starts a round, and followers echo its number. Once a majority
 * has replied to a round, no other member led when the round started, and the
 * members that replied vote for no other member for an election timeout after
 * that start.
 */
import {type ConsensusTimings} from './consensus_types.js';

interface Round {
  readonly number: number;
  readonly startedAt: number;
}

interface PendingRead {
  readonly token: number;
  /** First round that starts after the read arrived. */
  readonly round: number;
  /** The read may wait for the round of the next heartbeat. */
  readonly mayWait: boolean;
}

/**
 * Length of a lease on the clock of the leader. It must end before the promises
 * of the followers do: that clock may be slow and a follower's fast, each by
 * the allowance. Otherwise a deposed leader would still answer reads that miss
 * commits of its successor.
 */
function leaseLengthMs(timings: ConsensusTimings): number {
  const drift = timings.clockDriftAllowance;
  return (timings.electionTimeoutMs * (1 - drift)) / (1 + drift);
}

/**
 * Fraction of an election timeout. If the event loop of the leader stalls for
 * longer, replies of followers may be waiting unread.
 */
const STALL_FRACTION = 0.4;

/** Rounds of one leader in one term, and the reads that wait for them. */
export class ConfirmationRounds {
  readonly #timings: ConsensusTimings;
  readonly #leaderSince: number;
  #rounds: Round[] = [];
  #current = 0;
  #confirmed = 0;
  #confirmedAt = -Infinity;
  #tickedAt: number;
  /**
   * End of the last stall that did not count as time without replies, and the
   * confirmed round at that time.
   */
  #stalledUntil = -Infinity;
  #stalledRound = -1;
  #reads: PendingRead[] = [];

  constructor(timings: ConsensusTimings, now: number) {
    this.#timings = timings;
    this.#leaderSince = now;
    this.#tickedAt = now;
  }

  /**
   * Detects a stall of the leader's own event loop. Once between two confirmed
   * rounds, the time of a stall does not count as time without replies.
   *
   * A leader elected after a restart of all processes stalls for 0.3 s while it
   * reads and forwards the state of a dozen engines. Without this exception it
   * would step down although the group is healthy, and callers would be refused
   * for another half second. The stall does not extend the lease.
   *
   * @param now monotonic milliseconds; call it with each tick
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
   * @returns true if the next heartbeat is due
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

  /** @param round the latest round that a majority has replied to */
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
   * @returns true if no majority has replied for an election timeout
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
   * @param token identifies a read that arrives now
   * @param mayWait true if the read may wait for the next heartbeat. With a
   *     round for each read, a group of eight members sends three times the
   *     messages of its heartbeats when 27 gateways read twice a second.
   */
  addRead(token: number, mayWait: boolean): void {
    this.#reads.push({token, round: this.#current + 1, mayWait});
  }

  /** @returns true if a read needs a round now and none is in progress */
  needsRound(): boolean {
    const underWay = this.#reads.some(
      read => read.round <= this.#current && read.round > this.#confirmed,
    );
    const needs = (read: PendingRead): boolean =>
      !read.mayWait && read.round > this.#current;
    return !underWay && this.#reads.some(needs);
  }

  /** @returns tokens of the reads that are confirmed by now */
  takeConfirmedReads(): readonly number[] {
    const done = this.#reads.filter(read => read.round <= this.#confirmed);
    if (done.length === 0) return [];
    this.#reads = this.#reads.filter(read => read.round > this.#confirmed);
    return done.map(read => read.token);
  }

  /** @returns tokens of all pending reads; none of them will be confirmed */
  takeAllReads(): readonly number[] {
    const tokens = this.#reads.map(read => read.token);
    this.#reads = [];
    return tokens;
  }
}
