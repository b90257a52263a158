/**
 * Selects the engine for a prompt: one that holds the prompt in cache, unless
 * its first token would be late there and another engine would be in time.
 *
 * For a prompt that no engine holds, rendezvous hashing gives all gateways the
 * same home engine. The fleet then computes the prompt once, and not once for
 * each gateway.
 */
import {pausedStreams, type RequestWork} from '@lovagepond/load';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type ContextFetch, ContextSources} from './gateway_context_source.js';
import {type PromptPart} from './gateway_headers.js';
import {type ServerState} from './gateway_server_state.js';

/** The prompt and the engines to select from. */
export interface EngineRequest {
  /** The engines that may be selected, at least one. */
  readonly candidates: readonly ServerState[];
  /** The engines that may hold the prompt in cache, draining ones included. */
  readonly holders: readonly ServerState[];
  readonly parts: readonly PromptPart[];
  readonly targetLatencyMs: number;
  /** Longest pause between events of a stream in target, ms, if known. */
  readonly targetGapMs: number | undefined;
  /** A failed request may be retried; otherwise its response is lost. */
  readonly repeatable: boolean;
  /** The request without its prompt, whose prefill depends on the engine. */
  readonly work: RequestWork;
  /** Prefill rate of all engines, prompt tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Context tokens fetched per millisecond; undefined if unsupported. */
  readonly fetchTokensPerMs: number | undefined;
  readonly weights: EngineWeights;
}

/** The selected engine, and where it fetches the prompt's context from. */
export interface EngineChoice {
  readonly state: ServerState;
  readonly fetch: ContextFetch;
}

interface EngineOption extends EngineChoice {
  /** Tokens that the engine has to compute itself. */
  readonly prefillTokens: number;
}

/** Cost weights for the selection of an engine; costs are in milliseconds. */
export interface EngineWeights {
  /**
   * A millisecond of prefill that another engine would not have to do. It costs
   * more than its own time, as it delays the server's other streams and evicts
   * other prompts from its cache.
   */
  readonly reread: number;
  /**
   * Fetching a token, relative to computing it again. A fetch uses memory at
   * both ends and network bandwidth, but no time of the engine.
   */
  readonly fetch: number;
  /**
   * Penalty of all engines but the home engine, as a fraction of the prefill
   * that every engine would have to do. Gateways that receive a new prompt at
   * the same time then send it to the same server.
   */
  readonly home: number;
  /**
   * Fraction of the target latency after which the first token counts as late.
   * The rest allows for requests of other gateways that are not visible here,
   * and for the delay of the prompts that follow.
   */
  readonly freeWaitPart: number;
  /** A millisecond by which the first token is late. */
  readonly late: number;
  /** Any millisecond until the first token: decides between equal servers. */
  readonly early: number;
  /** Each request at the server: decides between equal servers, too. */
  readonly runningRequestMs: number;
  /**
   * A certain failure of a repeatable request, in multiples of the target
   * latency: its caller waits about that long again.
   */
  readonly repeatableFailure: number;
  /** A certain failure of any other request, whose response is then lost. */
  readonly lostFailure: number;
  /**
   * Another stream of the engine that pauses for too long because of the
   * prompt, in multiples of the target latency.
   */
  readonly pausedStream: number;
}

/** The default weights; docs/design/new_customer.md shows their effects. */
export const ENGINE_WEIGHTS: EngineWeights = Object.freeze({
  reread: 1.5,
  fetch: 0.12,
  home: 0.25,
  freeWaitPart: 0.5,
  late: 3,
  early: 0.1,
  runningRequestMs: 0.5,
  repeatableFailure: 1,
  lostFailure: 3,
  pausedStream: 0.7,
});

/**
 * @param req the prompt and the engines
 * @param hasher ranks engines for rendezvous hashing
 * @param now current time, monotonic milliseconds
 * @returns the engine with the lowest total cost
 */
