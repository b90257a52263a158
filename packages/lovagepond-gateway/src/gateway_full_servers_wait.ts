/**
 * How long a request waits while all its servers are at their load limit.
 *
 * The limit follows the mean, so some server always has room, but a request may
 * be bound to a few of them, or a gateway's view of the mean may be too low.
 */

/** Time after which the servers are asked again, milliseconds. */
const ASK_INTERVAL_MS = 20;

/** Longest wait of a request that has not begun, milliseconds. */
const MAX_WAIT_MS = 100;

/** The same for a stream that goes on: its caller has a part of the answer. */
const MAX_RESUME_WAIT_MS = 400;

export class FullServersWait {
  #startedAt: number | undefined;

  /**
   * @param hasBegun whether the caller has a part of the answer
   * @param now current time, monotonic milliseconds
   * @returns when to ask again, milliseconds; undefined to give up
   */
  next(hasBegun: boolean, now: number): number | undefined {
    this.#startedAt ??= now;
    const limitMs = hasBegun ? MAX_RESUME_WAIT_MS : MAX_WAIT_MS;
    return now - this.#startedAt < limitMs ? ASK_INTERVAL_MS : undefined;
  }
}
