/**
 * A backend server as admission control sees it: predicted times of a request
 * from the server's load and its estimated capacity.
 */
import {type LoadedServer, type PredictedTimes} from '@lovagepond/load';
import {type OverloadRequest} from './gateway_overload_types.js';
import {type ServerState} from './gateway_server_state.js';

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

  get reportedWaiting(): number | undefined {
    return this.#state.reportedWaiting;
  }

  predict(req: OverloadRequest, now: number): PredictedTimes {
    const {capacity} = this.#state;
    const {work, fetchMs} = req.demand.at(this.#state, now);
    return delayed(
      capacity.predict(this.#state.loadView(now), work, now),
      fetchMs,
    );
  }

  predictIdle(req: OverloadRequest, now: number): PredictedTimes {
    const {capacity} = this.#state;
    const {work, fetchMs} = req.demand.at(this.#state, now);
    return delayed(capacity.predictIdle(work, now), fetchMs);
  }

  workMs(req: OverloadRequest, now: number): number {
    const {capacity, slots} = this.#state;
    return capacity.workMs(req.demand.at(this.#state, now).work, slots, now);
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
