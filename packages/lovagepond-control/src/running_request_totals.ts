/**
 * Totals of all routers' running requests at each backend server.
 *
 * Forwarding each router's reports would send every router data in proportion
 * to routers times servers. A router only needs the sum of the other routers'
 * requests at each server, which grows with the number of servers alone.
 */
import {
  type ReadingReport,
  type RunningRequests,
} from './reading_report_log.js';

/**
 * Validity of a router's report, ms: nearly all requests have ended by then.
 */
const REPORT_VALID_MS = 3_000;

/** Time after which a server without reports is removed, milliseconds. */
const SERVER_RETENTION_MS = 60_000;

/**
 * Running requests with their pending prompt tokens, and outcomes since the
 * start of this process.
 */
interface Count {
  requests: number;
  prefillTokens: number;
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

/** The counts of all other routers at one server. */
export type OthersCount = Readonly<Count>;

/** Totals by server, from the reports that this member has received. */
export class RunningRequestTotals {
  readonly #servers = new Map<string, ServerCounts>();
  readonly #lastReportAt = new Map<string, number>();

  /** Names of the servers that routers have reported. */
  get servers(): Iterable<string> {
    return this.#servers.keys();
  }

  /**
   * Adds a router's report to the totals.
   *
   * @param report the router's report
   * @param now monotonic milliseconds
   */
  record({node, running}: ReadingReport, now: number): void {
    if (node === '') return;
    this.#lastReportAt.set(node, now);
    for (const one of running) this.#recordServer(node, one, now);
  }

  /**
   * Subtracts requests without a recent report, as their router may have
   * stopped, and removes servers without reports.
   *
   * @param now monotonic milliseconds
   */
  expireReports(now: number): void {
    for (const [node, lastReportAt] of this.#lastReportAt) {
      if (now - lastReportAt > REPORT_VALID_MS) this.#lastReportAt.delete(node);
    }
    for (const [server, {sum, routers, reportedAt}] of this.#servers) {
      if (now - reportedAt > SERVER_RETENTION_MS) this.#servers.delete(server);
      for (const count of routers.values()) {
        if (now - count.reportedAt <= REPORT_VALID_MS) continue;
        sum.requests -= count.requests;
        sum.prefillTokens -= count.prefillTokens;
        count.requests = 0;
        count.prefillTokens = 0;
      }
    }
  }

  /** @returns true while there are counts for a server */
  has(server: string): boolean {
    return this.#servers.has(server);
  }

  /** @returns the number of other routers that reported recently */
  countOtherRouters(node: string): number {
    return this.#lastReportAt.size - (this.#lastReportAt.has(node) ? 1 : 0);
  }

  /**
   * @param node a router
   * @param server a backend server's name
   * @returns the counts of all other routers at the server
   */
  others(node: string, server: string): OthersCount {
    const counts = this.#servers.get(server);
    if (!counts) return NO_REQUESTS;
    const {sum} = counts;
    const own = counts.routers.get(node) ?? NO_REQUESTS;
    return {
      requests: sum.requests - own.requests,
      prefillTokens: sum.prefillTokens - own.prefillTokens,
      ended: sum.ended - own.ended,
      failed: sum.failed - own.failed,
    };
  }

  #recordServer(node: string, reported: RunningRequests, now: number): void {
    const {backendServer, requests, prefillTokens, ended, failed} = reported;
    const counts = this.#countsOf(backendServer, now);
    counts.reportedAt = now;
    const own = counts.routers.get(node) ?? {...NO_REQUESTS, reportedAt: now};
    counts.routers.set(node, own);
    const {sum} = counts;
    sum.requests += requests - own.requests;
    sum.prefillTokens += prefillTokens - own.prefillTokens;
    sum.ended += ended;
    sum.failed += failed;
    own.requests = requests;
    own.prefillTokens = prefillTokens;
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
  prefillTokens: 0,
  ended: 0,
  failed: 0,
});