export function chooseEngine(
  req: EngineRequest,
  hasher: KeyHasher,
  now: number,
): EngineChoice | undefined {
  const options = listOptions(req, now);
  const leastPrefillTokens = Math.min(
    ...options.map(({prefillTokens}) => prefillTokens),
  );
  const home = findHome(req, hasher);
  let best: EngineOption | undefined;
  let bestCost = Infinity;
  for (const option of options) {
    const nonHomePenalty =
      option.state === home ? 0 : req.weights.home * leastPrefillTokens;
    const extraTokens =
      option.prefillTokens - leastPrefillTokens + nonHomePenalty;
    const cost = costOf(option, extraTokens, req, now);
    if (cost >= bestCost) continue;
    best = option;
    bestCost = cost;
  }
  return best;
}

function listOptions(req: EngineRequest, now: number): readonly EngineOption[] {
  const {candidates, parts, fetchTokensPerMs} = req;
  const holders = fetchTokensPerMs === undefined ? [] : req.holders;
  const sources = new ContextSources(holders, parts, now);
  return candidates.map(state => {
    const coldTokens = state.coldTokens(parts);
    const fetch = sources.fetchFor(state, coldTokens);
    return {state, fetch, prefillTokens: coldTokens - fetch.tokens};
  });
}

/** Cost of an option for this and other callers, in milliseconds. */
function costOf(
  {state, fetch, prefillTokens}: EngineOption,
  extraTokens: number,
  req: EngineRequest,
  now: number,
): number {
  const {fetchTokensPerMs = Infinity, weights} = req;
  const prefillRate = state.prefillRate(req.prefillTokensPerMs, now);
  const firstTokenMs =
    prefillTokens / prefillRate +
    fetch.tokens / fetchTokensPerMs +
    waitMs(state, req, now);
  const lateMs = firstTokenMs - req.targetLatencyMs * weights.freeWaitPart;
  const weightedTokens = extraTokens + fetch.tokens * weights.fetch;
  const failure = req.repeatable
    ? weights.repeatableFailure
    : weights.lostFailure;
  return (
    (weightedTokens / prefillRate) * weights.reread +
    Math.max(0, lateMs) * weights.late +
    firstTokenMs * weights.early +
    state.load(now) * weights.runningRequestMs +
    latePausesMs(state, prefillTokens / prefillRate, req, now) +
    state.failureRisk(now) * failure * req.targetLatencyMs
  );
}

/** Cost of the engine's streams that the prompt makes late, in milliseconds. */
function latePausesMs(
  state: ServerState,
  prefillMs: number,
  {targetGapMs, targetLatencyMs, weights}: EngineRequest,
  now: number,
): number {
  if (!state.usesCapacity || targetGapMs === undefined) return 0;
  const {load, pendingPrefillTokens} = state.loadView(now);
  const pendingMs =
    pendingPrefillTokens / state.capacity.prefillTokensPerMs(now);
  const paused = pausedStreams({
    runningStreams: load,
    pendingMs,
    prefillMs,
    targetGapMs,
  });
  return paused * weights.pausedStream * targetLatencyMs;
}

/** Time until the engine begins with a prompt that is sent now. */
function waitMs(state: ServerState, req: EngineRequest, now: number): number {
  if (!state.usesCapacity) {
    return state.prefillWaitMs(req.prefillTokensPerMs, now);
  }
  return state.capacity.predict(state.loadView(now), req.work, now).startMs;
}

/**
 * Finds the home engine of the prompt's shared prefix. The last part belongs to
 * this request alone, so the prefix ends with the part before it, if any.
 */
function findHome(
  {candidates, parts}: EngineRequest,
  hasher: KeyHasher,
): ServerState | undefined {
  const shared = (parts.at(-2) ?? parts.at(-1))?.id ?? '';
  let home: ServerState | undefined;
  let highest = -1;
  for (const state of candidates) {
    const {place} = state.server;
    if (!place) continue;
    const {low} = hasher.hash(`${shared}\u0000${place}`);
    if (low <= highest) continue;
    highest = low;
    home = state;
  }
  return home;
}
