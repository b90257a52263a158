/**
 * A backend server as admission control sees it: predicted times of a request
 * from the server's load and its estimated capacity.
 */
import {
  type LoadedServer,
  type PredictedTimes,
  type RequestWork,
  ServerCapacity,
} from '@lovagepond/load';
import {ContextSources} from './gateway_context_source.js';
import {type OverloadRequest} from './gateway_overload_types.js';
import {type ServerState} from './gateway_server_state.js';

const INTERIM = new WeakMap<ServerState, ServerCapacity>();
export function capacityOf(state: ServerState): ServerCapacity {
  const capacity = INTERIM.get(state) ?? new ServerCapacity(40);
  INTERIM.set(state, capacity);
  return capacity;
}

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
    const state = this.#state;
    const view = {
      slots: state.slots,
      load: state.load(now),
      pendingPrefillTokens: state.pendingPrefillTokens,
    };
    const {work, fetchMs} = this.#demandOf(req, now);
    return delayed(capacityOf(state).predict(view, work, now), fetchMs);
  }

  predictIdle(req: OverloadRequest, now: number): PredictedTimes {
    const {work, fetchMs} = this.#demandOf(req, now);
    const times = capacityOf(this.#state).predictIdle(work, now);
    return delayed(times, fetchMs);
  }

  workMs(req: OverloadRequest, now: number): number {
    const {work} = this.#demandOf(req, now);
    return capacityOf(this.#state).workMs(work, this.#state.slots, now);
  }

  /** Context that is fetched takes no time of the server's engine. */
  #demandOf(req: OverloadRequest, now: number): DemandThere {
    const {kind, isStream, parts, fetchTokensPerMs} = req;
    if (parts.length === 0) {
      return {work: {kind, isStream, prefillTokens: 0}, fetchMs: 0};
    }
    const coldTokens = this.#state.coldTokens(parts);
    if (fetchTokensPerMs === undefined || coldTokens === 0) {
      return {work: {kind, isStream, prefillTokens: coldTokens}, fetchMs: 0};
    }
    const sources = new ContextSources(req.holders(), parts, now);
    const {tokens} = sources.fetchFor(this.#state, coldTokens);
    return {
      work: {kind, isStream, prefillTokens: coldTokens - tokens},
      fetchMs: tokens / fetchTokensPerMs,
    };
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
