/**
 * A backend server as admission control sees it: predicted times of a request
 * from the server's load and its estimated capacity.
 */
import {
  type LoadedServer,
  type PredictedTimes,
  type RequestWork,
} from '@lovagepond/load';
import {ContextSources} from './gateway_context_source.js';
import {type OverloadRequest} from './gateway_overload_types.js';
import {type ServerState} from './gateway_server_state.js';

/** Largest plausible prompt where the engines' memory is unknown, tokens. */
const MAX_PROMPT_TOKENS = 10_000_000;

/** The work of a request at one server. */
interface DemandThere {
  readonly work: RequestWork;
  /** Time in which the server fetches context from another one, ms. */
  readonly fetchMs: number;
}

class GatewayLoadedServer implements LoadedServer<OverloadRequest> {
  readonly #state: ServerState;

  constructor(state: ServerState) {
    this.#state = state;
  }

  get name(): string {
    return this.#state.server.name;
  }

  get slots(): number {
    return this.#state.slots;
  }

  predict(req: OverloadRequest, now: number): PredictedTimes {
    const {capacity} = this.#state;
    const {work, fetchMs} = this.#demandOf(req, now);
    return delayed(
      capacity.predict(this.#state.loadView(now), work, now),
      fetchMs,
    );
  }

  predictIdle(req: OverloadRequest, now: number): PredictedTimes {
    const {capacity} = this.#state;
    const {work, fetchMs} = this.#demandOf(req, now);
    return delayed(capacity.predictIdle(work, now), fetchMs);
  }

  workMs(req: OverloadRequest, now: number): number {
    const {capacity, slots} = this.#state;
    return capacity.workMs(this.#demandOf(req, now).work, slots, now);
  }

  /** Context that is fetched takes no time of the server's engine. */
  #demandOf(req: OverloadRequest, now: number): DemandThere {
    const {kind, isStream, fetchTokensPerMs} = req;
    const coldTokens = this.#coldTokens(req);
    const tokens = this.#fetchedTokens(req, coldTokens, now);
    return {
      work: {kind, isStream, prefillTokens: coldTokens - tokens},
      fetchMs: tokens > 0 ? tokens / (fetchTokensPerMs ?? Infinity) : 0,
    };
  }

  /** A prompt that doesn't fit into the engine's memory can't run there. */
  #coldTokens({parts, contextTokens}: OverloadRequest): number {
    if (parts.length === 0) return 0;
    const tokens = this.#state.coldTokens(parts);
    return tokens <= (contextTokens ?? MAX_PROMPT_TOKENS) ? tokens : 0;
  }

  #fetchedTokens(
    req: OverloadRequest,
    coldTokens: number,
    now: number,
  ): number {
    if (req.fetchTokensPerMs === undefined || coldTokens === 0) return 0;
    const sources = new ContextSources(req.holders(), req.parts, now);
    return sources.fetchFor(this.#state, coldTokens).tokens;
  }
}

function delayed(times: PredictedTimes, byMs: number): PredictedTimes {
  if (byMs === 0) return times;
  return {
    startMs: times.startMs,
    firstResponseMs: times.firstResponseMs + byMs,
    doneMs: times.doneMs + byMs,
  };
}

const LOADED = new WeakMap<ServerState, LoadedServer<OverloadRequest>>();

/**
 * @param state a server
 * @returns the server for admission control, the same one at each call
 */
export function loadedServerOf(
  state: ServerState,
): LoadedServer<OverloadRequest> {
  const known = LOADED.get(state);
  if (known) return known;
  const loaded = new GatewayLoadedServer(state);
  LOADED.set(state, loaded);
  return loaded;
}
