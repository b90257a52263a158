/**
 * What this router knows of one backend server: its own requests there, the
 * load that the server reports, its recent failures and its warm prompts.
 */
import {type BackendServer} from '@lovagepond/core';
import {OutcomeEstimate, type Outcomes} from './gateway_outcome_estimate.js';
import {type PromptPart, type ServerLoad} from './gateway_headers.js';

/**
 * Time in which what other routers have at a server is half forgotten: about
 * as long as one of the longer requests lasts, milliseconds.
 */
const REMOTE_LOAD_HALF_LIFE_MS = 700;

/** First pause after a failure, doubled up to the longest; milliseconds. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 4_000;

/**
 * Servers that are well fail this part of the requests of some kinds. Below it
 * differences say little, and would move prompts away from where they are warm.
 */
const BASELINE_FAILURE_SHARE = 0.1;

/** Parts of prompts remembered for a server; the oldest go first. */
const MAX_WARM_PARTS = 4_096;

/**
 * Time for which another router's number of requests counts without a new word,
 * milliseconds: nearly all requests are over by then.
 */
const REMOTE_TTL_MS = 3_000;

interface RemoteRequests {
  readonly requests: number;
  readonly reportedAt: number;
}

/** One backend server as this router sees it. */
export class ServerState {
  server: BackendServer;
  /** This router's requests there. */
  inFlight = 0;
  /** Tokens that the server still has to read for this router's requests. */
  pendingPrefillTokens = 0;
  #remoteAtReport = 0;
  #remoteRequests = 0;
  /** Requests of other routers, as they told. */
  readonly #byRouter = new Map<string, RemoteRequests>();
  #reportedAt = Number.NEGATIVE_INFINITY;
  #remotePrefillUntil = Number.NEGATIVE_INFINITY;
  #failures = 0;
  readonly #outcomes = new OutcomeEstimate();
  /** Own outcomes that the other routers haven't been told of. */
  #unreported = {ended: 0, failed: 0};
  #pausedUntil = Number.NEGATIVE_INFINITY;
  #isReplaced = false;
  /** When each part has been read; the least recently used first. */
  readonly #readAt = new Map<string, number>();

  constructor(server: BackendServer) {
    this.server = server;
  }

  /** Requests that it processes at once. */
  get slots(): number {
    return Math.max(1, this.server.directSlots ?? 1);
  }

  /** Another incarnation answers at its address. */
  get isReplaced(): boolean {
    return this.#isReplaced;
  }

  /** Called when another incarnation answered at its address. */
  markReplaced(): void {
    this.#isReplaced = true;
  }

