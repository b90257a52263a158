/**
 * Transport of messages between members.
 */
import {type Unregister} from '@lovagepond/core';
import {type TransportMessage} from './consensus_messages.js';

export type MessageListener = (message: TransportMessage) => void;

/** Sends messages that may be lost, duplicated, delayed or reordered. */
export interface ConsensusTransport {
  /**
   * @param address `host:port` of the receiver
   * @param message the message; must not be modified afterwards
   */
  send(address: string, message: TransportMessage): void;
  /**
   * @param listener called with each received message
   * @returns a function that removes the listener
   */
  onMessage(listener: MessageListener): Unregister;
}

/** Connects members of one process, for tests and for trying the package. */
export class MemoryNetwork {
  readonly #listeners = new Map<string, Set<MessageListener>>();

  /**
   * @param address address of the member
   * @returns the transport for that member
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
