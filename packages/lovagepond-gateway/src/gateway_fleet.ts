/**
 * The backend servers that this gateway may forward to, by pool.
 */
import {type Membership, SERVER_STATE} from '@lovagepond/core';
import {ServerState} from './gateway_server_state.js';

/** States of all servers without a sidecar, kept across membership changes. */
export class GatewayFleet {
  readonly #states = new Map<string, ServerState>();
  #byPool = new Map<string, readonly ServerState[]>();

  /** Number of listed servers. */
  get size(): number {
    return this.#states.size;
  }

  /**
   * @param membership the newest list from control
   * @returns names of the servers that are listed
   */
  useMembership(membership: Membership): ReadonlySet<string> {
    const byPool = new Map<string, ServerState[]>();
    const listed = new Set<string>();
    for (const server of membership.servers.values()) {
      if (server.directSlots === undefined) continue;
      listed.add(server.name);
      const state = this.#states.get(server.name) ?? new ServerState(server);
      state.server = server;
      this.#states.set(server.name, state);
      byPool.set(server.pool, [...(byPool.get(server.pool) ?? []), state]);
    }
    for (const name of this.#states.keys()) {
      if (!listed.has(name)) this.#states.delete(name);
    }
    this.#byPool = byPool;
    return listed;
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expireRemoteRequests(now: number): void {
    for (const state of this.#states.values()) state.expireRemoteRequests(now);
  }

  /** @returns all servers of all pools */
  all(): Iterable<ServerState> {
    return this.#states.values();
  }

  /**
   * @param name a server
   * @returns its state while it is listed
   */
  find(name: string): ServerState | undefined {
    return this.#states.get(name);
  }

  /**
   * @param pool a pool's name
   * @returns its servers that accept new requests
   */
  ready(pool: string): readonly ServerState[] {
    return this.listed(pool).filter(
      ({isReplaced, server}) =>
        !isReplaced && server.state === SERVER_STATE.READY,
    );
  }

  /**
   * @param pool a pool's name
   * @returns all its servers, draining ones included
   */
  listed(pool: string): readonly ServerState[] {
    return this.#byPool.get(pool) ?? [];
  }

  /** @returns every server's load by its name, for the state dump */
  describe(now: number): Record<string, number> {
    const states = [...this.#states.values()];
    return Object.fromEntries(
      states.map(state => [state.server.name, Math.round(state.load(now))]),
    );
  }
}
