/**
 * A gateway's view of one backend server: the gateway's requests there, the
 * load that the server and other gateways report, recent failures, and the
 * prompts in the server's cache.
 */
import {type BackendServer} from '@lovagepond/core';
import {
  type PoolMeans,
  ServerCapacity,
  type ServerLoadView,
} from '@lovagepond/load';
import {EngineMemory} from './gateway_engine_memory.js';
import {OutcomeEstimate, type Outcomes} from './gateway_outcome_estimate.js';
import {type PromptPart, type ServerLoad} from './gateway_headers.js';
import {ServerBackoff} from './gateway_server_backoff.js';
import {PendingPrefill} from './gateway_pending_prefill.js';
import {RemoteRequests} from './gateway_remote_requests.js';
import {
  DEFAULT_GATEWAY_SETTINGS,
  type GatewaySettings,
} from './gateway_settings.js';
import {type PartSizes, WarmParts} from './gateway_warm_parts.js';
import {WarmUpNews} from './gateway_warm_up_news.js';

/**
 * Half-life of the other gateways' load as reported by the server,
 * milliseconds: about the duration of a longer request.
 */
const REMOTE_LOAD_HALF_LIFE_MS = 700;

/**
 * Validity of the requests that an issuer of permits has counted, milliseconds.
 * They were counted when a request was about to be sent, so they are no sample of
 * the usual load.
 */
const COUNT_VALID_MS = 100;

/**
 * Failure share that healthy servers reach for some request kinds. Differences
 * below it mean little and would only move prompts away from servers that hold
 * them in cache.
 */
const BASELINE_FAILURE_SHARE = 0.1;

/** Settings that concern the estimates of each server. */
export type CapacitySettings = Pick<
  GatewaySettings,
  'prefillTokensPerMs' | 'serverCapacity'
>;

export class ServerState {
  /** Requests that are sent, and their prompts, decide on its free memory. */
  readonly memory = new EngineMemory();
  readonly warmUpNews = new WarmUpNews();
  readonly #settings: CapacitySettings;
  #poolMeans: PoolMeans | undefined;
  server: BackendServer;
  #capacity: ServerCapacity;
  /** This gateway's requests in flight there. */
  inFlight = 0;
  /** This gateway's requests that wait for a permit there. */
  awaitingPermit = 0;
  /** Tokens of this gateway's requests that are without their first token. */
  pendingPrefillTokens = 0;
  /** Those of them that the server has yet to compute, as predicted. */
  readonly pendingPrefill = new PendingPrefill();
  /** The server computes prompts, so that requests also wait without a queue. */
  servesPrompts = false;
  /** Admission control of the server's pool depends on pending tokens. */
  hasAdmission = false;
  #reportedWaiting: number | undefined;
  #remoteAtReport = 0;
  readonly #remote = new RemoteRequests();
  #countedOthers = 0;
  #countedAt = Number.NEGATIVE_INFINITY;
  #reportedAt = Number.NEGATIVE_INFINITY;
  #remotePrefillUntil = Number.NEGATIVE_INFINITY;
  /** Rate that the time until then was estimated with, tokens per ms. */
  #remotePrefillRate = 0;
  readonly #backoff = new ServerBackoff();
  readonly #outcomes = new OutcomeEstimate();
  /** This gateway's outcomes that were not yet reported to the others. */
  #unreported = {ended: 0, failed: 0};
  /** The incarnation whose address another one has taken. */
  #replaced: string | undefined;
  readonly #warmParts = new WarmParts();

  /**
   * @param server the server
   * @param settings initial estimate, and whether estimates are used
   * @param poolMeans mean estimates of the server's pool
   */
  constructor(
    server: BackendServer,
    settings: CapacitySettings = DEFAULT_GATEWAY_SETTINGS,
    poolMeans?: PoolMeans,
  ) {
    this.server = server;
    this.#settings = settings;
    this.#poolMeans = poolMeans;
    this.#capacity = new ServerCapacity(settings.prefillTokensPerMs, poolMeans);
  }

  /** Estimates of the server's current incarnation. */
  get capacity(): ServerCapacity {
    return this.#capacity;
  }

  /** Whether the server's own estimates replace those for all servers. */
  get usesCapacity(): boolean {
    return this.#settings.serverCapacity;
  }

  /**
   * A new incarnation may run on another machine, or in another pool, and has an
   * empty cache.
   *
   * @param server the server's present entry in the membership
   * @param poolMeans mean estimates of its present pool
   */
  useServer(server: BackendServer, poolMeans: PoolMeans): void {
    const isSame = server.incarnation === this.server.incarnation;
    this.server = server;
    this.#poolMeans = poolMeans;
    if (isSame) return;
    const {prefillTokensPerMs} = this.#settings;
    this.#capacity = new ServerCapacity(prefillTokensPerMs, this.#poolMeans);
    if (this.usesCapacity) this.#warmParts.clear();
  }

