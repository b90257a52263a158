/**
 * Chooses the engine for a prompt: where it is warm, unless the wait there
 * would make the first token late and another engine has it in time.
 *
 * A prompt that is warm nowhere has the same home for every router by
 * rendezvous hashing, so that it is read once in the fleet and not once a
 * router.
 */
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type ContextFetch, ContextSources} from './gateway_context_source.js';
import {type PromptPart} from './gateway_headers.js';
import {type ServerState} from './gateway_server_state.js';

/** What an engine is chosen for. */
export interface EngineRequest {
  /** The engines that may be chosen, one at least. */
  readonly candidates: readonly ServerState[];
  /** The engines that may hold the prompt, draining ones too. */
  readonly holders: readonly ServerState[];
  readonly parts: readonly PromptPart[];
  readonly targetLatencyMs: number;
  /** A failure costs a second run; else it costs the caller its answer. */
  readonly repeatable: boolean;
  /** Prompt tokens that an engine reads in a millisecond. */
  readonly readTokensPerMs: number;
  /** Tokens taken over in a millisecond; undefined where that can't be. */
  readonly fetchTokensPerMs: number | undefined;
  readonly weights: EngineWeights;
}

/** The engine, and where it takes the prompt's context over from. */
export interface EngineChoice {
  readonly state: ServerState;
  readonly fetch: ContextFetch;
}

interface EngineOption extends EngineChoice {
  /** Tokens that it has to read itself. */
  readonly prefillTokens: number;
}

/** What counts how much in the choice of an engine. */
export interface EngineWeights {
  /**
   * A millisecond of reading anew at another server, which also delays that
   * server's other streams and pushes out what it held: more than its own time.
   */
  readonly reread: number;
  /**
   * Taking a token over against reading it anew: it takes memory at both ends
   * and a share of the links, but no time of the engine.
   */
  readonly fetch: number;
  /**
   * Part of a cold prompt's reading that its home has as an advantage, so that
   * gateways which meet a new prompt at the same time send it to one server.
   */
  readonly home: number;
  /**
   * Part of the target latency up to which a wait costs the caller nothing: the
   * rest covers what other routers have sent to the server, unseen from here, and
   * what the prompts after it will have to wait for.
   */
  readonly freeWaitPart: number;
  /** A millisecond beyond that against one of reading anew. */
  readonly late: number;
  /**
   * A millisecond of a wait that brings no lateness, and one more request at a
   * server, in milliseconds: they decide between servers that are equal else.
   */
  readonly early: number;
  readonly runningRequestMs: number;
  /**
   * A certain failure, in times of the target latency: a caller whose stream can
   * be resumed waits about as long once more, another one has lost its answer.
   */
  readonly repeatableFailure: number;
  readonly lostFailure: number;
}

/** The weights in use; docs/design/new_customer.md says what they are worth. */
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
});

/**
 * @param req the prompt and the engines
 * @param hasher finds homes
 * @param now present time, monotonic milliseconds
 * @returns the engine with the least cost for the caller and the others
 */
export function chooseEngine(
  req: EngineRequest,
  hasher: KeyHasher,
  now: number,
): EngineChoice | undefined {
  const options = listOptions(req, now);
  const leastPrefillTokens = Math.min(
    ...options.map(({prefillTokens: prefillTokens}) => prefillTokens),
  );
  const home = findHome(req, hasher);
  let best: EngineOption | undefined;
  let bestCost = Infinity;
  for (const option of options) {
    const homeAdvantage =
      option.state === home ? 0 : req.weights.home * leastPrefillTokens;
    const extraTokens =
      option.prefillTokens - leastPrefillTokens + homeAdvantage;
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

/** What the choice costs this caller and others, in milliseconds. */
function costOf(
  {state, fetch, prefillTokens: prefillTokens}: EngineOption,
  extraTokens: number,
  req: EngineRequest,
  now: number,
): number {
  const {readTokensPerMs, fetchTokensPerMs = Infinity, weights} = req;
  const firstTokenMs =
    prefillTokens / readTokensPerMs +
    fetch.tokens / fetchTokensPerMs +
    state.prefillWaitMs(readTokensPerMs, now);
  const lateMs = firstTokenMs - req.targetLatencyMs * weights.freeWaitPart;
  const weightedTokens = extraTokens + fetch.tokens * weights.fetch;
  const failure = req.repeatable
    ? weights.repeatableFailure
    : weights.lostFailure;
  return (
    (weightedTokens / readTokensPerMs) * weights.reread +
    Math.max(0, lateMs) * weights.late +
    firstTokenMs * weights.early +
    state.load(now) * weights.runningRequestMs +
    state.failureRisk(now) * failure * req.targetLatencyMs
  );
}

/**
 * The last part belongs to the request alone; what it shares with others ends
 * with the part before it.
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
