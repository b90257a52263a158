/**
 * The servers that had no room for a request during the search for one.
 */
import {type ServerState} from './gateway_server_state.js';
import {type GatewayWarmUp} from './gateway_warm_up.js';

/**
 * Servers that are warming up which one request asks for in vain: each costs up to
 * three datagrams and their replies.
 */
const MAX_WARM_UP_DENIALS = 2;

export class ServersWithoutRoom {
  readonly #warmUp: Pick<GatewayWarmUp, 'warmUpOf'>;
  /** Names of servers that were at their load limit. */
  readonly #full = new Set<string>();
  /** Names of servers that were warming up and got no more requests. */
  readonly #warmingUp = new Set<string>();

  /** @param warmUp tells which servers are warming up */
  constructor(warmUp: Pick<GatewayWarmUp, 'warmUpOf'>) {
    this.#warmUp = warmUp;
  }

  /** True if a server was at its load limit. */
  get hasFull(): boolean {
    return this.#full.size > 0;
  }

  /** True if a server that is warming up got no more requests. */
  get hasWarmingUp(): boolean {
    return this.#warmingUp.size > 0;
  }

  /** @param state a server that is at its load limit */
  noteFull({server}: ServerState): void {
    this.#full.add(server.name);
  }

  /** @param state a server that is warming up and gets no more requests */
  noteWarmingUp({server}: ServerState): void {
    this.#warmingUp.add(server.name);
  }

  /** Has servers chosen again that were at their load limit. */
  forgetFull(): void {
    this.#full.clear();
  }

  /**
   * @param state a server
   * @param now current time, monotonic milliseconds
   * @returns true if the server may be chosen
   */
  mayTry(state: ServerState, now: number): boolean {
    const {name} = state.server;
    if (this.#full.has(name) || this.#warmingUp.has(name)) return false;
    if (this.#warmingUp.size < MAX_WARM_UP_DENIALS) return true;
    return this.#warmUp.warmUpOf(state, now) === undefined;
  }
}
