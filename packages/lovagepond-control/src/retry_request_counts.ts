/**
 * The requests that all routers got lately, by pool and span of time. The counts
 * of a router that has exited remain until they are too old.
 */
import {type PoolSpans, REQUEST_SPAN_MS} from '@lovagepond/core';

/** A router's report. */
export interface ReportedRequests {
  /** Tells the processes of one router apart. */
  readonly process: number;
  /** Time since the process started, at the time of sending, milliseconds. */
  readonly uptimeMs: number;
  readonly pools: readonly PoolSpans[];
}

/** Requests of one span of a router, at the place where they are counted. */
interface PlacedSpan {
  /** Number of the span of this member's clock. */
  readonly place: number;
  count: number;
}

interface RouterProcess {
  reportedAt: number;
  /** By the report that was under way for the shortest time. */
  startedAt: number;
  /** By pool and number of the router's span. */
  readonly pools: Map<string, Map<number, PlacedSpan>>;
}

/** A router reports more often than this while it gets requests, milliseconds. */
const REPORTING_MS = 700;

/** Limits what a faulty report may occupy. */
const MAX_SPANS = 1_000;

export class RetryRequestCounts {
  readonly #keptMs: number;
  readonly #processes = new Map<number, RouterProcess>();
  /** By pool and number of the span of this member's clock. */
  readonly #totals = new Map<string, Map<number, number>>();

  /** @param keptMs time for which requests are counted, milliseconds */
  constructor(keptMs: number) {
    this.#keptMs = keptMs;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the number of router processes that report, without most of those
   *     that have exited
   */
  countReporting(now: number): number {
    let reporting = 0;
    for (const {reportedAt} of this.#processes.values()) {
      if (now - reportedAt <= REPORTING_MS) reporting += 1;
    }
    return reporting;
  }

  /** Pools with requests. */
  get pools(): readonly string[] {
    return [...this.#totals.keys()];
  }

  /**
   * @param report absolute numbers, of spans that may be known already
   * @param now current time, monotonic milliseconds
   */
  note({process, uptimeMs, pools}: ReportedRequests, now: number): void {
    const known = this.#processes.get(process);
    const startedAt = Math.min(known?.startedAt ?? Infinity, now - uptimeMs);
    const state = known ?? {reportedAt: now, startedAt, pools: new Map()};
    state.reportedAt = now;
    state.startedAt = startedAt;
    this.#processes.set(process, state);
    const oldest = now - this.#keptMs;
    for (const {pool, first, counts} of pools) {
      const spans = state.pools.get(pool) ?? new Map<number, PlacedSpan>();
      state.pools.set(pool, spans);
      for (const [at, count] of counts.slice(-MAX_SPANS).entries()) {
        const beganAt = startedAt + (first + at) * REQUEST_SPAN_MS;
        if (beganAt < oldest || beganAt > now) continue;
        this.#setSpan(pool, spans, first + at, {
          place: Math.floor(beganAt / REQUEST_SPAN_MS),
          count,
        });
      }
    }
  }

  /**
   * @param pool a pool
   * @param now current time, monotonic milliseconds
   * @returns counts the pool's requests that certainly arrived after the first
   *     time and before the second one
   */
  counterOf(
    pool: string,
    now: number,
  ): (fromMs: number, toMs: number) => number {
    const totals = this.#totals.get(pool) ?? new Map<number, number>();
    const first = Math.floor((now - this.#keptMs) / REQUEST_SPAN_MS);
    const last = Math.floor(now / REQUEST_SPAN_MS);
    const sums = [0];
    for (let span = first; span <= last; span += 1) {
      sums.push((sums.at(-1) ?? 0) + (totals.get(span) ?? 0));
    }
    const sumBefore = (span: number): number =>
      sums[Math.min(Math.max(span - first, 0), sums.length - 1)] ?? 0;
    return (fromMs, toMs) => {
      // A span may begin up to one span late at this member, and the report
      // is some time under way.
      const from = Math.ceil(fromMs / REQUEST_SPAN_MS) + 1;
      const to =
        toMs >= now ? last + 1 : Math.floor(toMs / REQUEST_SPAN_MS) - 1;
      return Math.max(0, sumBefore(to) - sumBefore(from));
    };
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    const oldest = Math.floor((now - this.#keptMs) / REQUEST_SPAN_MS);
    for (const [pool, totals] of this.#totals) {
      for (const span of totals.keys()) if (span < oldest) totals.delete(span);
      if (totals.size === 0) this.#totals.delete(pool);
    }
    for (const [id, {reportedAt, pools}] of this.#processes) {
      if (now - reportedAt > this.#keptMs) this.#processes.delete(id);
      for (const spans of pools.values()) {
        for (const [span, {place}] of spans) {
          if (place < oldest) spans.delete(span);
        }
      }
    }
  }

  #setSpan(
    pool: string,
    spans: Map<number, PlacedSpan>,
    span: number,
    reported: PlacedSpan,
  ): void {
    const known = spans.get(span);
    const more = reported.count - (known?.count ?? 0);
    if (more <= 0) return;
    const {place} = known ?? reported;
    if (known) known.count = reported.count;
    else spans.set(span, reported);
    const totals = this.#totals.get(pool) ?? new Map<number, number>();
    this.#totals.set(pool, totals);
    totals.set(place, (totals.get(place) ?? 0) + more);
  }
}
