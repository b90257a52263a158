/**
 * Estimates the engines' prefill rate from the time to the first token.
 */

/** For shorter prompts, network latency dominates the measured time. */
const MIN_TOKENS = 1_000;

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.1;

/**
 * Limits an observation to this factor above or below the estimate: the time of
 * a stalled server does not reflect its prefill rate.
 */
const MAX_FACTOR = 2;

/** The estimated rate, in tokens per millisecond. */
export class PrefillRate {
  #tokensPerMs: number;

  /** @param tokensPerMs the initial estimate */
  constructor(tokensPerMs: number) {
    this.#tokensPerMs = tokensPerMs;
  }

  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /**
   * @param tokens tokens that an otherwise idle engine had to compute
   * @param durationMs time to its first token, milliseconds
   */
  observe(tokens: number, durationMs: number): void {
    if (tokens < MIN_TOKENS || durationMs <= 0) return;
    const observed = tokens / durationMs;
    const current = this.#tokensPerMs;
    const clamped = Math.min(
      current * MAX_FACTOR,
      Math.max(current / MAX_FACTOR, observed),
    );
    this.#tokensPerMs += (clamped - current) * NEWEST_WEIGHT;
  }
}
