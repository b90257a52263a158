/**
 * How fast this backend server works, learnt from what it finished, and the
 * waits that follow from it.
 */

const WINDOW_MS = 500;
const SMOOTHING_FACTOR = 0.3;
const MS_PER_SECOND = 1_000;

/** Learns the rate of work; gives expected times. */
export class SidecarWaitEstimate {
  #tokensPerMs: number;
  #serviceMsPerToken = 0;
  #windowStart: number | undefined;
  #windowTokens = 0;

  /** @param tokensPerSecond rate to assume before anything was measured */
  constructor(tokensPerSecond: number) {
    this.#tokensPerMs = tokensPerSecond / MS_PER_SECOND;
  }

  /** @returns tokens a second finished while requests were waiting */
  get tokensPerSecond(): number {
    return this.#tokensPerMs * MS_PER_SECOND;
  }

  /**
   * Only a time in which requests wait tells what the server can do: an idle
   * server finishes little because it is given little.
   *
   * @param waiting true while requests wait
   * @param now present time
   */
  noteQueue(waiting: boolean, now: number): void {
    if (!waiting) {
      this.#windowStart = undefined;
      return;
    }
    this.#windowStart ??= now;
  }

  /**
   * @param tokens work of a request that ran to its end
   * @param serviceMs how long it ran
   * @param now present time
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
   * @param tokens work to be finished first
   * @returns milliseconds until it is
   */
  waitMs(tokens: number): number {
    return tokens <= 0 ? 0 : tokens / this.#tokensPerMs;
  }

  /**
   * @param tokens a request's work
   * @returns milliseconds from its dispatch to its end; 0 before any was seen
   */
  serviceMs(tokens: number): number {
    return tokens * this.#serviceMsPerToken;
  }
}
