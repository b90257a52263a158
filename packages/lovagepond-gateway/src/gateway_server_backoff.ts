/**
 * Prefers other servers for some time after failures of one.
 */

/** First and longest backoff, milliseconds; each failure doubles it. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;

export class ServerBackoff {
  #failures = 0;
  #until = Number.NEGATIVE_INFINITY;

  /** Ends the backoff. */
  reset(): void {
    this.#failures = 0;
    this.#until = Number.NEGATIVE_INFINITY;
  }

  /**
   * Starts the backoff, or prolongs it.
   *
   * @param now current time, monotonic milliseconds
   */
  noteFailure(now: number): void {
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** this.#failures;
    this.#failures += 1;
    this.#until = now + Math.min(backoffMs, MAX_BACKOFF_MS);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true while other servers should be preferred
   */
  isActive(now: number): boolean {
    return now < this.#until;
  }
}
