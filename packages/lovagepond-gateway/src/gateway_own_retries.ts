/**
 * The retries of a gateway that control doesn't answer.
 *
 * Nobody counts them together with those of other gateways. Each is backed by
 * requests that this process got while it was alone, at half of the fraction:
 * whatever window the retries fall into, the requests of that window and of the
 * one before back them, and one of the two has at least half of these requests.
 */

/** A process that has just started has none, whatever its predecessor sent. */
const MAX_SAVED = 1;

interface Saved {
  retries: number;
  lastAt: number;
}

export class OwnRetries {
  readonly #perRequest: number;
  readonly #windowMs: number;
  readonly #saved = new Map<string, Saved>();

  /**
   * @param fraction retries that all gateways may send, as a fraction of requests
   * @param windowMs time after which requests back no retry, milliseconds
   */
  constructor(fraction: number, windowMs: number) {
    this.#perRequest = fraction / 2;
    this.#windowMs = windowMs;
  }

  /**
   * @param pool the pool of a request that arrived while control doesn't answer
   * @param now current time, monotonic milliseconds
   */
  noteRequest(pool: string, now: number): void {
    const retries = Math.min(MAX_SAVED, this.#of(pool, now) + this.#perRequest);
    this.#saved.set(pool, {retries, lastAt: now});
  }

  /**
   * @param pool a pool
   * @param now current time, monotonic milliseconds
   * @returns true if a retry may be sent, which is then used up
   */
  tryTake(pool: string, now: number): boolean {
    const retries = this.#of(pool, now);
    if (retries < MAX_SAVED) return false;
    this.#saved.set(pool, {retries: retries - MAX_SAVED, lastAt: now});
    return true;
  }

  #of(pool: string, now: number): number {
    const {retries, lastAt} = this.#saved.get(pool) ?? {retries: 0, lastAt: 0};
    return now - lastAt > this.#windowMs ? 0 : retries;
  }
}
