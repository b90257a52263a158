/**
 * The state that operators request of each backend server: ready or draining.
 */
import {WANTED_STATE, type WantedState} from './control_administration.js';

/** Wanted states of backend servers. Part of the replicated state. */
export class WantedStates {
  /** Servers to drain; the wanted state of all others is `ready`. */
  readonly #draining = new Set<string>();

  /**
   * @param server a backend server, announced or not
   * @param wantedState the new wanted state
   */
  set(server: string, wantedState: WantedState): void {
    if (wantedState === WANTED_STATE.DRAINING) {
      this.#draining.add(server);
    } else {
      this.#draining.delete(server);
    }
  }

  /**
   * @param server a backend server
   * @returns the server's wanted state
   */
  get(server: string): WantedState {
    const draining = this.#draining.has(server);
    return draining ? WANTED_STATE.DRAINING : WANTED_STATE.READY;
  }

  /** @returns the serialized form */
  snapshot(): readonly string[] {
    return [...this.#draining];
  }

  /** @param snapshot the result of {@link snapshot} */
  restore(snapshot: readonly string[]): void {
    this.#draining.clear();
    for (const server of snapshot) this.#draining.add(server);
  }
}
