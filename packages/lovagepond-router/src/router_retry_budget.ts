/**
 * Bounds retries to a fraction of first attempts, pool by pool.
 *
 * Without a bound a pool that fails under load gets each request several
 * times over, which keeps it failing after the cause has passed.
 */

/** Settings of {@link RetryBudget}. */
export interface RetryBudgetSettings {
  /** Retries as a fraction of first attempts. */
  readonly retryFraction: number;
}

/** Retries that a quiet pool may make, and the most that can be saved up. */
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
   * @returns false when the budget is spent; true spends one retry
   */
  trySpend(pool: string): boolean {
    const saved = this.retriesLeft(pool);
    if (saved < 1) return false;
    this.#byPool.set(pool, saved - 1);
    return true;
  }

  /**
   * @param pool a pool
   * @returns retries it may make now
   */
  retriesLeft(pool: string): number {
    return this.#byPool.get(pool) ?? MAX_SAVED_RETRIES;
  }

  /** @param pools the pools that still exist */
  keepOnly(pools: ReadonlySet<string>): void {
    for (const pool of this.#byPool.keys()) {
      if (!pools.has(pool)) this.#byPool.delete(pool);
    }
  }
}
