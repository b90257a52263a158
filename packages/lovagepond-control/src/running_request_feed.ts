/**
 * Updates to one router about the running requests of all other routers.
 */
import {hasPrefillChanged} from '@lovagepond/load';
import {type RunningRequests} from './reading_report_log.js';
import {
  type OthersCount,
  type RunningRequestTotals,
} from './running_request_totals.js';

/** Minimum time between two updates, milliseconds; requests last 50 or more. */
const MIN_INTERVAL_MS = 20;

/**
 * Time between two updates per backend server, milliseconds. It bounds what a
 * router receives to some thousand bytes a second, however many servers exist.
 */
const INTERVAL_MS_PER_SERVER = 2;

/**
 * Interval of resending an unchanged number, ms; routers discard it after 3 s.
 */
const RESEND_INTERVAL_MS = 1_000;

interface SentCounts extends OthersCount {
  readonly at: number;
}

/** Compares the present numbers with those last sent to one router. */
export class RunningRequestFeed {
  readonly #node: string;
  readonly #sent = new Map<string, SentCounts>();
  #lastSentAt = -Infinity;
  #isFirstUpdate = true;

  /** @param node name of the router */
  constructor(node: string) {
    this.#node = node;
  }

  /**
   * @param totals running requests of all routers
   * @param now monotonic milliseconds
   * @returns for each server with changes, the other routers' number of
   *     requests and the outcomes since the last update; empty when nothing is
   *     due
   */
  next(totals: RunningRequestTotals, now: number): readonly RunningRequests[] {
    if (now - this.#lastSentAt < this.#intervalMs()) return [];
    const changed: RunningRequests[] = [];
    for (const backendServer of totals.servers) {
      const others = totals.others(this.#node, backendServer);
      const one = this.#compare(backendServer, others, now);
      if (one) changed.push(one);
    }
    for (const server of this.#sent.keys()) {
      if (!totals.has(server)) this.#sent.delete(server);
    }
    this.#isFirstUpdate = false;
    if (changed.length > 0) this.#lastSentAt = now;
    return changed;
  }

  #intervalMs(): number {
    const forServers = this.#sent.size * INTERVAL_MS_PER_SERVER;
    return Math.max(MIN_INTERVAL_MS, forServers);
  }

  #compare(
    backendServer: string,
    others: OthersCount,
    now: number,
  ): RunningRequests | undefined {
    const sent =
      this.#sent.get(backendServer) ?? this.#addServer(backendServer, others);
    const {requests, prefillTokens} = others;
    const isDue = requests > 0 && now - sent.at >= RESEND_INTERVAL_MS;
    const isChanged =
      requests !== sent.requests ||
      hasPrefillChanged(sent.prefillTokens, prefillTokens);
    const ended = Math.max(0, others.ended - sent.ended);
    const failed = Math.max(0, others.failed - sent.failed);
    if (!isDue && !isChanged && failed === 0) return undefined;
    this.#sent.set(backendServer, {...others, at: now});
    return {backendServer, requests, prefillTokens, ended, failed};
  }

  /** A new router isn't sent outcomes from before its subscription. */
  #addServer(backendServer: string, others: OthersCount): SentCounts {
    const outcomes = this.#isFirstUpdate ? others : {ended: 0, failed: 0};
    const sent = {...outcomes, requests: 0, prefillTokens: 0, at: -Infinity};
    this.#sent.set(backendServer, sent);
    return sent;
  }
}
