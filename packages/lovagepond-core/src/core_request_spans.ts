/**
 * A router's requests by pool and span of time.
 *
 * The numbers of a span are absolute, so a report may be lost, repeated or
 * overtaken by a newer one.
 */
import {REQUEST_SPAN_MS} from './core_retry_allowance.js';

/** Requests of one pool in consecutive spans. */
export interface PoolSpans {
  readonly pool: string;
  /** Number of the first span since the process started. */
  readonly first: number;
  readonly counts: readonly number[];
}

export class RequestSpans {
  readonly #keptSpans: number;
  /** By pool and number of the span. */
  readonly #counts = new Map<string, Map<number, number>>();

  /** @param keptMs time for which requests are kept, milliseconds */
  constructor(keptMs: number) {
    this.#keptSpans = Math.ceil(keptMs / REQUEST_SPAN_MS);
  }

  /**
   * @param pool the pool that a request is for
   * @param now time since the process started, milliseconds
   */
  add(pool: string, now: number): void {
    const counts = this.#counts.get(pool) ?? new Map<number, number>();
    this.#counts.set(pool, counts);
    const span = spanOf(now);
    counts.set(span, (counts.get(span) ?? 0) + 1);
  }

  /**
   * @param sinceMs age of the oldest requests to list, milliseconds
   * @param now time since the process started, milliseconds
   * @returns the pools that have requests of this age
   */
  list(sinceMs: number, now: number): PoolSpans[] {
    this.#expire(now);
    const from = spanOf(now - sinceMs);
    const listed: PoolSpans[] = [];
    for (const [pool, counts] of this.#counts) {
      const spans = [...counts.keys()].filter(span => span >= from);
      if (spans.length === 0) continue;
      const first = Math.min(...spans);
      const length = Math.max(...spans) - first + 1;
      const all = Array.from({length}, (_, at) => counts.get(first + at) ?? 0);
      listed.push({pool, first, counts: all});
    }
    return listed;
  }

  #expire(now: number): void {
    const oldest = spanOf(now) - this.#keptSpans;
    for (const [pool, counts] of this.#counts) {
      for (const span of counts.keys()) if (span < oldest) counts.delete(span);
      if (counts.size === 0) this.#counts.delete(pool);
    }
  }
}

/** @returns the number of the span that a time lies in */
function spanOf(ms: number): number {
  return Math.max(0, Math.floor(ms / REQUEST_SPAN_MS));
}
