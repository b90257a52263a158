/**
 * Estimates the probability that a backend server fails the next request.
 *
 * A server that fails two requests in five may still pass its health check, and
 * a single gateway sees too few responses to distinguish this from chance.
 * Gateways therefore exchange outcomes, and the outcomes of all of them count.
 */

/**
 * Half-life of an outcome's weight, milliseconds: servers that fail part of
 * their requests do so for some seconds.
 */
const HALF_LIFE_MS = 2_000;

/**
 * The prior failure share, and its weight in outcomes. They keep a server from
 * being avoided for one failure of its first request.
 */
const PRIOR_SHARE = 0.05;
const PRIOR_WEIGHT = 6;

/** Counts of finished requests at one server. */
export interface Outcomes {
  /** Finished requests, failed ones included. */
  readonly ended: number;
  readonly failed: number;
}

/** Exponentially decaying counts of the outcomes at one server. */
export class OutcomeEstimate {
  #ended = 0;
  #failed = 0;
  #updatedAt = 0;

  /**
   * @param outcomes requests that finished since the last call
   * @param now current time, monotonic milliseconds
   */
  note({ended, failed}: Outcomes, now: number): void {
    const decay = this.#decayAt(now);
    this.#ended = this.#ended * decay + ended;
    this.#failed = this.#failed * decay + failed;
    this.#updatedAt = now;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the expected share of failing requests, 0 to 1
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
