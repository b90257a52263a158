/**
 * State that is immutable once published.
 */
import {invariant} from './core_invariant.js';
import {type Unregister} from './core_registration.js';

/** Called after each publication with the new and the former state. */
export type PublishedListener<State> = (state: State, former: State) => void;

/**
 * Holds one state value. Readers see a whole state or the next whole state,
 * never one that is half changed: an update works on a pending copy, which
 * replaces the published value in one step.
 */
export class Published<State extends object> {
  #state: State;
  #updating = false;
  readonly #listeners = new Set<PublishedListener<State>>();

  constructor(initial: State) {
    this.#state = Object.freeze(initial);
  }

  /** @returns the state published last */
  read(): State {
    return this.#state;
  }

  /**
   * @param change makes the next state from the current one; must not update
   * @returns the state now published
   */
  update(change: (current: State) => State): State {
    invariant(!this.#updating, 1, 'an update started inside an update');
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
   * @returns a function that takes the registration back
   */
  register(listener: PublishedListener<State>): Unregister {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
