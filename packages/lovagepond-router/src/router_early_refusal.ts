/**
 * Refuses a request at once when it can't be served by its deadline, and tells
 * callers when to come back, spread so that they don't return together.
 */
import {
  answerFor,
  type Failure,
  makeFailure,
  type Pool,
  type Random,
} from '@lovagepond/core';
import {type RouterLoadView} from './router_load_view.js';

const MS_PER_SECOND = 1_000;

/** Shortest time after which a refused caller is asked to come back. */
const MIN_RETRY_MS = 500;

/** Longest base, and longest spread, of the time to come back. */
const MAX_DELAY_PART_MS = 30_000;

/**
 * The load view counts work that runs beside a new request as if it went
 * before it, and is about a second old. The sidecar knows the wait; a router
 * refuses only what is hopeless by this factor.
 */
const REFUSAL_FACTOR = 2;

/** Work refused here and not yet due to return, for one pool. */
interface Backlog {
  tokens: number;
  at: number;
}

/** The servers of one decision: their pool and their slots in the digest. */
export interface PoolLoad {
  readonly pool: Pool;
  readonly slots: Int32Array;
}

/** Decides about refusals from this router's view of load. */
export class EarlyRefusal {
  readonly #load: RouterLoadView;
  readonly #random: Random;
  readonly #byPool = new Map<string, Backlog>();

  constructor(load: RouterLoadView, random: Random) {
    this.#load = load;
    this.#random = random;
  }

  /**
   * @param servers the eligible servers
   * @param estimatedTokens the request's work
   * @param deadline monotonic milliseconds
   * @param now present time, monotonic milliseconds
   * @returns the final answer, or undefined when the request may be placed
   */
  check(
    servers: PoolLoad,
    estimatedTokens: number,
    deadline: number,
    now: number,
  ): Failure | undefined {
    const leftMs = Math.max(0, deadline - now);
    if (leftMs === 0) return this.complete(makeFailure('deadlineUnreachable'));
    if (this.#load.isStale(now)) return undefined;
    const waitMs = this.#shortestWait(servers, REFUSAL_FACTOR * leftMs);
    if (waitMs <= REFUSAL_FACTOR * leftMs) return undefined;
    const backlogMs = this.#addToBacklog(servers, estimatedTokens, now);
    const retryAfterMs = this.#randomizeDelay(waitMs - leftMs, backlogMs);
    return makeFailure('deadlineUnreachable', {retryAfterMs});
  }

  /**
   * @param failure a final answer
   * @returns the same with a time to come back, where its kind asks for one
   */
  complete(failure: Failure): Failure {
    if (failure.retryAfterMs > 0) return failure;
    if (!answerFor(failure.kind).retryable) return failure;
    return {...failure, retryAfterMs: this.#randomizeDelay(MIN_RETRY_MS, 0)};
  }

  /** The mean bounds the least, and costs less than a look at every server. */
  #shortestWait({pool, slots}: PoolLoad, enoughMs: number): number {
    const tokensPerMs = pool.decodeTokensPerSecond / MS_PER_SECOND;
    const meanMs = this.#load.meanOf(slots) / tokensPerMs;
    if (meanMs <= enoughMs) return meanMs;
    let least = Number.POSITIVE_INFINITY;
    for (const slot of slots) {
      least = Math.min(least, this.#load.loadOf(slot));
    }
    return Number.isFinite(least) ? least / tokensPerMs : 0;
  }

  /** @returns the time in which the pool can do what was refused here */
  #addToBacklog({pool, slots}: PoolLoad, tokens: number, now: number): number {
    const perMs = (slots.length * pool.decodeTokensPerSecond) / MS_PER_SECOND;
    const backlog = this.#byPool.get(pool.name) ?? {tokens: 0, at: now};
    const left = Math.max(0, backlog.tokens - (now - backlog.at) * perMs);
    this.#byPool.set(pool.name, {tokens: left + tokens, at: now});
    return (left + tokens) / perMs;
  }

  /**
   * Callers who wake together are refused together. One time for all would
   * bring them back together; so each draws its own, over a span as long as
   * the work that was refused takes.
   */
  #randomizeDelay(overrunMs: number, backlogMs: number): number {
    const base = Math.min(MAX_DELAY_PART_MS, Math.max(MIN_RETRY_MS, overrunMs));
    const span = Math.min(MAX_DELAY_PART_MS, Math.max(base, backlogMs));
    return Math.round(base + this.#random.next() * span);
  }
}
