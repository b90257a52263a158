/**
 * Estimates how likely a backend server fails the next request.
 *
 * A server that fails two requests in five answers its status check well, and
 * no single router sees enough of its answers to tell that from chance. So
 * outcomes are told, and all routers' outcomes count.
 */

/**
 * Time in which an outcome is half forgotten, milliseconds: servers that fail
 * part of their requests do so for some seconds.
 */
const HALF_LIFE_MS = 2_000;

/**
 * What is believed without outcomes, and how many outcomes that weighs: a
 * server that failed its first request isn't avoided for it alone.
 */
const PRIOR_SHARE = 0.05;
const PRIOR_WEIGHT = 6;

/** Outcomes of requests at one server. */
export interface Outcomes {
  /** Requests that ended, failed ones too. */
  readonly ended: number;
  readonly failed: number;
}

/** Decaying counts of the outcomes at one server. */
export class OutcomeEstimate {
  #ended = 0;
  #failed = 0;
  #updatedAt = 0;

  /**
   * @param outcomes what has ended since the last call
   * @param now present time, monotonic milliseconds
   */
  note({ended, failed}: Outcomes, now: number): void {
    const decay = this.#decayAt(now);
    this.#ended = this.#ended * decay + ended;
    this.#failed = this.#failed * decay + failed;
    this.#updatedAt = now;
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns the share of requests that it is expected to fail
   */
  failureShare(now: number): number {
    const decay = this.#decayAt(now);
    const failed = this.#failed * decay + PRIOR_SHARE * PRIOR_WEIGHT;
    return failed / (this.#ended * decay + PRIOR_WEIGHT);
  }

  #decayAt(now: number): number {
    return 0.5 ** (Math.max(0, now - this.#updatedAt) / HALF_LIFE_MS);
  }
}
