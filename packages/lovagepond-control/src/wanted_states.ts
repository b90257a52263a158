/**
 * What operators want of each backend server: to serve or to drain.
 */
import {WANTED_STATE, type WantedState} from './control_administration.js';

/** Wanted states. Part of the replicated state. */
export class WantedStates {
  /** Only what differs from `ready`, the state of any unnamed server. */
  readonly #draining = new Set<string>();

  /**
   * @param server a backend server, announced or not
   * @param wantedState what is wanted of it from now on
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
   * @returns what is wanted of it
   */
  get(server: string): WantedState {
    const draining = this.#draining.has(server);
    return draining ? WANTED_STATE.DRAINING : WANTED_STATE.READY;
  }

  /** @returns the serialized form */
  snapshot(): readonly string[] {
    return [...this.#draining];
  }

  /** @param snapshot what {@link snapshot} gave */
  restore(snapshot: readonly string[]): void {
    this.#draining.clear();
    for (const server of snapshot) this.#draining.add(server);
  }
}
