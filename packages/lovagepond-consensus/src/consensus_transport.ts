/**
 * How messages travel between members.
 */
import {type Unregister} from '@lovagepond/core';
import {type TransportMessage} from './consensus_messages.js';

/** Called with each message that arrives. */
export type MessageListener = (message: TransportMessage) => void;

/**
 * Carries messages without any promise: they may be lost, doubled, or arrive
 * late and out of order.
 */
export interface ConsensusTransport {
  /**
   * @param address `host:port` of the receiver
   * @param message what to send; never changed afterwards
   */
  send(address: string, message: TransportMessage): void;
  /**
   * @param listener called with each message that arrives
   * @returns a function that takes the registration back
   */
  onMessage(listener: MessageListener): Unregister;
}

/** Connects the members of one process: for tests and a first look. */
export class MemoryNetwork {
  readonly #listeners = new Map<string, Set<MessageListener>>();

  /**
   * @param address the address of the member that will use it
   * @returns the member's transport
   */
  attach(address: string): ConsensusTransport {
    const own = new Set<MessageListener>();
    this.#listeners.set(address, own);
    return {
      send: (to, message) => {
        setImmediate(() => {
          this.#deliver(to, message);
        });
      },
      onMessage: listener => {
        own.add(listener);
        return () => {
          own.delete(listener);
        };
      },
    };
  }

  #deliver(address: string, message: TransportMessage): void {
    for (const listener of [...(this.#listeners.get(address) ?? [])]) {
      listener(message);
    }
  }
}
