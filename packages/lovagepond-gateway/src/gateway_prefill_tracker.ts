/**
 * Tracks the prefill of one request's prompt at a server: the tokens to be
 * computed, when they will be done, and the observed rate.
 */
import {type ServerCapacity, type ServerLoadView} from '@lovagepond/load';
import {type ServerChoice} from './gateway_choice.js';
import {type ContextFetch} from './gateway_context_source.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {type PromptPart} from './gateway_headers.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type GatewayLoadReports} from './gateway_load_reports.js';
import {type ServerState} from './gateway_server_state.js';

/**
 * Largest plausible prompt where the engines' memory is unknown, tokens.
 */
const MAX_PROMPT_TOKENS = 10_000_000;

/** Dependencies shared by all trackers. */
export interface PrefillTrackerDependencies {
  readonly readings: GatewayLoadReports;
  readonly rate: PrefillRate;
}

/** What the server's estimates need to know of a request. */
export interface TrackedRequest {
  /** Name of the request kind. */
  readonly kind: string;
  readonly isStream: boolean;
  /** Prompt tokens and expected output tokens. */
  readonly memoryTokens: number;
  /** Context memory of each engine of the pool, tokens, if known. */
  readonly contextTokens: number | undefined;
  /** Whether admission control of the pool depends on pending tokens. */
  readonly hasAdmission?: boolean;
}

/** The prefill of one prompt at one server. */
export class PrefillTracker {
  readonly #state: ServerState;
  readonly #rate: PrefillRate;
  readonly #req: TrackedRequest | undefined;
  /** Estimates of the incarnation that the request is sent to. */
  readonly #capacity: ServerCapacity;
  readonly #sentAt: number;
  readonly #loadAtSend: number;
  /** Tokens to compute until the first token, if the time shows the rate. */
  readonly #observedTokens: number | undefined;
  #prefillTokens: number;
  readonly #removePending: () => void;
  #memoryTokens = 0;
  #firstTokenAt: number | undefined;
  /**
   * Start of the prefill. Unset when the server has other prompts to compute or
   * fetches context, as its time then does not reflect the prefill rate.
   */
  #aloneSince: number | undefined;

  /**
   * Must be created when the request is sent to the server, before the request
   * is added to the server's load.
   *
   * @param state the server
   * @param parts the prompt's parts
   * @param fetch the context that the server fetches from another one
   * @param shared dependencies shared by all trackers
   * @param now current time, monotonic milliseconds
   * @param req the request; absent if nothing is to be learned from it
   */
  constructor(
    state: ServerState,
    parts: readonly PromptPart[],
    fetch: ContextFetch | undefined,
    {rate, readings}: PrefillTrackerDependencies,
    now: number,
    req?: TrackedRequest,
  ) {
    this.#state = state;
    this.#rate = rate;
    this.#req = req;
    this.#capacity = state.capacity;
    this.#sentAt = now;
    const ids = parts.map(({id}) => id);
    const coldTokens = state.coldTokens(parts);
    const ownTokens = parts.at(-1)?.tokens ?? 0;
    this.#prefillTokens = this.#plausible(coldTokens - (fetch?.tokens ?? 0));
    const view = state.loadView(now);
    this.#loadAtSend = view.load;
    this.#observedTokens = this.#showsRate(view, fetch, now)
      ? view.pendingPrefillTokens + this.#prefillTokens
      : undefined;
    const waitMs = state.prefillWaitMs(rate.tokensPerMs, now);
    const prefillRate = state.prefillRate(rate.tokensPerMs, now);
    const startAt = now + waitMs;
    const doneAt = startAt + this.#prefillTokens / prefillRate;
    this.#removePending = state.pendingPrefill.add(
      this.#prefillTokens,
      startAt,
      doneAt,
    );
    const isAlone = waitMs === 0 && !fetch?.source;
    this.#aloneSince = isAlone ? now : undefined;
    readings.notePrefill(state, ids.slice(0, -1), {
      newTokens: coldTokens - ownTokens,
      prefillTokens: Math.max(0, this.#prefillTokens - ownTokens),
    });
    state.pendingPrefillTokens += this.#prefillTokens;
    state.servesPrompts ||= parts.length > 0;
    if (req) state.hasAdmission = req.hasAdmission ?? false;
    this.#occupyMemory();
    const sizes = new Map(parts.map(({id, tokens}) => [id, tokens]));
    state.noteWarm(ids, doneAt, now, sizes);
  }

