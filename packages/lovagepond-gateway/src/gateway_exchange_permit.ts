/**
 * The permit of one request's current attempt.
 */
import {type GatewayPermits} from './gateway_permits.js';
import {type ServerState} from './gateway_server_state.js';

export class ExchangePermit {
  readonly #permits: GatewayPermits;
  #state: ServerState | undefined;
  #isGranted = false;
  #abandon: () => void = () => {};

  constructor(permits: GatewayPermits) {
    this.#permits = permits;
  }

  /** True from the grant to the release. */
  get isGranted(): boolean {
    return this.#state !== undefined && this.#isGranted;
  }

  /** True while the issuer's decision is awaited. */
  get isPending(): boolean {
    return this.#state !== undefined && !this.#isGranted;
  }

  /**
   * Asks for a permit. Until the decision the request counts in the server's
   * load.
   *
   * @param state the server
   * @param limit requests that all gateways may have there, with the new one
   * @param now current time, monotonic milliseconds
   * @param onDecision called once, during the call or later, with whether the
   *     request may be sent, and whether no issuer replied; not called after
   *     {@link release}
   */
  acquire(
    state: ServerState,
    limit: number,
    now: number,
    onDecision: (isGranted: boolean, isAlone: boolean) => void,
  ): void {
    const {name} = state.server;
    this.#state = state;
    this.#isGranted = false;
    state.awaitingPermit += 1;
    let isCurrent = true;
    this.#abandon = () => {
      isCurrent = false;
    };
    this.#permits.acquire(name, limit, now, (decision, at) => {
      const {granted, load, warmUpRouters, hasExited} = decision;
      const {isAlone = false} = decision;
      if (!isCurrent) {
        if (granted) this.#permits.release(name, at);
        return;
      }
      state.awaitingPermit -= 1;
      state.noteCountedLoad(granted ? load - 1 : load, at);
      if (warmUpRouters) state.warmUpNews.noteTold(warmUpRouters, at);
      if (hasExited) state.warmUpNews.noteExitTold(at);
      this.#isGranted = granted;
      if (!granted) this.#state = undefined;
      onDecision(granted, isAlone);
    });
  }

  /**
   * Gives the permit back, or no longer waits for it.
   *
   * @param now current time, monotonic milliseconds
   */
  release(now: number): void {
    const state = this.#state;
    if (!state) return;
    this.#state = undefined;
    if (this.#isGranted) {
      this.#permits.release(state.server.name, now);
    } else {
      this.#abandon();
      state.awaitingPermit -= 1;
    }
  }
}
