/**
 * Estimates the backend server's processing rate from finished work, and the
 * expected waits that follow from it.
 */

const WINDOW_MS = 500;
const SMOOTHING_FACTOR = 0.3;
const MS_PER_SECOND = 1_000;

/** Estimates the processing rate, waits and run times. */
export class SidecarWaitEstimate {
  #tokensPerMs: number;
  #serviceMsPerToken = 0;
  #windowStart: number | undefined;
  #windowTokens = 0;

  /** @param tokensPerSecond initial rate, before the first measurement */
  constructor(tokensPerSecond: number) {
    this.#tokensPerMs = tokensPerSecond / MS_PER_SECOND;
  }

  /** @returns tokens finished per second while requests were queued */
  get tokensPerSecond(): number {
    return this.#tokensPerMs * MS_PER_SECOND;
  }

  /**
   * Starts or stops the measurement. The rate is measured only while requests
   * are queued, as an idle server finishes little because it receives little.
   *
   * @param waiting true while requests are queued
   * @param now current time
   */
  noteQueue(waiting: boolean, now: number): void {
    if (!waiting) {
      this.#windowStart = undefined;
      return;
    }
    this.#windowStart ??= now;
  }

  /**
   * @param tokens tokens of a request that ran to its end
   * @param serviceMs its run time, milliseconds
   * @param now current time
   */
  noteFinish(tokens: number, serviceMs: number, now: number): void {
    if (tokens <= 0) return;
    const perToken = serviceMs / tokens;
    const former = this.#serviceMsPerToken;
    this.#serviceMsPerToken =
      former === 0 ? perToken : former + SMOOTHING_FACTOR * (perToken - former);
    if (this.#windowStart === undefined) return;
    this.#windowTokens += tokens;
    const elapsed = now - this.#windowStart;
    if (elapsed < WINDOW_MS) return;
    const rate = this.#windowTokens / elapsed;
    this.#tokensPerMs += SMOOTHING_FACTOR * (rate - this.#tokensPerMs);
    this.#windowStart = now;
    this.#windowTokens = 0;
  }

  /**
   * @param tokens tokens to process first
   * @returns expected time to process them, milliseconds
   */
  waitMs(tokens: number): number {
    return tokens <= 0 ? 0 : tokens / this.#tokensPerMs;
  }

  /**
   * @param tokens tokens of a request
   * @returns expected run time, milliseconds; 0 before the first finished run
   */
  serviceMs(tokens: number): number {
    return tokens * this.#serviceMsPerToken;
  }
}
