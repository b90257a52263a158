/**
 * The leader of control as far as retries go, in virtual time. Its log doesn't
 * fail.
 */
import {type RetryAllowance} from '@lovagepond/core';
import {
  grantKeptMs,
  readRequestCounts,
  readWantedRetries,
  requestKeptMs,
  retriesLeft,
  RetryGrants,
  RetryRequestCounts,
  shareRetries,
  sumByPool,
  type WantedRetries,
} from '@lovagepond/control/deciders';
import {type lovagepond} from '@lovagepond/protocol';
import {type VirtualTime} from './virtual_time.js';

type WireRequest = Omit<lovagepond.v1.RetryRequest.$Properties, 'node'>;
type WireCounts = lovagepond.v1.RequestCounts.$Properties;

type WireResponse = lovagepond.v1.RetryResponse.$Properties;

const EXPIRY_INTERVAL_MS = 500;

/** Time in which questions are answered together, milliseconds. */
const ENTRY_INTERVAL_MS = 20;

interface Question {
  readonly wanted: WantedRetries;
  readonly onAnswer: (res: WireResponse) => void;
}

export class SimulatedRetryLeader {
  readonly #allowance: RetryAllowance;
  #requests: RetryRequestCounts;
  readonly #grants = new RetryGrants();
  readonly #time: VirtualTime;
  #waiting: Question[] = [];
  #processes = 0;
  #expiredAt = 0;
  #silentUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param allowance what the servers of each pool may get
   * @param time the simulation's clock
   */
  constructor(allowance: RetryAllowance, time: VirtualTime) {
    this.#time = time;
    this.#allowance = allowance;
    this.#requests = new RetryRequestCounts(requestKeptMs(allowance));
  }

  /** @returns a number for a process of a gateway, which no other one has */
  nextProcess(): number {
    this.#processes += 1;
    return this.#processes;
  }

  /** @param until virtual time until which no question is answered */
  silence(until: number): void {
    this.#silentUntil = until;
  }

  /**
   * Another member leads. It knows the log, but not the requests.
   *
   * @param now virtual time, milliseconds
   * @param from virtual time from which it answers
   */
  change(now: number, from: number): void {
    this.#requests = new RetryRequestCounts(requestKeptMs(this.#allowance));
    this.silence(Math.max(now, from));
  }

  /** @param now virtual time, milliseconds */
  isSilent(now: number): boolean {
    return now < this.#silentUntil;
  }

  /**
   * @param counts a gateway's report of its requests
   * @param now virtual time, milliseconds
   */
  note(counts: WireCounts, now: number): void {
    this.#requests.note(readRequestCounts(counts), now);
  }

  /**
   * @param req a gateway's question
   * @param onAnswer called later, unless no question is answered
   */
  ask(req: WireRequest, onAnswer: (res: WireResponse) => void): void {
    const {now} = this.#time;
    if (this.isSilent(now)) return;
    if (req.requests) this.note(req.requests, now);
    this.#waiting.push({wanted: readWantedRetries(req.wanted), onAnswer});
    if (this.#waiting.length > 1) return;
    this.#time.after(ENTRY_INTERVAL_MS, () => {
      this.#answerAll();
    });
  }

  #answerAll(): void {
    const {now} = this.#time;
    if (now - this.#expiredAt > EXPIRY_INTERVAL_MS) {
      this.#requests.expire(now);
      this.#expiredAt = now;
    }
    const questions = this.#waiting;
    this.#waiting = [];
    const granted = shareRetries(
      questions.map(({wanted}) => wanted),
      pool => this.leftOf(pool, now),
    );
    const pools = granted.flatMap(own => [...own]);
    const intervalMs = this.#requests.countReporting(now);
    const keepMs = grantKeptMs(this.#allowance);
    this.#grants.record({pools: sumByPool(pools), keepMs}, now, now);
    for (const [at, {wanted, onAnswer}] of questions.entries()) {
      onAnswer({
        answered: true,
        granted: [...wanted.keys()].map(pool => ({
          pool,
          count: granted[at]?.get(pool) ?? 0,
        })),
        intervalMs,
      });
    }
  }

  /**
   * @param pool a pool
   * @param now virtual time, milliseconds
   * @returns retries that may be granted
   */
  leftOf(pool: string, now: number): number {
    const requests = this.#requests.counterOf(pool, now);
    const grants = this.#grants.list(pool);
    return retriesLeft(this.#allowance, requests, grants, now);
  }
}
