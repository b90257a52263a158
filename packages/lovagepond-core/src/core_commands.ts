/**
 * Typed commands and the bus that hands them to listeners.
 *
 * Features register listeners at start, so that the dispatching feature and the
 * handling feature need no reference to each other.
 */
import {type Unregister} from './core_registration.js';

/** A command constant; `Payload` is the type of each dispatch's argument. */
export interface Command<Payload> {
  readonly name: string;
  /** Phantom field: carries the payload's type and is never set. */
  readonly payload?: Payload;
}

/** Returns true when the command is handled and later listeners are skipped. */
export type CommandListener<Payload> = (payload: Payload) => boolean;

/**
 * @param name the command's name in logs and dumps
 * @returns the constant to dispatch and to register listeners for
 */
export function createCommand<Payload>(name: string): Command<Payload> {
  return Object.freeze({name});
}

/** Dispatches commands to listeners in the order of their registration. */
export class CommandBus {
  readonly #listeners = new Map<Command<never>, Set<CommandListener<never>>>();

  /**
   * @param command the command to listen for
   * @param listener called with each payload
   * @returns a function that removes the listener
   */
  register<Payload>(
    command: Command<Payload>,
    listener: CommandListener<Payload>,
  ): Unregister {
    const key = command as Command<never>;
    const listeners = this.#listeners.get(key) ?? new Set();
    listeners.add(listener as CommandListener<never>);
    this.#listeners.set(key, listeners);
    return () => {
      listeners.delete(listener as CommandListener<never>);
    };
  }

  /**
   * @param command the command to dispatch
   * @param payload the argument for the listeners
   * @returns true when a listener handled it
   */
  dispatch<Payload>(command: Command<Payload>, payload: Payload): boolean {
    const listeners = this.#listeners.get(command as Command<never>) ?? [];
    for (const listener of [...listeners]) {
      if ((listener as CommandListener<Payload>)(payload)) return true;
    }
    return false;
  }
}
