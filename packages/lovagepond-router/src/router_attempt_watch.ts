/**
 * Watches one attempt's connection for silence.
 */

/** Settings of {@link AttemptWatch}, as in the router's settings. */
export interface WatchLimits {
  readonly maxReattaches: number;
  readonly attemptSilentAfterMs: number;
  readonly firstFrameAfterMs: number;
}

/** How often an attempt was sent, and when its sidecar was heard last. */
export class AttemptWatch {
  readonly #limits: WatchLimits;
  #sends = 0;
  #reconnects = 0;
  #lastFrameAt = 0;
  #blocked = false;

  constructor(limits: WatchLimits) {
    this.#limits = limits;
  }

  /** @returns how often the attempt was sent */
  get sends(): number {
    return this.#sends;
  }

  /** @param now when the attempt was sent, monotonic milliseconds */
  noteSent(now: number): void {
    this.#sends += 1;
    this.#lastFrameAt = now;
  }

  /** @param now when a frame came, monotonic milliseconds */
  noteFrame(now: number): void {
    this.#lastFrameAt = now;
  }

  /**
   * While the caller takes nothing in, frames wait unread: that is not the
   * sidecar's silence.
   *
   * @param blocked true while frames aren't read
   * @param now present time, monotonic milliseconds
   */
  setBlocked(blocked: boolean, now: number): void {
    this.#blocked = blocked;
    this.#lastFrameAt = now;
  }

  /**
   * @param now present time, monotonic milliseconds
   * @param answered some frame of the attempt has come before
   * @returns true when the connection has been silent for too long
   */
  isSilent(now: number, answered: boolean): boolean {
    if (this.#blocked) return false;
    const limit = answered
      ? this.#limits.attemptSilentAfterMs
      : this.#limits.firstFrameAfterMs;
    return now - this.#lastFrameAt >= limit;
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns false when no further connection may be tried
   */
  tryReconnect(now: number): boolean {
    if (this.#reconnects >= this.#limits.maxReattaches) return false;
    this.#reconnects += 1;
    this.#lastFrameAt = now;
    return true;
  }
}
