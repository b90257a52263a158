/**
 * A retry budget shared by all gateways.
 *
 * Without a budget, retries multiply the load of a pool that fails under load,
 * which keeps the pool failing. Each gateway may retry a fraction of its own
 * requests, and further ones from an equal share of the common slack. The slack
 * is divided among the gateways seen, but at least among the configured number:
 * the total limit then holds even before all gateways have been seen.
 */
import {type GatewayPeers} from './gateway_peers.js';

export interface GatewayBudgetSettings {
  /** Retries as a fraction of requests. */
  readonly retryFraction: number;
  /** Sliding window in which both are counted, milliseconds. */
  readonly retryWindowMs: number;
  /** Retries that all gateways together may make beyond the fraction. */
  readonly retrySlack: number;
  /** Smallest number of gateways assumed to share the slack. */
  readonly retryShares: number;
}

/**
 * Longest time from the spending of a retry to its arrival at a server, ms: the
 * wait for a server with room, for a permit and for a connection. Retries count
 * for as much longer than the window, so that it holds for arrivals.
 */
const ARRIVAL_DELAY_MS = 1_000;

/** Times of one pool's events within the window. */
class SlidingCount {
  readonly #times: number[] = [];
  #start = 0;

  add(now: number): void {
    this.#times.push(now);
  }

  count(since: number): number {
    while ((this.#times[this.#start] ?? Infinity) < since) this.#start += 1;
    if (this.#start > 1_024) {
      this.#times.splice(0, this.#start);
      this.#start = 0;
    }
    return this.#times.length - this.#start;
  }
}

/** One pool's budget at this gateway. */
export interface RetryBudgetView {
  /** Requests within the window. */
  readonly requests: number;
  /** This gateway's part of the slack. */
  readonly slackShare: number;
  /** Retries that count against the window. */
  readonly retries: number;
}

/** Counts requests and retries by pool. */
export class GatewayRetryBudget {
  readonly #settings: GatewayBudgetSettings;
  readonly #peers: GatewayPeers;
  readonly #requests = new Map<string, SlidingCount>();
  readonly #retries = new Map<string, SlidingCount>();

  /**
   * @param settings the budget's size and window
   * @param peers the other gateways
   */
  constructor(settings: GatewayBudgetSettings, peers: GatewayPeers) {
    this.#settings = settings;
    this.#peers = peers;
  }

  /**
   * @param pool the pool that a request is sent to
   * @param now current time, monotonic milliseconds
   */
  noteRequest(pool: string, now: number): void {
    countOf(this.#requests, pool).add(now);
  }

  /**
   * @param pool the pool to retry in
   * @param now current time, monotonic milliseconds
   * @returns true if one retry was taken from the budget, false if it is
   *     exhausted
   */
  trySpend(pool: string, now: number): boolean {
    const {retryFraction, retryWindowMs} = this.#settings;
    const since = now - retryWindowMs;
    const allowed =
      countOf(this.#requests, pool).count(since) * retryFraction +
      this.#slackShare(since);
    const retries = countOf(this.#retries, pool);
    if (retries.count(since - ARRIVAL_DELAY_MS) + 1 > allowed) return false;
    retries.add(now);
    return true;
  }

  /**
   * @param pool a pool
   * @param now current time, monotonic milliseconds
   * @returns what the budget of the pool consists of at this gateway
   */
  describe(pool: string, now: number): RetryBudgetView {
    const since = now - this.#settings.retryWindowMs;
    return {
      requests: countOf(this.#requests, pool).count(since),
      slackShare: this.#slackShare(since),
      retries: countOf(this.#retries, pool).count(since - ARRIVAL_DELAY_MS),
    };
  }

  /** @returns this gateway's share, by the gateways seen within the window */
  #slackShare(since: number): number {
    const {retrySlack, retryShares} = this.#settings;
    const gateways = this.#peers.count(since) + 1;
    return Math.floor(retrySlack / Math.max(retryShares, gateways));
  }
}

function countOf(
  counts: Map<string, SlidingCount>,
  pool: string,
): SlidingCount {
  const existing = counts.get(pool);
  if (existing) return existing;
  const created = new SlidingCount();
  counts.set(pool, created);
  return created;
}
