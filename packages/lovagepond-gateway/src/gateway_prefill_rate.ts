/**
 * How fast engines read prompts, learned from first tokens.
 */

/** Shorter prompts say more about the way there than about reading. */
const MIN_TOKENS = 1_000;

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.1;

/**
 * An observation counts for at most so many times what is believed: a server
 * that stood still says nothing of the rate at which it reads.
 */
const MAX_FACTOR = 2;

/** A rate in tokens a millisecond. */
export class PrefillRate {
  #tokensPerMs: number;

  /** @param tokensPerMs what is believed until engines have been observed */
  constructor(tokensPerMs: number) {
    this.#tokensPerMs = tokensPerMs;
  }

  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /**
   * @param tokens what an engine with nothing else to read had to read
   * @param durationMs time until its first token
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
