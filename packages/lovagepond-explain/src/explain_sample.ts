/**
 * Durations of any number of requests in a bounded space.
 */

/** Ratio of the bounds of a step: a quantile is right within a tenth. */
const STEP = 1.1;

/** Counts durations in steps that grow with them. */
export class DurationSample {
  readonly #steps = new Map<number, number>();
  #count = 0;

  /** @param ms a duration, milliseconds */
  add(ms: number): void {
    const step = ms < 1 ? 0 : Math.ceil(Math.log(ms) / Math.log(STEP));
    this.#steps.set(step, (this.#steps.get(step) ?? 0) + 1);
    this.#count += 1;
  }

  /**
   * @param part of the durations that are shorter, 0 to 1
   * @returns a duration, milliseconds; 0 when there is none
   */
  quantile(part: number): number {
    const steps = [...this.#steps].sort(([a], [b]) => a - b);
    let left = part * this.#count;
    for (const [step, count] of steps) {
      left -= count;
      if (left <= 0) return Math.round(STEP ** step);
    }
    return 0;
  }
}
