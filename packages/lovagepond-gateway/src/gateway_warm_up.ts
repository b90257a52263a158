/**
 * Limits the requests to backend servers that are warming up.
 *
 * Control names the gateways that may send to such a server. Each of them has
 * an equal part of the server's limit on requests per second, so that the sum
 * stays within the limit even if the gateways can't reach each other.
 */
import {type Pool} from '@lovagepond/core';
import {type ServerState} from './gateway_server_state.js';

/**
 * Time in which a gateway sends at most its part, milliseconds. It is longer
 * than the second of the limit, as a busy gateway sends a request some time
 * after it chose the server.
 */
const WINDOW_MS = 1_500;

/** The requests of one gateway to servers that are warming up. */
export class GatewayWarmUp {
  readonly #gateway: string;
  readonly #startedAt: number;
  /** Times of the requests within the window, by server. */
  readonly #sentAt = new Map<string, number[]>();

  /**
   * @param gateway this gateway's name
   * @param startedAt start of this process, monotonic milliseconds: requests
   *     that an earlier process of this name sent are unknown
   */
  constructor(gateway: string, startedAt: number) {
    this.#gateway = gateway;
    this.#startedAt = startedAt;
  }

  /**
   * @param state a server
   * @param pool the server's pool
   * @param now current time, monotonic milliseconds
   * @returns true when the server may get another request of this gateway
   */
  admits({server}: ServerState, pool: Pool, now: number): boolean {
    const {warmUp, name} = server;
    if (!warmUp) return true;
    const {routers} = warmUp;
    if (!routers.includes(this.#gateway)) return false;
    const limit = pool.warmUp?.maxRequestsPerSecond ?? 0;
    const ownLimit = Math.floor(limit / routers.length);
    const since = now - WINDOW_MS;
    if (since < this.#startedAt) return false;
    return this.#recent(name, since).length < ownLimit;
  }

  /**
   * Records a request to a server.
   *
   * @param state the server
   * @param now current time, monotonic milliseconds
   */
  noteSent({server}: ServerState, now: number): void {
    if (!server.warmUp) {
      this.#sentAt.delete(server.name);
      return;
    }
    const recent = this.#recent(server.name, now - WINDOW_MS);
    this.#sentAt.set(server.name, [...recent, now]);
  }

  /** @param listed names of the servers that control lists */
  keepOnly(listed: ReadonlySet<string>): void {
    for (const name of this.#sentAt.keys()) {
      if (!listed.has(name)) this.#sentAt.delete(name);
    }
  }

  #recent(name: string, since: number): readonly number[] {
    return (this.#sentAt.get(name) ?? []).filter(at => at >= since);
  }
}
