/**
 * State that is immutable once published.
 */
import {invariant} from './core_invariant.js';
import {type Unregister} from './core_registration.js';

/** Called after each publication with the new and the previous state. */
export type PublishedListener<State> = (state: State, former: State) => void;

/**
 * Holds one state value. An update builds the next state beside the published
 * one and replaces it in one step, so readers never see a partial change.
 */
export class Published<State extends object> {
  #state: State;
  #updating = false;
  readonly #listeners = new Set<PublishedListener<State>>();

  constructor(initial: State) {
    this.#state = Object.freeze(initial);
  }

  /** @returns the currently published state */
  read(): State {
    return this.#state;
  }

  /**
   * @param change returns the next state for the current one; must not call
   *     `update` itself
   * @returns the newly published state
   * @throws InvariantError when `change` calls `update`
   */
  update(change: (current: State) => State): State {
    invariant(!this.#updating, 1, 'Published.update called inside an update');
    this.#updating = true;
    const former = this.#state;
    try {
      this.#state = Object.freeze(change(former));
    } finally {
      this.#updating = false;
    }
    if (this.#state !== former) {
      for (const listener of [...this.#listeners]) {
        listener(this.#state, former);
      }
    }
    return this.#state;
  }

  /**
   * @param listener called after each update that changed the state
   * @returns a function that removes the listener
   */
  register(listener: PublishedListener<State>): Unregister {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
