/**
 * Tells the other gateways what servers do for this one: its requests there and
 * the prompts that they read; and takes in what the others tell.
 */
import {type lovagepond} from '@lovagepond/protocol';
import {type GatewayFleet} from './gateway_fleet.js';
import {type GatewayPeers} from './gateway_peers.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type ServerState} from './gateway_server_state.js';

type WireReading = lovagepond.v1.PromptReading.$Properties;
type WireRunning = lovagepond.v1.RunningRequests.$Properties;
type WireReport = Pick<
  lovagepond.v1.ReadingReport.$Properties,
  'readings' | 'running'
>;
type WireDigest = lovagepond.v1.ReadingDigest.$Properties;

/**
 * Time between two reports of the numbers of requests for each server there is,
 * milliseconds. Each report goes to all routers; with a fixed time, what one of
 * them receives would grow with the fleet in two ways. At 44 servers a number is
 * 0.2 s old, of requests that last 0.05 to 2 s.
 */
const RUNNING_MS_PER_SERVER = 4;

/** The others forget a number that they haven't been told for 3 s. */
const REFRESH_INTERVAL_MS = 1_500;

interface ReportedRequests {
  readonly requests: number;
  readonly at: number;
}

const NEVER_REPORTED: ReportedRequests = Object.freeze({
  requests: 0,
  at: -Infinity,
});

/** Tokens of prefixes at one server, as far as is known here. */
export interface PrefixTokens {
  /** What it didn't hold before. */
  readonly newTokens: number;
  /** What of that it has to read, as it can't take it over. */
  readonly prefillTokens: number;
}

/** Fewer tokens are read before the others could hear of it. */
const MIN_REPORTED_TOKENS = 64;

/** Collects and applies readings. */
export class GatewayLoadReports {
  readonly #node: string;
  readonly #fleet: GatewayFleet;
  readonly #rate: PrefillRate;
  readonly #peers: GatewayPeers;
  #pendingReadings: WireReading[] = [];
  #lastReported: ReadonlyMap<string, ReportedRequests> = new Map();
  #runningReportedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param node this gateway's name, under which its own reports come back
   * @param fleet the servers
   * @param rate how fast engines read
   * @param peers told of each other gateway that reports
   */
  constructor(
    node: string,
    fleet: GatewayFleet,
    rate: PrefillRate,
    peers: GatewayPeers,
  ) {
    this.#node = node;
    this.#fleet = fleet;
    this.#rate = rate;
    this.#peers = peers;
  }

  /**
   * @param state the server that a prompt goes to
   * @param sharedIds the prompt's parts that other requests share
   * @param tokens what of them is new there, and what it has to read
   */
  notePrefill(
    state: ServerState,
    sharedIds: readonly string[],
    {newTokens, prefillTokens}: PrefixTokens,
  ): void {
    if (sharedIds.length === 0 || newTokens < MIN_REPORTED_TOKENS) return;
    const prefix = sharedIds.map(id => `/${id}`).join('');
    const backendServer = state.server.name;
    this.#pendingReadings.push({backendServer, prefix, tokens: prefillTokens});
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns what to report, if anything; it is then forgotten
   */
  takeReport(now: number): WireReport | undefined {
    const readings = this.#pendingReadings;
    this.#pendingReadings = [];
    const intervalMs = RUNNING_MS_PER_SERVER * this.#fleet.size;
    const isDue = now - this.#runningReportedAt >= intervalMs;
    const running = isDue || readings.length > 0 ? this.#takeRunning(now) : [];
    if (readings.length === 0 && running.length === 0) return undefined;
    this.#runningReportedAt = now;
    return {readings, running};
  }

  #takeRunning(now: number): WireRunning[] {
    const changed: WireRunning[] = [];
    const reported = new Map<string, ReportedRequests>();
    for (const state of this.#fleet.all()) {
      const {inFlight: requests, server} = state;
      const before = this.#lastReported.get(server.name) ?? NEVER_REPORTED;
      const isDue = requests > 0 && now - before.at >= REFRESH_INTERVAL_MS;
      const hasChanged =
        requests !== before.requests || state.hasUnreportedFailure;
      reported.set(
        server.name,
        hasChanged || isDue ? {requests, at: now} : before,
      );
      if (!hasChanged && !isDue) continue;
      const outcomes = state.takeUnreportedOutcomes();
      changed.push({backendServer: server.name, requests, ...outcomes});
    }
    this.#lastReported = reported;
    return changed;
  }

  /**
   * @param digest what control passes on
   * @param now present time, monotonic milliseconds
   */
  apply(digest: WireDigest, now: number): void {
    if (digest.routers) this.#peers.noteCount(digest.routers, now);
    for (const {node, readings, running} of digest.reports ?? []) {
      if (node === this.#node) continue;
      if (node) this.#peers.note(node, now);
      for (const reading of readings ?? []) this.#applyReading(reading, now);
      for (const one of running ?? []) {
        this.#applyRunning(node ?? '', one, now);
      }
    }
  }

  #applyRunning(router: string, reported: WireRunning, now: number): void {
    const {backendServer, requests, ended, failed} = reported;
    const state = this.#fleet.find(backendServer ?? '');
    state?.noteRemoteRequests(router, requests ?? 0, now);
    if (!ended) return;
    state?.noteRemoteOutcomes({ended, failed: failed ?? 0}, now);
  }

  #applyReading(
    {backendServer, prefix, tokens}: WireReading,
    now: number,
  ): void {
    const state = this.#fleet.find(backendServer ?? '');
    if (!state) return;
    const {tokensPerMs} = this.#rate;
    state.noteRemotePrefill((tokens ?? 0) / tokensPerMs, now);
    const readAt = now + state.prefillWaitMs(tokensPerMs, now);
    state.noteWarm((prefix ?? '').split('/').slice(1), readAt);
  }
}
