/**
 * Detects that one attempt's connection has gone silent.
 */

/** Settings of {@link AttemptWatch}; see the router's settings. */
export interface WatchLimits {
  readonly maxReattaches: number;
  readonly attemptSilentAfterMs: number;
  readonly firstFrameAfterMs: number;
}

/** Counts an attempt's sends and tracks when its last frame arrived. */
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

  /** @param now when the attempt was sent, in monotonic milliseconds */
  noteSent(now: number): void {
    this.#sends += 1;
    this.#lastFrameAt = now;
  }

  /** @param now when a frame arrived, in monotonic milliseconds */
  noteFrame(now: number): void {
    this.#lastFrameAt = now;
  }

  /**
   * Suspends silence detection while the caller doesn't read: frames then wait
   * unread, although the sidecar sends them.
   *
   * @param blocked true while frames aren't read
   * @param now current time, monotonic milliseconds
   */
  setBlocked(blocked: boolean, now: number): void {
    this.#blocked = blocked;
    this.#lastFrameAt = now;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @param answered true when a frame of the attempt has arrived
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
   * @param now current time, monotonic milliseconds
   * @returns false when the attempt has used up its reconnections
   */
  tryReconnect(now: number): boolean {
    if (this.#reconnects >= this.#limits.maxReattaches) return false;
    this.#reconnects += 1;
    this.#lastFrameAt = now;
    return true;
  }
}
