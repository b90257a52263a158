/**
 * Estimates the time to the first token of a short or cached prompt at a server
 * that has nothing else to compute: network, a step of the batch, and the
 * server's own delays. Subtracting it from the time of a long prompt leaves the
 * time that the prefill itself took.
 */

/** Part of the observations that lie below the estimate: most have waited. */
const QUANTILE = 0.25;

/** Change of the estimate with each observation, as a part of it. */
const STEP_PART = 0.1;

/** The estimate for one server. */
export class FirstTokenLatency {
  #value: number | undefined;

  /** The estimate in milliseconds; 0 before the first observation. */
  get value(): number {
    return this.#value ?? 0;
  }

  /** @param durationMs time to the first token of a short prompt, milliseconds */
  observe(durationMs: number): void {
    if (this.#value === undefined) {
      this.#value = durationMs;
      return;
    }
    const step = this.#value * STEP_PART;
    if (durationMs > this.#value) this.#value += step * QUANTILE;
    else this.#value -= step * (1 - QUANTILE);
  }

  /**
   * Lowers an estimate that is too high, as after a first observation that was
   * a stalled response. A server that then gets long prompts only would not
   * correct it otherwise.
   *
   * @param durationMs time to the first token of a long prompt, milliseconds
   */
  limit(durationMs: number): void {
    if (this.value > durationMs) this.observe(durationMs);
  }
}
