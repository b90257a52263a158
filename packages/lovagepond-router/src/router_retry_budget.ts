/**
 * Limits retries to a fraction of first attempts in each pool.
 *
 * Without a limit, a pool that fails under load receives each request several
 * times, which keeps it overloaded after the cause has passed.
 */

export interface RetryBudgetSettings {
  /** Retries as a fraction of first attempts. */
  readonly retryFraction: number;
}

/** Initial retries of a pool, and the most that it can accumulate. */
const MAX_SAVED_RETRIES = 10;

/** Token buckets filled by first attempts and emptied by retries. */
export class RetryBudget {
  readonly #settings: RetryBudgetSettings;
  readonly #byPool = new Map<string, number>();

  constructor(settings: RetryBudgetSettings) {
    this.#settings = settings;
  }

  /** @param pool the pool that a first attempt goes to */
  noteFirstAttempt(pool: string): void {
    const saved = this.retriesLeft(pool) + this.#settings.retryFraction;
    this.#byPool.set(pool, Math.min(MAX_SAVED_RETRIES, saved));
  }

  /**
   * @param pool the pool that a retry would go to
   * @returns false when the budget is exhausted; true after charging one retry
   */
  trySpend(pool: string): boolean {
    const saved = this.retriesLeft(pool);
    if (saved < 1) return false;
    this.#byPool.set(pool, saved - 1);
    return true;
  }

  /**
   * @param pool a pool
   * @returns number of retries allowed now
   */
  retriesLeft(pool: string): number {
    return this.#byPool.get(pool) ?? MAX_SAVED_RETRIES;
  }

  /** @param pools the current pools */
  keepOnly(pools: ReadonlySet<string>): void {
    for (const pool of this.#byPool.keys()) {
      if (!pools.has(pool)) this.#byPool.delete(pool);
    }
  }
}
