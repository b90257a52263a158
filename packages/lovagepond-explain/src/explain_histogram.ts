/**
 * Histogram of request durations with bounded memory.
 */

/**
 * Ratio of neighbouring bucket bounds. Quantiles above 1 ms are at most 10% too
 * high, before rounding.
 */
const BUCKET_RATIO = 1.1;

/** Counts durations in exponentially growing buckets. */
export class DurationHistogram {
  readonly #buckets = new Map<number, number>();
  #count = 0;

  /** @param ms a duration, milliseconds */
  add(ms: number): void {
    const bucket =
      ms < 1 ? 0 : Math.ceil(Math.log(ms) / Math.log(BUCKET_RATIO));
    this.#buckets.set(bucket, (this.#buckets.get(bucket) ?? 0) + 1);
    this.#count += 1;
  }

  /**
   * @param fraction share of the durations that are at or below the quantile, 0
   *     to 1
   * @returns upper bound of the quantile's bucket, rounded to whole
   *     milliseconds; 0 when there are no durations
   */
  quantile(fraction: number): number {
    const buckets = [...this.#buckets].sort(([a], [b]) => a - b);
    let remaining = fraction * this.#count;
    for (const [bucket, count] of buckets) {
      remaining -= count;
      if (remaining <= 0) return Math.round(BUCKET_RATIO ** bucket);
    }
    return 0;
  }
}