  /** Requests that the server processes concurrently. */
  get slots(): number {
    return Math.max(1, this.server.directSlots ?? 1);
  }

  /** True once another incarnation has responded at the server's address. */
  get isReplaced(): boolean {
    return this.#replaced === this.server.incarnation;
  }

  markReplaced(): void {
    this.#replaced = this.server.incarnation;
  }

  /**
   * Adds prefill work of another gateway. A server processes one prompt after
   * the other, so its completion time can be estimated without a further
   * report.
   *
   * @param tokens prompt tokens that the server has to compute
   * @param tokensPerMs the prefill rate to estimate the duration with
   * @param now current time, monotonic milliseconds
   */
  noteRemotePrefill(tokens: number, tokensPerMs: number, now: number): void {
    this.#remotePrefillUntil =
      Math.max(now, this.#remotePrefillUntil) + tokens / tokensPerMs;
    this.#remotePrefillRate = tokensPerMs;
  }

  /**
   * @param commonRate prefill rate of all engines, tokens per millisecond
   * @param now current time, monotonic milliseconds
   * @returns the prefill rate to use for this server, tokens per millisecond
   */
  prefillRate(commonRate: number, now: number): number {
    if (!this.usesCapacity) return commonRate;
    return this.#capacity.prefillTokensPerMs(now);
  }

  /**
   * @param prefillTokensPerMs prefill rate of all engines, tokens per
   *     millisecond
   * @param now current time, monotonic milliseconds
   * @returns time until all known prefill work is done, milliseconds
   */
  prefillWaitMs(prefillTokensPerMs: number, now: number): number {
    if (this.usesCapacity) {
      const rate = this.#capacity.prefillTokensPerMs(now);
      return this.loadView(now).pendingPrefillTokens / rate;
    }
    const remoteMs = Math.max(0, this.#remotePrefillUntil - now);
    return remoteMs + this.pendingPrefillTokens / prefillTokensPerMs;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the estimated number of requests there, of all gateways
   */
  load(now: number): number {
    const age = now - this.#reportedAt;
    const remote =
      this.#remoteAtReport * 0.5 ** (age / REMOTE_LOAD_HALF_LIFE_MS);
    const own = this.inFlight + this.awaitingPermit;
    return own + Math.max(remote, this.#remote.requests);
  }

  /** Requests of the other gateways there, as these have reported them. */
  get reportedRequests(): number {
    return this.#remote.requests;
  }

  /** When other gateways' requests there were last reported, monotonic ms. */
  get requestsReportedAt(): number {
    return this.#remote.reportedAt;
  }

  /**
   * Requests there of all gateways, as the others have reported theirs, without
   * those that wait for a permit.
   */
  get requests(): number {
    return this.inFlight + this.reportedRequests;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns requests there of all gateways, as the issuer of the server's permits
   *     has counted them just now or, failing that, as these have reported
   */
  knownRequests(now: number): number {
    const isCurrent = now - this.#countedAt < COUNT_VALID_MS;
    return isCurrent ? this.inFlight + this.#countedOthers : this.requests;
  }

  /**
   * @param load requests of all gateways there, as its issuer of permits has
   *     counted
   * @param now current time, monotonic milliseconds
   */
  noteCountedLoad(load: number, now: number): void {
    this.#countedOthers = Math.max(0, load - this.inFlight);
    this.#countedAt = now;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns time since the server or other gateways last reported requests
   *     there, milliseconds; undefined without a report
   */
  reportAgeMs(now: number): number | undefined {
    const reportedAt = Math.max(this.#reportedAt, this.#remote.reportedAt);
    return Number.isFinite(reportedAt) ? now - reportedAt : undefined;
  }

  /** Prompt tokens that the server has yet to compute for other gateways. */
  get remotePrefillTokens(): number {
    return this.#remote.prefillTokens;
  }

  /**
   * Reports of shared prefixes arrive earlier than those of pending tokens, but
   * don't contain the prompts' own parts. The larger one is closer to the truth.
   *
   * @param now current time, monotonic milliseconds
   * @returns the server's load from the requests of all gateways
   */
  loadView(now: number): ServerLoadView {
    const remoteMs = Math.max(0, this.#remotePrefillUntil - now);
    const prefixTokens = remoteMs * this.#remotePrefillRate;
    const remoteTokens = Math.max(this.remotePrefillTokens, prefixTokens);
    return {
      slots: this.slots,
      load: this.load(now),
      pendingPrefillTokens: this.pendingPrefill.tokensAt(now) + remoteTokens,
    };
  }

  /**
   * @param gateway name of another gateway; empty for all others together
   * @param requests its number of requests at the server
   * @param now current time, monotonic milliseconds
   * @param prefillTokens its prompt tokens that the server has yet to compute
   */
  noteRemoteRequests(
    gateway: string,
    requests: number,
    now: number,
    prefillTokens = 0,
  ): void {
    this.#remote.note(gateway, {requests, prefillTokens}, now);
  }

  /**
   * Drops expired counts: a gateway that has exited can't withdraw its report.
   *
   * @param now current time, monotonic milliseconds
   */
  expireRemoteRequests(now: number): void {
    this.#remote.expire(now);
  }

  /**
   * @param load the load reported in a response of the server
   * @param now current time, monotonic milliseconds
   */
  noteLoad({running, waiting}: ServerLoad, now: number): void {
    this.#remoteAtReport = Math.max(0, running + waiting - this.inFlight);
    this.#reportedWaiting = waiting;
    this.#reportedAt = now;
  }

  /**
   * Requests that waited in the server's queue by its latest report; undefined
   * without a report, and for engines, where requests in a slot wait as well.
   */
  get reportedWaiting(): number | undefined {
    return this.servesPrompts ? undefined : this.#reportedWaiting;
  }

  /**
   * Records a complete response that is not a server error.
   *
   * @param now current time, monotonic milliseconds
   */
  noteSuccess(now: number): void {
    this.#backoff.reset();
    this.warmUpNews.noteAnswered();
    this.#noteOutcome({ended: 1, failed: 0}, now);
  }

  /**
   * Records a complete but late response. Callers are better served elsewhere,
   * so it counts as a failure when servers are compared.
   *
   * @param now current time, monotonic milliseconds
   */
  noteLateResponse(now: number): void {
    this.#backoff.reset();
    this.#noteOutcome({ended: 1, failed: 1}, now);
  }

  /**
   * Records that the server ran a request and failed it.
   *
   * @param now current time, monotonic milliseconds
   */
  noteErrorResponse(now: number): void {
    this.#noteOutcome({ended: 1, failed: 1}, now);
  }

  #noteOutcome(outcome: Outcomes, now: number): void {
    this.#outcomes.note(outcome, now);
    this.#unreported = {
      ended: this.#unreported.ended + outcome.ended,
      failed: this.#unreported.failed + outcome.failed,
    };
  }

  /**
   * @param outcomes reported outcomes of another gateway's requests there
   * @param now current time, monotonic milliseconds
   */
  noteRemoteOutcomes(outcomes: Outcomes, now: number): void {
    this.#outcomes.note(outcomes, now);
  }

  /** True if a failure of this gateway's requests has yet to be reported. */
  get hasUnreportedFailure(): boolean {
    return this.#unreported.failed > 0;
  }

  /** @returns this gateway's outcomes since the last call */
  takeUnreportedOutcomes(): Outcomes {
    const unreported = this.#unreported;
    this.#unreported = {ended: 0, failed: 0};
    return unreported;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the share of requests that the server is expected to fail, beyond
   *     that of a healthy one
   */
  failureRisk(now: number): number {
    return Math.max(
      0,
      this.#outcomes.failureShare(now) - BASELINE_FAILURE_SHARE,
    );
  }

  /**
   * Records a failed connection, a missing or broken response, or a refusal. The
   * backoff grows exponentially: a server that is down or sheds load does so for
   * seconds, and each attempt there costs a caller time and a retry.
   *
   * @param now current time, monotonic milliseconds
   */
  noteAttemptFailure(now: number): void {
    this.noteErrorResponse(now);
    this.#backoff.noteFailure(now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true while other servers should be preferred
   */
  isAvoided(now: number): boolean {
    return this.#backoff.isActive(now);
  }

  /**
   * A cached part is usable only if all the parts before it are cached too.
   *
   * @param parts a prompt's parts, in order
   * @param prefilledBy when their prefill must be done, monotonic milliseconds;
   *     by default pending prefill counts as done
   * @returns tokens that the server does not hold, as far as is known
   */
  coldTokens(parts: readonly PromptPart[], prefilledBy = Infinity): number {
    return this.#warmParts.coldTokens(parts, prefilledBy);
  }

  /**
   * @param ids prompt parts that the server holds or is computing
   * @param prefilledAt when their prefill is done, monotonic milliseconds
   * @param now current time, monotonic milliseconds
   * @param sizes the parts' tokens, as far as known
   */
  noteWarm(
    ids: readonly string[],
    prefilledAt: number,
    now = prefilledAt,
    sizes?: PartSizes,
  ): void {
    const own = this.inFlight + this.awaitingPermit;
    const otherRequests = this.load(now) - own;
    const cacheTokens = this.usesCapacity
      ? this.memory.cacheTokens(otherRequests)
      : undefined;
    this.#warmParts.note(ids, prefilledAt, cacheTokens, sizes);
  }
}
