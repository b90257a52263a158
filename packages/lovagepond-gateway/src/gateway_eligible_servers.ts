/**
 * The servers that one request may be sent to.
 */
import {type ChoiceRequest} from './gateway_choice.js';
import {type GatewayFleet} from './gateway_fleet.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {type ServerState} from './gateway_server_state.js';
import {type StreamBinding} from './gateway_stream_origin.js';
import {type GatewayWarmUp} from './gateway_warm_up.js';

interface EligibleServersDependencies {
  readonly fleet: GatewayFleet;
  readonly warmUp: Pick<GatewayWarmUp, 'admits' | 'waitMs'>;
}

type BoundRequest = Pick<AdmittedRequest, 'pool' | 'isRegionAllowed'>;

export class EligibleServers {
  readonly #req: BoundRequest;
  readonly #binding: StreamBinding;
  readonly #deps: EligibleServersDependencies;

  /**
   * @param req the request
   * @param binding the servers that can continue the request's stream
   * @param deps all servers, and their limits while they are warming up
   */
  constructor(
    req: BoundRequest,
    binding: StreamBinding,
    deps: EligibleServersDependencies,
  ) {
    this.#req = req;
    this.#binding = binding;
    this.#deps = deps;
  }

  /**
   * A context is a part of the request, so its holders must be allowed, too. What
   * another version has computed doesn't fit into a stream that is resumed.
   *
   * @param now current time, monotonic milliseconds
   * @returns servers for an attempt, and those that may hold the prompt
   */
  list(now: number): Pick<ChoiceRequest, 'servers' | 'holders'> {
    const {pool} = this.#req;
    const {fleet, warmUp} = this.#deps;
    const servers = fleet
      .ready(pool.name, now)
      .filter(state => this.#isAllowed(state) && warmUp.admits(state, now));
    return {servers, holders: this.holders()};
  }

  /** @returns servers that may hold the prompt, draining ones included */
  holders(): readonly ServerState[] {
    const listed = this.#deps.fleet.listed(this.#req.pool.name);
    return listed.filter(state => this.#isAllowed(state));
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true if a server accepts requests, even if its limit while it is
   *     warming up is reached
   */
  hasServer(now: number): boolean {
    const ready = this.#deps.fleet.ready(this.#req.pool.name, now);
    return ready.some(state => this.#isAllowed(state));
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns draining servers that may continue the request's stream; none
   *     unless it has begun
   */
  draining(now: number): readonly ServerState[] {
    if (!this.#binding.origin) return [];
    const draining = this.#deps.fleet.draining(this.#req.pool.name, now);
    return draining.filter(state => this.#isAllowed(state));
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true if a server accepts requests, but all those that do are warming
   *     up and get no more for now
   */
  isWarmingUp(now: number): boolean {
    return this.hasServer(now) && this.list(now).servers.length === 0;
  }

  /**
   * @param state a server that was chosen
   * @param now current time, monotonic milliseconds
   * @returns false if the request must not be sent to it any more
   */
  maySend(state: ServerState, now: number): boolean {
    const {fleet} = this.#deps;
    if (!this.#isAllowed(state)) return false;
    return this.#binding.origin
      ? fleet.mayContinue(state, now)
      : fleet.accepts(state, now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns time until the first server accepts requests again, milliseconds; 0
   *     unless all of them paused, or are warming up and get no more for now
   */
  unavailableMs(now: number): number {
    const {fleet, warmUp} = this.#deps;
    const pausedMs = fleet.pauseLeftMs(this.holders(), now);
    if (pausedMs > 0 || !this.isWarmingUp(now)) return pausedMs;
    const ready = fleet.ready(this.#req.pool.name, now);
    const allowed = ready.filter(state => this.#isAllowed(state));
    return Math.min(...allowed.map(state => warmUp.waitMs(state, now)));
  }

  #isAllowed({server}: ServerState): boolean {
    return (
      this.#req.isRegionAllowed(server.region) && this.#binding.admits(server)
    );
  }
}
