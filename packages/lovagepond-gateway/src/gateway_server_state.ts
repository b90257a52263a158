/**
 * A gateway's view of one backend server: the gateway's requests there, the
 * load that the server and other gateways report, recent failures, and the
 * prompts in the server's cache.
 */
import {type BackendServer} from '@lovagepond/core';
import {OutcomeEstimate, type Outcomes} from './gateway_outcome_estimate.js';
import {type PromptPart, type ServerLoad} from './gateway_headers.js';

/**
 * Half-life of the other gateways' load as reported by the server,
 * milliseconds: about the duration of a longer request.
 */
const REMOTE_LOAD_HALF_LIFE_MS = 700;

/** First and longest backoff, milliseconds; each failure doubles it. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;

/**
 * Failure share that healthy servers reach for some request kinds. Differences
 * below it mean little and would only move prompts away from servers that hold
 * them in cache.
 */
const BASELINE_FAILURE_SHARE = 0.1;

/** Prompt parts tracked per server; the least recently used are evicted. */
const MAX_WARM_PARTS = 4_096;

/**
 * TTL of the request count that another gateway reported, milliseconds: nearly
 * all requests end within it.
 */
const REMOTE_TTL_MS = 3_000;

interface RemoteRequests {
  readonly requests: number;
  readonly reportedAt: number;
}

export class ServerState {
  server: BackendServer;
  /** This gateway's requests in flight there. */
  inFlight = 0;
  /** Tokens that the server has yet to compute for this gateway's requests. */
  pendingPrefillTokens = 0;
  #remoteAtReport = 0;
  #remoteRequests = 0;
  /** Reported requests of other gateways, by gateway name. */
  readonly #byGateway = new Map<string, RemoteRequests>();
  #reportedAt = Number.NEGATIVE_INFINITY;
  #remotePrefillUntil = Number.NEGATIVE_INFINITY;
  #failures = 0;
  readonly #outcomes = new OutcomeEstimate();
  /** This gateway's outcomes that were not yet reported to the others. */
  #unreported = {ended: 0, failed: 0};
  #backoffUntil = Number.NEGATIVE_INFINITY;
  #isReplaced = false;
  /** When each part's prefill is done; the least recently used part first. */
  readonly #prefilledAt = new Map<string, number>();

  constructor(server: BackendServer) {
    this.server = server;
  }

  /** Requests that the server processes concurrently. */
  get slots(): number {
    return Math.max(1, this.server.directSlots ?? 1);
  }

  /** True once another incarnation has responded at the server's address. */
  get isReplaced(): boolean {
    return this.#isReplaced;
  }

  markReplaced(): void {
    this.#isReplaced = true;
  }

  /**
   * Adds prefill work of another gateway. A server processes one prompt after
   * the other, so its completion time can be estimated without a further
   * report.
   *
   * @param durationMs the work's estimated duration, milliseconds
   * @param now current time, monotonic milliseconds
   */
  noteRemotePrefill(durationMs: number, now: number): void {
    this.#remotePrefillUntil =
      Math.max(now, this.#remotePrefillUntil) + durationMs;
  }

  /**
   * @param prefillTokensPerMs the prefill rate, tokens per millisecond
   * @param now current time, monotonic milliseconds
   * @returns time until all known prefill work is done, milliseconds
   */
  prefillWaitMs(prefillTokensPerMs: number, now: number): number {
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
    return this.inFlight + Math.max(remote, this.#remoteRequests);
  }

  /**
   * @param gateway name of another gateway; empty for all others together
   * @param requests its number of requests at the server
   * @param now current time, monotonic milliseconds
   */
  noteRemoteRequests(gateway: string, requests: number, now: number): void {
    // Members of control that run the previous release report each gateway
    // separately. After switching between members of both releases, a gateway
    // would count the same requests twice.
    if (gateway === '') this.#byGateway.clear();
    else this.#byGateway.delete('');
    if (requests === 0) this.#byGateway.delete(gateway);
    else this.#byGateway.set(gateway, {requests, reportedAt: now});
    this.#sumRemoteRequests();
  }

  /**
   * Drops expired counts: a gateway that has exited can't withdraw its report.
   *
   * @param now current time, monotonic milliseconds
   */
  expireRemoteRequests(now: number): void {
    for (const [gateway, {reportedAt}] of this.#byGateway) {
      if (now - reportedAt > REMOTE_TTL_MS) this.#byGateway.delete(gateway);
    }
    this.#sumRemoteRequests();
  }

  #sumRemoteRequests(): void {
    this.#remoteRequests = 0;
    for (const {requests} of this.#byGateway.values()) {
      this.#remoteRequests += requests;
    }
  }

  /**
   * @param load the load reported in a response of the server
   * @param now current time, monotonic milliseconds
   */
  noteLoad({running, waiting}: ServerLoad, now: number): void {
    this.#remoteAtReport = Math.max(0, running + waiting - this.inFlight);
    this.#reportedAt = now;
  }

  /**
   * Records a complete response that is not a server error.
   *
   * @param now current time, monotonic milliseconds
   */
  noteSuccess(now: number): void {
    this.#resetBackoff();
    this.#noteOutcome({ended: 1, failed: 0}, now);
  }

  /**
   * Records a complete but late response. Callers are better served elsewhere,
   * so it counts as a failure when servers are compared.
   *
   * @param now current time, monotonic milliseconds
   */
  noteLateResponse(now: number): void {
    this.#resetBackoff();
    this.#noteOutcome({ended: 1, failed: 1}, now);
  }

  #resetBackoff(): void {
    this.#failures = 0;
    this.#backoffUntil = Number.NEGATIVE_INFINITY;
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
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** this.#failures;
    this.#failures += 1;
    this.#backoffUntil = now + Math.min(backoffMs, MAX_BACKOFF_MS);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true while other servers should be preferred
   */
  isAvoided(now: number): boolean {
    return now < this.#backoffUntil;
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
    const firstCold = parts.findIndex(
      ({id}) => (this.#prefilledAt.get(id) ?? Infinity) >= prefilledBy,
    );
    if (firstCold < 0) return 0;
    return parts.slice(firstCold).reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /**
   * @param ids prompt parts that the server holds or is computing
   * @param prefilledAt when their prefill is done, monotonic milliseconds
   */
  noteWarm(ids: readonly string[], prefilledAt: number): void {
    for (const id of ids) {
      const before = this.#prefilledAt.get(id) ?? Infinity;
      this.#prefilledAt.delete(id);
      this.#prefilledAt.set(id, Math.min(before, prefilledAt));
    }
    for (const oldest of this.#prefilledAt.keys()) {
      if (this.#prefilledAt.size <= MAX_WARM_PARTS) return;
      this.#prefilledAt.delete(oldest);
    }
  }
}