  /**
   * The server reads one prompt after the other, so what others gave it is
   * read at a time that can be told without hearing of its end.
   *
   * @param durationMs how long it reads what another router gave it
   * @param now present time, monotonic milliseconds
   */
  noteRemotePrefill(durationMs: number, now: number): void {
    this.#remotePrefillUntil =
      Math.max(now, this.#remotePrefillUntil) + durationMs;
  }

  /**
   * @param prefillTokensPerMs prompt tokens that it reads in a millisecond
   * @param now present time, monotonic milliseconds
   * @returns time until it has read what it was given, milliseconds
   */
  prefillWaitMs(prefillTokensPerMs: number, now: number): number {
    const remoteMs = Math.max(0, this.#remotePrefillUntil - now);
    return remoteMs + this.pendingPrefillTokens / prefillTokensPerMs;
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns requests there by the best estimate, of all routers
   */
  load(now: number): number {
    const age = now - this.#reportedAt;
    const remote =
      this.#remoteAtReport * 0.5 ** (age / REMOTE_LOAD_HALF_LIFE_MS);
    return this.inFlight + Math.max(remote, this.#remoteRequests);
  }

  /**
   * @param router another router; empty for all others together
   * @param requests how many of its requests are here
   * @param now present time, monotonic milliseconds
   */
  noteRemoteRequests(router: string, requests: number, now: number): void {
    // Members of the release before tell of each router. One that goes on from one
    // to the other would count the same requests twice.
    if (router === '') this.#byRouter.clear();
    else this.#byRouter.delete('');
    if (requests === 0) this.#byRouter.delete(router);
    else this.#byRouter.set(router, {requests, reportedAt: now});
    this.#sumRemoteRequests();
  }

  /**
   * A router that ended can't take back what it told.
   *
   * @param now present time, monotonic milliseconds
   */
  expireRemoteRequests(now: number): void {
    for (const [router, {reportedAt}] of this.#byRouter) {
      if (now - reportedAt > REMOTE_TTL_MS) this.#byRouter.delete(router);
    }
    this.#sumRemoteRequests();
  }

  #sumRemoteRequests(): void {
    this.#remoteRequests = 0;
    for (const {requests} of this.#byRouter.values()) {
      this.#remoteRequests += requests;
    }
  }

  /**
   * @param load what the server said in an answer
   * @param now present time, monotonic milliseconds
   */
  noteLoad({running, waiting}: ServerLoad, now: number): void {
    this.#remoteAtReport = Math.max(0, running + waiting - this.inFlight);
    this.#reportedAt = now;
  }

  /**
   * A request got its answer, whatever that says.
   *
   * @param now present time, monotonic milliseconds
   */
  noteSuccess(now: number): void {
    this.#endPause();
    this.#noteOutcome({ended: 1, failed: 0}, now);
  }

  /**
   * The answer came, but so late that callers are better off elsewhere: it counts
   * as a failure where servers are compared.
   *
   * @param now present time, monotonic milliseconds
   */
  noteLateResponse(now: number): void {
    this.#endPause();
    this.#noteOutcome({ended: 1, failed: 1}, now);
  }

  #endPause(): void {
    this.#failures = 0;
    this.#pausedUntil = Number.NEGATIVE_INFINITY;
  }

  /**
   * The server ran a request and failed it.
   *
   * @param now present time, monotonic milliseconds
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
   * @param outcomes of another router's requests here, as it told
   * @param now present time, monotonic milliseconds
   */
  noteRemoteOutcomes(outcomes: Outcomes, now: number): void {
    this.#outcomes.note(outcomes, now);
  }

  /** An own request failed here that the other routers don't know of. */
  get hasUnreportedFailure(): boolean {
    return this.#unreported.failed > 0;
  }

  /** @returns own outcomes since the last call */
  takeUnreportedOutcomes(): Outcomes {
    const unreported = this.#unreported;
    this.#unreported = {ended: 0, failed: 0};
    return unreported;
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns the share of requests that it is expected to fail, beyond what a
   *     server that is well fails
   */
  failureRisk(now: number): number {
    return Math.max(
      0,
      this.#outcomes.failureShare(now) - BASELINE_FAILURE_SHARE,
    );
  }

  /**
   * No connection, no answer, or a broken one. The pause grows, as a server
   * that is down stays so for seconds, and each try costs a caller.
   *
   * @param now present time, monotonic milliseconds
   */
  noteAttemptFailure(now: number): void {
    this.noteErrorResponse(now);
    const pause = FIRST_PAUSE_MS * 2 ** this.#failures;
    this.#failures += 1;
    this.#pausedUntil = now + Math.min(pause, LONGEST_PAUSE_MS);
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns true while other servers should be preferred
   */
  isAvoided(now: number): boolean {
    return now < this.#pausedUntil;
  }

  /**
   * A part is held for good use only behind all the parts before it.
   *
   * @param parts a prompt's parts, in order
   * @param readBy when they have to be read, monotonic milliseconds; by
   *     default what is read before them doesn't matter
   * @returns tokens that the server lacks, as far as is known here
   */
  coldTokens(parts: readonly PromptPart[], readBy = Infinity): number {
    const firstCold = parts.findIndex(
      ({id}) => (this.#readAt.get(id) ?? Infinity) >= readBy,
    );
    if (firstCold < 0) return 0;
    return parts.slice(firstCold).reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /**
   * @param ids parts of prompts that the server reads or holds
   * @param readAt when it has read them, monotonic milliseconds
   */
  noteWarm(ids: readonly string[], readAt: number): void {
    for (const id of ids) {
      const before = this.#readAt.get(id) ?? Infinity;
      this.#readAt.delete(id);
      this.#readAt.set(id, Math.min(before, readAt));
    }
    for (const oldest of this.#readAt.keys()) {
      if (this.#readAt.size <= MAX_WARM_PARTS) return;
      this.#readAt.delete(oldest);
    }
  }
}
