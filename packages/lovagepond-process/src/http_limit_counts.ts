/**
 * Counts the connections that a server has closed because of a limit, and logs
 * them at a bounded rate.
 */
import {type Logger} from '@lovagepond/core';

/** Limits that close a connection. */
export const HTTP_LIMIT = {
  /** Too many connections, none of which was quiet for long. */
  CONNECTIONS: 'connections',
  /** Too many connections, of which this one was quiet the longest. */
  QUIET: 'quiet',
  /** Too many unanswered requests of this connection, or of all. */
  PIPELINED: 'pipelined',
  /** An incomplete head that is too large. */
  HEAD: 'head',
  /** Too much memory of incomplete heads, of which this one was the largest. */
  HEADS: 'heads',
  /** A response of which nothing was read for too long. */
  UNREAD: 'unread',
} as const;

export type HttpLimit = (typeof HTTP_LIMIT)[keyof typeof HTTP_LIMIT];

/** Least time between two log lines on the same limit, milliseconds. */
const LOG_INTERVAL_MS = 1_000;

export class HttpLimitCounts {
  readonly #log: Logger | undefined;
  readonly #counts = new Map<HttpLimit, number>(
    Object.values(HTTP_LIMIT).map(limit => [limit, 0]),
  );
  readonly #loggedAt = new Map<HttpLimit, number>();

  /** @param log undefined if nothing is to be logged */
  constructor(log?: Logger) {
    this.#log = log;
  }

  /**
   * @param limit the limit that has closed a connection
   * @param now current time, monotonic milliseconds
   */
  note(limit: HttpLimit, now: number): void {
    const closed = (this.#counts.get(limit) ?? 0) + 1;
    this.#counts.set(limit, closed);
    const loggedAt = this.#loggedAt.get(limit) ?? Number.NEGATIVE_INFINITY;
    if (now - loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt.set(limit, now);
    this.#log?.warn('connection closed by a limit', {limit, closed});
  }

  /** Connections closed since the start, by limit. */
  read(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#counts);
  }
}
