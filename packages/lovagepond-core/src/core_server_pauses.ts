/**
 * Pauses that backend servers asked this process for: times in which they want
 * no requests of it.
 *
 * A server that sheds load answers within a millisecond and has nothing in
 * flight, so it would look the least loaded and get the most requests.
 */

const STATUS_UNAVAILABLE = 503;

/** A non-negative decimal number. */
const SECONDS = /^\d+(\.\d+)?$/;

const MS_PER_SECOND = 1_000;

/**
 * Reads Retry-After in its form in seconds only: hosts' clocks may differ.
 *
 * @param status status of a server's response
 * @param retryAfter its Retry-After header
 * @returns time for which the server wants no requests, milliseconds; usually 0
 */
export function readPauseMs(
  status: number | undefined,
  retryAfter: string | undefined,
): number {
  const text = retryAfter?.trim() ?? '';
  if (status !== STATUS_UNAVAILABLE || !SECONDS.test(text)) return 0;
  return Number(text) * MS_PER_SECOND;
}

/** Ends of pauses, by server. */
export class ServerPauses {
  /**
   * Independent of the list of servers: a server that is dropped from it and
   * listed again is the same process, and its pause goes on.
   */
  readonly #endsAt = new Map<string, number>();

  /** Number of servers that have asked for a pause which is not over. */
  get size(): number {
    return this.#endsAt.size;
  }

  /**
   * @param server name of the server
   * @param durationMs time from now on for which it wants no requests
   * @param now current time, monotonic milliseconds
   * @returns true if the server was not paused before
   */
  note(server: string, durationMs: number, now: number): boolean {
    const before = this.#endsAt.get(server) ?? Number.NEGATIVE_INFINITY;
    this.#endsAt.set(server, Math.max(before, now + durationMs));
    return before <= now;
  }

  /**
   * @param server name of a server
   * @param now current time, monotonic milliseconds
   * @returns time until its pause ends, milliseconds; 0 when it isn't paused
   */
  leftMs(server: string, now: number): number {
    return Math.max(0, (this.#endsAt.get(server) ?? now) - now);
  }

  /** @param now current time, monotonic milliseconds */
  expire(now: number): void {
    for (const [server, endsAt] of this.#endsAt) {
      if (endsAt <= now) this.#endsAt.delete(server);
    }
  }
}
