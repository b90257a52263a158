/**
 * States of servers that control no longer lists.
 *
 * A server whose reports are lost in a partition is unlisted and listed again
 * some seconds later, in the same incarnation and with its prefix cache. Without
 * its former state, gateways would have other engines compute the prompts that
 * it still holds.
 */
import {type BackendServer} from '@lovagepond/core';
import {type ServerState} from './gateway_server_state.js';

/** Retention time, milliseconds; partitions mostly end within some seconds. */
const RETENTION_MS = 30_000;

/** States kept; the ones unlisted first are dropped. */
const MAX_STATES = 1_024;

interface UnlistedServer {
  readonly state: ServerState;
  /** Unset until the first check after the server was unlisted. */
  readonly since: number | undefined;
}

export class UnlistedServers {
  readonly #servers = new Map<string, UnlistedServer>();

  /** @param state a server that has just been unlisted */
  add(state: ServerState): void {
    if (state.isReplaced) return;
    this.#servers.set(state.server.name, {state, since: undefined});
    for (const oldest of this.#servers.keys()) {
      if (this.#servers.size <= MAX_STATES) return;
      this.#servers.delete(oldest);
    }
  }

  /** @returns the states that are kept */
  list(): readonly ServerState[] {
    return [...this.#servers.values()].map(({state}) => state);
  }

  /**
   * @param server a server that is listed
   * @returns its former state, removed from here; undefined if none is kept, or
   *     if the server has restarted since and so has an empty cache
   */
  take({name, incarnation}: BackendServer): ServerState | undefined {
    const state = this.#servers.get(name)?.state;
    this.#servers.delete(name);
    return state?.server.incarnation === incarnation ? state : undefined;
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    for (const [name, {state, since}] of this.#servers) {
      state.expireRemoteRequests(now);
      if (since === undefined) this.#servers.set(name, {state, since: now});
      else if (now - since > RETENTION_MS) this.#servers.delete(name);
    }
  }
}
