/**
 * Sheds load: refuses a request immediately when it can't be served by its
 * deadline. Retry delays are randomized so that callers don't retry
 * simultaneously.
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

/** Shortest retry delay of a refused request. */
const MIN_RETRY_MS = 500;

/** Limit of the retry delay's base, and of its random part. */
const MAX_DELAY_PART_MS = 30_000;

/**
 * A router refuses a request only when the estimated wait exceeds the remaining
 * time by this factor. The estimate is about a second old and counts work that
 * would run concurrently as if the request had to wait for it. Only the sidecar
 * knows the actual wait.
 */
const REFUSAL_FACTOR = 2;

/** Refused work of one pool that callers are expected to retry. */
interface Backlog {
  tokens: number;
  at: number;
}

/** The eligible servers: their pool and their slots in the load digest. */
export interface PoolLoad {
  readonly pool: Pool;
  readonly slots: Int32Array;
}

/** Decides on early refusals from this router's view of load. */
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
   * @param estimatedTokens the request's estimated work
   * @param deadline the request's deadline, monotonic milliseconds
   * @param now current time, monotonic milliseconds
   * @returns the failure, or undefined when the request may be placed
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
   * @param failure a request's final failure
   * @returns the failure, with a retry delay added when its kind is retryable
   */
  complete(failure: Failure): Failure {
    if (failure.retryAfterMs > 0) return failure;
    if (!answerFor(failure.kind).retryable) return failure;
    return {...failure, retryAfterMs: this.#randomizeDelay(MIN_RETRY_MS, 0)};
  }

  /** Tries the mean first: the minimum is no larger, but costs more to find. */
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

  /** @returns how long the pool needs for the refused work, in milliseconds */
  #addToBacklog({pool, slots}: PoolLoad, tokens: number, now: number): number {
    const perMs = (slots.length * pool.decodeTokensPerSecond) / MS_PER_SECOND;
    const backlog = this.#byPool.get(pool.name) ?? {tokens: 0, at: now};
    const left = Math.max(0, backlog.tokens - (now - backlog.at) * perMs);
    this.#byPool.set(pool.name, {tokens: left + tokens, at: now});
    return (left + tokens) / perMs;
  }

  /**
   * The random part ranges over the time that the refused work takes: callers
   * that start together are refused together, and must not retry together.
   */
  #randomizeDelay(overrunMs: number, backlogMs: number): number {
    const base = Math.min(MAX_DELAY_PART_MS, Math.max(MIN_RETRY_MS, overrunMs));
    const span = Math.min(MAX_DELAY_PART_MS, Math.max(base, backlogMs));
    return Math.round(base + this.#random.next() * span);
  }
}
