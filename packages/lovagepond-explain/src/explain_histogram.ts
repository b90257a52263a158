/**
 * Durations of any number of requests in a bounded space.
 */

/** Ratio of the bounds of a step: a quantile is right within a tenth. */
const BUCKET_RATIO = 1.1;

/** Counts durations in steps that grow with them. */
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
   * @param fraction of the durations that are shorter, 0 to 1
   * @returns a duration, milliseconds; 0 when there is none
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
