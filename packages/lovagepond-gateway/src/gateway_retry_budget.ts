/**
 * One budget of second tries for all routers together.
 *
 * A pool that fails under load gets each request several times over, which
 * keeps it failing. Each router spends a share of its own requests and an
 * equal part of the common slack: among as many as it has heard of, and no fewer
 * than the settings say, so that the sum holds also while few are heard of.
 */
import {type GatewayPeers} from './gateway_peers.js';

/** Settings of {@link GatewayRetryBudget}. */
export interface GatewayBudgetSettings {
  /** Second tries as a fraction of requests. */
  readonly retryFraction: number;
  /** Sliding time in which both are counted, milliseconds. */
  readonly retryWindowMs: number;
  /** Second tries that all routers together may make beside the fraction. */
  readonly retrySlack: number;
  /** Routers that are taken to share the slack, at least. */
  readonly retryShares: number;
}

/** Times of the events of one pool within the window. */
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

/** Counts first tries and second tries by pool. */
export class GatewayRetryBudget {
  readonly #settings: GatewayBudgetSettings;
  readonly #peers: GatewayPeers;
  readonly #requests = new Map<string, SlidingCount>();
  readonly #retries = new Map<string, SlidingCount>();

  /**
   * @param settings fraction and slack
   * @param peers the other routers
   */
  constructor(settings: GatewayBudgetSettings, peers: GatewayPeers) {
    this.#settings = settings;
    this.#peers = peers;
  }

  /**
   * @param pool the pool that a request goes to
   * @param now present time, monotonic milliseconds
   */
  noteRequest(pool: string, now: number): void {
    countOf(this.#requests, pool).add(now);
  }

  /**
   * @param pool the pool of a second try
   * @param now present time, monotonic milliseconds
   * @returns false when the budget is spent; true spends one try
   */
  trySpend(pool: string, now: number): boolean {
    const {retryFraction, retryWindowMs} = this.#settings;
    const since = now - retryWindowMs;
    const allowed =
      countOf(this.#requests, pool).count(since) * retryFraction +
      this.#slackShare(since);
    const retries = countOf(this.#retries, pool);
    if (retries.count(since) + 1 > allowed) return false;
    retries.add(now);
    return true;
  }

  /** Who was heard of within the window may have spent its share in it. */
  #slackShare(since: number): number {
    const {retrySlack, retryShares} = this.#settings;
    const routers = this.#peers.count(since) + 1;
    return Math.floor(retrySlack / Math.max(retryShares, routers));
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
