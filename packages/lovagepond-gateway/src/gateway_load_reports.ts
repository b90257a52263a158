/**
 * Exchanges load reports with the other gateways: the requests of each gateway
 * at the servers, their outcomes, the prompts to be computed there, and the
 * demand in congested pools.
 */
import {hasPrefillChanged} from '@lovagepond/load';
import {type lovagepond} from '@lovagepond/protocol';
import {type DemandSource, readSums, toWireDemand} from './gateway_demand.js';
import {samplePhase} from './gateway_demand_sample.js';
import {type GatewayFleet} from './gateway_fleet.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type ReportedRequests} from './gateway_remote_requests.js';
import {type ServerState} from './gateway_server_state.js';

type WireReading = lovagepond.v1.PromptReading.$Properties;
type WireRunning = lovagepond.v1.RunningRequests.$Properties;
type WireReport = Pick<
  lovagepond.v1.ReadingReport.$Properties,
  'readings' | 'running' | 'demand'
>;
type WireDemand = lovagepond.v1.PoolDemand.$Properties;
type WireDigest = lovagepond.v1.ReadingDigest.$Properties;

/**
 * Interval between reports of request counts, per listed server, milliseconds.
 * Each report goes to all gateways. With a fixed interval, the traffic that a
 * gateway receives would grow with the number of servers and of gateways. At 44
 * servers a count is up to 0.2 s old, while requests last 0.05 to 2 s.
 */
const RUNNING_MS_PER_SERVER = 4;

/**
 * Interval after which an unchanged count is reported again, milliseconds. The
 * other gateways discard a count that is not refreshed for 3 s.
 */
const REFRESH_INTERVAL_MS = 1_500;

/** Largest value of an unsigned 32-bit field; larger ones would wrap. */
const MAX_UINT32 = 0xffff_ffff;

/** Interval between reports of the demand, milliseconds. */
const DEMAND_INTERVAL_MS = 500;

interface SentRequests extends ReportedRequests {
  readonly at: number;
}

const NEVER_REPORTED: SentRequests = Object.freeze({
  requests: 0,
  prefillTokens: 0,
  at: -Infinity,
});

/** Tokens of a shared prefix at one server, as far as this gateway knows. */
export interface PrefixTokens {
  /** Tokens that the server did not hold before. */
  readonly newTokens: number;
  /** Those of them that the server computes, as it does not fetch them. */
  readonly prefillTokens: number;
}

/** The prefill of fewer tokens is done before a report would arrive. */
const MIN_REPORTED_TOKENS = 64;

/** Collects this gateway's load reports and applies those of the others. */
export class GatewayLoadReports {
  readonly #node: string;
  readonly #fleet: GatewayFleet;
  readonly #rate: PrefillRate;
  readonly #demand: DemandSource | undefined;
  #pendingReadings: WireReading[] = [];
  #lastReported: ReadonlyMap<string, SentRequests> = new Map();
  #runningReportedAt = Number.NEGATIVE_INFINITY;
  #demandReportedAt = Number.NEGATIVE_INFINITY;
  #demandReports = 0;

  /**
   * @param node this gateway's name, which marks its own reports in a digest
   * @param fleet the servers
   * @param rate the engines' prefill rate
   * @param demand the demand in congested pools; without it none is reported
   */
  constructor(
    node: string,
    fleet: GatewayFleet,
    rate: PrefillRate,
    demand?: DemandSource,
  ) {
    this.#node = node;
    this.#fleet = fleet;
    this.#rate = rate;
    this.#demand = demand;
  }

  /**
   * Adds a prompt's shared prefix to the next report.
   *
   * @param state the server that the prompt is sent to
   * @param sharedIds ids of the prompt's parts that other requests share
   * @param tokens the prefix's tokens that are new there and to be computed
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
   * @param now current time, monotonic milliseconds
   * @returns the report to send now, if any; its contents are not returned
   *     again
   */
  takeReport(now: number): WireReport | undefined {
    const readings = this.#pendingReadings;
    this.#pendingReadings = [];
    const intervalMs = RUNNING_MS_PER_SERVER * this.#fleet.size;
    const isDue = now - this.#runningReportedAt >= intervalMs;
    const running = isDue || readings.length > 0 ? this.#takeRunning(now) : [];
    const demand = this.#takeDemand(now);
    if (readings.length > 0 || running.length > 0) {
      this.#runningReportedAt = now;
    } else if (demand.length === 0) {
      return undefined;
    }
    return {readings, running, ...(demand.length > 0 && {demand})};
  }

  #takeDemand(now: number): WireDemand[] {
    if (now - this.#demandReportedAt < DEMAND_INTERVAL_MS) return [];
    this.#demandReportedAt = now;
    const demand = this.#demand?.takeDemand(now) ?? [];
    this.#demandReports += 1;
    const phase = samplePhase(this.#node, this.#demandReports);
    return demand.map(one => toWireDemand(one, phase));
  }

  #takeRunning(now: number): WireRunning[] {
    const changed: WireRunning[] = [];
    const reported = new Map<string, SentRequests>();
    for (const state of this.#fleet.all()) {
      const {inFlight: requests, server} = state;
      const before = this.#lastReported.get(server.name) ?? NEVER_REPORTED;
      const isDue = requests > 0 && now - before.at >= REFRESH_INTERVAL_MS;
      const prefillTokens = reportedTokens(state, now);
      const hasChanged =
        requests !== before.requests ||
        state.hasUnreportedFailure ||
        hasPrefillChanged(before.prefillTokens, prefillTokens);
      reported.set(
        server.name,
        hasChanged || isDue ? {requests, prefillTokens, at: now} : before,
      );
      if (!hasChanged && !isDue) continue;
      const outcomes = state.takeUnreportedOutcomes();
      changed.push({
        backendServer: server.name,
        requests,
        ...outcomes,
        ...(prefillTokens > 0 && {prefillTokens}),
      });
    }
    this.#lastReported = reported;
    return changed;
  }

  /**
   * @param digest reports of several gateways, as distributed by control
   * @param now current time, monotonic milliseconds
   */
  apply(digest: WireDigest, now: number): void {
    const {demand} = digest;
    if (demand?.length) this.#demand?.applyDemand(readSums(demand), now);
    for (const {node, readings, running} of digest.reports ?? []) {
      if (node === this.#node) continue;
      for (const reading of readings ?? []) this.#applyReading(reading, now);
      for (const one of running ?? []) {
        this.#applyRunning(node ?? '', one, now);
      }
    }
  }

  #applyRunning(gateway: string, reported: WireRunning, now: number): void {
    const {backendServer, requests, ended, failed, prefillTokens} = reported;
    const state = this.#fleet.find(backendServer ?? '');
    state?.noteRemoteRequests(gateway, requests ?? 0, now, prefillTokens ?? 0);
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
    const prefillRate = state.prefillRate(tokensPerMs, now);
    state.noteRemotePrefill(tokens ?? 0, prefillRate, now);
    const prefilledAt = now + state.prefillWaitMs(tokensPerMs, now);
    state.noteWarm((prefix ?? '').split('/').slice(1), prefilledAt, now);
  }
}

/** Pending tokens for the other gateways; 0 while no decision uses them. */
function reportedTokens(state: ServerState, now: number): number {
  if (!state.usesCapacity && !state.hasAdmission) return 0;
  const tokens = Math.round(state.pendingPrefill.tokensAt(now));
  return Math.min(MAX_UINT32, Math.max(0, tokens));
}