  /**
   * @param percent the slowdown that the response reports, if any
   * @param now current time, monotonic milliseconds
   */
  noteSlowdown(percent: number | undefined, now: number): void {
    if (percent !== undefined) this.#capacity.noteSlowdown(percent, now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @param isAnswer false for the first byte of an error response
   */
  noteFirstToken(now: number, isAnswer = true): void {
    if (this.#aloneSince !== undefined) {
      this.#rate.observe(this.#prefillTokens, now - this.#aloneSince);
      this.#aloneSince = undefined;
    }
    if (isAnswer && this.#firstTokenAt === undefined) {
      this.#firstTokenAt = now;
      this.#observeRate(now);
    }
    this.#endPrefill();
  }

  /**
   * Records that the response is complete.
   *
   * @param now current time, monotonic milliseconds
   */
  noteEnd(now: number): void {
    if (!this.#req || this.#firstTokenAt === undefined) return;
    const {kind, isStream} = this.#req;
    if (isStream) this.#capacity.noteRun(kind, now - this.#firstTokenAt, now);
    else this.#noteWholeAnswer(kind, now);
  }

  #noteWholeAnswer(kind: string, now: number): void {
    const {slots} = this.#state;
    const durationMs = now - this.#sentAt;
    this.#capacity.noteService(kind, durationMs, this.#loadAtSend, slots, now);
  }

  /** Ends the request at the server. */
  close(): void {
    this.#endPrefill();
    this.#state.memory.remove(this.#memoryTokens);
    this.#memoryTokens = 0;
  }

  /** Ends the prefill: the server has nothing of the prompt left to compute. */
  #endPrefill(): void {
    this.#state.pendingPrefillTokens -= this.#prefillTokens;
    this.#prefillTokens = 0;
    this.#removePending();
  }

  /** A prompt that doesn't fit into the engine's memory can't run there. */
  #plausible(tokens: number): number {
    if (!this.#state.usesCapacity) return tokens;
    const limit = this.#req?.contextTokens ?? MAX_PROMPT_TOKENS;
    return tokens <= limit ? tokens : 0;
  }

  /**
   * The time to the first token shows the prefill rate unless the server sends
   * the whole answer at once, fetches context, or is expected to have no free
   * slot for longer than its pending prefill takes.
   */
  #showsRate(
    view: ServerLoadView,
    fetch: ContextFetch | undefined,
    now: number,
  ): boolean {
    if (!this.#req?.isStream || fetch?.source) return false;
    if (this.#prefillTokens <= 0) return false;
    const {kind} = this.#req;
    const work = {kind, isStream: true, prefillTokens: 0};
    const {startMs} = this.#capacity.predict(view, work, now);
    const rate = this.#capacity.prefillTokensPerMs(now);
    return startMs <= view.pendingPrefillTokens / rate;
  }

  #observeRate(now: number): void {
    if (this.#observedTokens === undefined) return;
    this.#capacity.notePrefill(this.#observedTokens, now - this.#sentAt, now);
  }

  #occupyMemory(): void {
    if (!this.#req) return;
    const {memory} = this.#state;
    memory.contextTokens = this.#req.contextTokens;
    this.#memoryTokens = memory.add(this.#req.memoryTokens);
  }
}

/**
 * @param req a request that is sent to a server
 * @returns what the server's estimates need to know of it; undefined for a
 *     plain service, whose response times are learned separately
 */
export function trackedRequest({
  rule: {forwarding, kind},
  facts: {promptTokens, outputTokens},
  pool,
}: Pick<AdmittedRequest, 'rule' | 'facts' | 'pool'>):
  TrackedRequest | undefined {
  if (!forwarding.sticky) return undefined;
  return {
    kind,
    isStream: forwarding.streaming,
    memoryTokens: promptTokens + outputTokens,
    contextTokens: pool.contextTokens,
    hasAdmission: pool.admission !== undefined,
  };
}

/**
 * @param req a request that is sent now
 * @param chosen its server, and where that fetches the prompt's context from
 * @param deps dependencies shared by all trackers
 * @param now current time, monotonic milliseconds
 * @returns the tracker of its prompt
 */
export function trackPrefill(
  req: AdmittedRequest,
  {state, fetch}: Pick<ServerChoice, 'state' | 'fetch'>,
  deps: PrefillTrackerDependencies,
  now: number,
): PrefillTracker {
  const {parts} = req.facts;
  return new PrefillTracker(
    state,
    parts,
    fetch,
    deps,
    now,
    trackedRequest(req),
  );
}
