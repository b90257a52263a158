/**
 * One budget of second tries for all routers together.
 *
 * A pool that fails under load gets each request several times over, which
 * keeps it failing. Each router spends a share of its own requests and an
 * equal part of the common slack, so the sum over all routers holds without a
 * word between them, also while they can't reach each other.
 */

/** Settings of {@link GatewayRetryBudget}. */
export interface GatewayBudgetSettings {
  /** Second tries as a fraction of requests. */
  readonly retryFraction: number;
  /** Sliding time in which both are counted, milliseconds. */
  readonly retryWindowMs: number;
  /** Second tries that this router may make beside the fraction. */
  readonly retrySlack: number;
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
  readonly #first = new Map<string, SlidingCount>();
  readonly #second = new Map<string, SlidingCount>();

  constructor(settings: GatewayBudgetSettings) {
    this.#settings = settings;
  }

  /**
   * @param pool the pool that a request goes to
   * @param now present time, monotonic milliseconds
   */
  noteRequest(pool: string, now: number): void {
    countOf(this.#first, pool).add(now);
  }

  /**
   * @param pool the pool of a second try
   * @param now present time, monotonic milliseconds
   * @returns false when the budget is spent; true spends one try
   */
  trySpend(pool: string, now: number): boolean {
    const {retryFraction, retryWindowMs, retrySlack} = this.#settings;
    const since = now - retryWindowMs;
    const allowed =
      countOf(this.#first, pool).count(since) * retryFraction + retrySlack;
    const second = countOf(this.#second, pool);
    if (second.count(since) + 1 > allowed) return false;
    second.add(now);
    return true;
  }
}

function countOf(
  counts: Map<string, SlidingCount>,
  pool: string,
): SlidingCount {
  const known = counts.get(pool);
  if (known) return known;
  const made = new SlidingCount();
  counts.set(pool, made);
  return made;
}
