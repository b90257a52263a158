/**
 * Requests of all routers at each backend server, summed up for each router.
 *
 * Passed on as they come, what routers say of their requests grows with their
 * number times the servers, for each of them. A router only needs to know what the
 * others have at a server together: that grows with the servers alone.
 */
import {
  type ReadingReport,
  type RunningRequests,
} from './reading_report_log.js';

/**
 * Time for which a router's number of requests counts without a new word,
 * milliseconds: nearly all requests are over by then.
 */
const REPORT_VALID_MS = 3_000;

/** A server of which nobody has told for so long is forgotten, milliseconds. */
const SERVER_RETENTION_MS = 60_000;

/** Outcomes are counted from the start of this process on. */
interface Count {
  requests: number;
  ended: number;
  failed: number;
}

interface RouterCount extends Count {
  reportedAt: number;
}

interface ServerCounts {
  readonly sum: Count;
  readonly routers: Map<string, RouterCount>;
  reportedAt: number;
}

/** What the other routers have at one server. */
export type OthersCount = Readonly<Count>;

/** Sums by server, as far as this member has heard. */
export class RunningRequestTotals {
  readonly #servers = new Map<string, ServerCounts>();
  readonly #lastReportAt = new Map<string, number>();

  /** Names of the servers at which there is or was something. */
  get servers(): Iterable<string> {
    return this.#servers.keys();
  }

  /**
   * @param report what a router said
   * @param now monotonic milliseconds
   */
  record({node, running}: ReadingReport, now: number): void {
    if (node === '') return;
    this.#lastReportAt.set(node, now);
    for (const one of running) this.#recordServer(node, one, now);
  }

  /**
   * Takes back what routers told that have ended since.
   *
   * @param now monotonic milliseconds
   */
  expireReports(now: number): void {
    for (const [node, lastReportAt] of this.#lastReportAt) {
      if (now - lastReportAt > REPORT_VALID_MS) this.#lastReportAt.delete(node);
    }
    for (const [server, {sum, routers, reportedAt: reportedAt}] of this
      .#servers) {
      if (now - reportedAt > SERVER_RETENTION_MS) this.#servers.delete(server);
      for (const count of routers.values()) {
        if (now - count.reportedAt <= REPORT_VALID_MS) continue;
        sum.requests -= count.requests;
        count.requests = 0;
      }
    }
  }

  /** @returns true while it is known what routers have at a server */
  has(server: string): boolean {
    return this.#servers.has(server);
  }

  /** @returns routers other than this one that were heard of lately */
  countOtherRouters(node: string): number {
    return this.#lastReportAt.size - (this.#lastReportAt.has(node) ? 1 : 0);
  }

  /**
   * @param node a router
   * @param server a backend server's name
   * @returns what all other routers have there
   */
  others(node: string, server: string): OthersCount {
    const counts = this.#servers.get(server);
    if (!counts) return NO_REQUESTS;
    const {sum} = counts;
    const own = counts.routers.get(node) ?? NO_REQUESTS;
    return {
      requests: sum.requests - own.requests,
      ended: sum.ended - own.ended,
      failed: sum.failed - own.failed,
    };
  }

  #recordServer(node: string, reported: RunningRequests, now: number): void {
    const {backendServer, requests, ended, failed} = reported;
    const counts = this.#countsOf(backendServer, now);
    counts.reportedAt = now;
    const own = counts.routers.get(node) ?? {...NO_REQUESTS, reportedAt: now};
    counts.routers.set(node, own);
    const {sum} = counts;
    sum.requests += requests - own.requests;
    sum.ended += ended;
    sum.failed += failed;
    own.requests = requests;
    own.ended += ended;
    own.failed += failed;
    own.reportedAt = now;
  }

  #countsOf(server: string, now: number): ServerCounts {
    const known = this.#servers.get(server);
    if (known) return known;
    const created = {
      sum: {...NO_REQUESTS},
      routers: new Map(),
      reportedAt: now,
    };
    this.#servers.set(server, created);
    return created;
  }
}

const NO_REQUESTS: OthersCount = Object.freeze({
  requests: 0,
  ended: 0,
  failed: 0,
});
