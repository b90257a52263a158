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
const TELL_AGAIN_MS = 1_500;

interface ToldRunning {
  readonly requests: number;
  readonly at: number;
}

const NOTHING_TOLD: ToldRunning = Object.freeze({requests: 0, at: -Infinity});

/** Tokens of prefixes at one server, as far as is known here. */
export interface NotedTokens {
  /** What it didn't hold before. */
  readonly newTokens: number;
  /** What of that it has to read, as it can't take it over. */
  readonly unreadTokens: number;
}

/** Fewer tokens are read before the others could hear of it. */
const MIN_TOLD_TOKENS = 64;

/** Collects and applies readings. */
export class GatewayReadings {
  readonly #node: string;
  readonly #fleet: GatewayFleet;
  readonly #rate: PrefillRate;
  readonly #peers: GatewayPeers;
  #collected: WireReading[] = [];
  #toldRunning: ReadonlyMap<string, ToldRunning> = new Map();
  #runningToldAt = Number.NEGATIVE_INFINITY;

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
  note(
    state: ServerState,
    sharedIds: readonly string[],
    {newTokens, unreadTokens}: NotedTokens,
  ): void {
    if (sharedIds.length === 0 || newTokens < MIN_TOLD_TOKENS) return;
    const prefix = sharedIds.map(id => `/${id}`).join('');
    const backendServer = state.server.name;
    this.#collected.push({backendServer, prefix, tokens: unreadTokens});
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns what to report, if anything; it is then forgotten
   */
  takeReport(now: number): WireReport | undefined {
    const readings = this.#collected;
    this.#collected = [];
    const intervalMs = RUNNING_MS_PER_SERVER * this.#fleet.size;
    const isDue = now - this.#runningToldAt >= intervalMs;
    const running = isDue || readings.length > 0 ? this.#takeRunning(now) : [];
    if (readings.length === 0 && running.length === 0) return undefined;
    this.#runningToldAt = now;
    return {readings, running};
  }

  #takeRunning(now: number): WireRunning[] {
    const changed: WireRunning[] = [];
    const told = new Map<string, ToldRunning>();
    for (const state of this.#fleet.all()) {
      const {inFlight: requests, server} = state;
      const before = this.#toldRunning.get(server.name) ?? NOTHING_TOLD;
      const isDue = requests > 0 && now - before.at >= TELL_AGAIN_MS;
      const isNews = requests !== before.requests || state.hasUntoldFailure;
      told.set(server.name, isNews || isDue ? {requests, at: now} : before);
      if (!isNews && !isDue) continue;
      const outcomes = state.takeUntold();
      changed.push({backendServer: server.name, requests, ...outcomes});
    }
    this.#toldRunning = told;
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
      for (const reading of readings ?? []) this.#applyOne(reading, now);
      for (const one of running ?? []) {
        this.#applyRunning(node ?? '', one, now);
      }
    }
  }

  #applyRunning(router: string, told: WireRunning, now: number): void {
    const {backendServer, requests, ended, failed} = told;
    const state = this.#fleet.find(backendServer ?? '');
    state?.noteOthersRunning(router, requests ?? 0, now);
    if (!ended) return;
    state?.noteOthersOutcomes({ended, failed: failed ?? 0}, now);
  }

  #applyOne({backendServer, prefix, tokens}: WireReading, now: number): void {
    const state = this.#fleet.find(backendServer ?? '');
    if (!state) return;
    const {tokensPerMs} = this.#rate;
    state.noteOthersReading((tokens ?? 0) / tokensPerMs, now);
    const readAt = now + state.readingMs(tokensPerMs, now);
    state.noteWarm((prefix ?? '').split('/').slice(1), readAt);
  }
}
