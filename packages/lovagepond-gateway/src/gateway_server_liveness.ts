/**
 * Finds out whether a server outlived a response without length or chunks. Its
 * end is the end of its connection, as it would be if the server had crashed.
 */
import {SERVER_STATE} from '@lovagepond/core';
import {REACHABILITY, type Reachability} from './gateway_crash_detector.js';
import {type ServerState} from './gateway_server_state.js';

/**
 * Time after the end of a response at which the server is probed, milliseconds. A
 * process that exits closes its connections and its listener one after the other.
 */
const PROBE_DELAY_MS = 5;

export class ServerLiveness {
  readonly #probe: (address: string) => Promise<Reachability>;
  /** Probes that have not begun, by server name. */
  readonly #due = new Map<string, Promise<boolean>>();

  /** @param probe connects to an address */
  constructor(probe: (address: string) => Promise<Reachability>) {
    this.#probe = probe;
  }

  /**
   * @param state a server whose response has just ended with its connection
   * @param isLeaving the server has announced its exit, and ends its responses
   *     before it exits
   * @returns whether the response is complete: true unless the server's address
   *     no longer accepts connections
   */
  async outlives(state: ServerState, isLeaving: boolean): Promise<boolean> {
    const {name, state: listedState} = state.server;
    if (isLeaving || listedState !== SERVER_STATE.READY) return true;
    const due = this.#due.get(name) ?? this.#probeSoon(state);
    this.#due.set(name, due);
    return due;
  }

  async #probeSoon({server}: ServerState): Promise<boolean> {
    const {name, address} = server;
    await new Promise(resolve => setTimeout(resolve, PROBE_DELAY_MS));
    this.#due.delete(name);
    return (await this.#probe(address)) === REACHABILITY.ACCEPTS;
  }
}
