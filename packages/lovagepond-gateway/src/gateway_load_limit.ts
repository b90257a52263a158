/**
 * The limit on the requests of all gateways at one server of a pool: at most
 * `loadBound` times the pool's mean, and a few.
 */
import {type Pool} from '@lovagepond/core';
import {type ServerState} from './gateway_server_state.js';

/**
 * Requests that a server may have beyond the multiple of the mean: with few
 * requests per server, one more is not an imbalance.
 */
const SLACK = 3;

/**
 * Standard deviations by which the present requests of the pool may be fewer than
 * the known ones, which are some hundred milliseconds old: as long as many
 * requests last.
 */
const DEVIATIONS = 2;

/**
 * Time constant of the smoothed number of requests, milliseconds. The number of
 * requests that last for a few milliseconds says nothing about the present one.
 */
const SMOOTHING_MS = 1_000;

/** The requests of a pool, as known here. */
export interface PoolLoad {
  /** Servers of which the mean is taken. */
  readonly servers: number;
  /**
   * A server's own requests are part of the mean, so the limit follows from those
   * at the other servers. It is infinite if they can't exceed the multiple.
   *
   * @param state a server of the pool
   * @returns the requests that it may have
   */
  limitOf(state: ServerState): number;
}

interface SmoothedTotal {
  value: number;
  at: number;
}

/** Follows the requests of all pools. */
export class LoadLimits {
  readonly #smoothed = new Map<string, SmoothedTotal>();

  /**
   * The mean is that of the whole pool: servers that drain, pause or warm up count
   * with what they have. Only those that failed lately don't, as the others have
   * to take over their requests.
   *
   * @param listed all servers of the pool
   * @param pool the pool
   * @param now current time, monotonic milliseconds
   * @returns the limits of its servers
   */
  of(
    listed: readonly ServerState[],
    {name, loadBound}: Pick<Pool, 'name' | 'loadBound'>,
    now: number,
  ): PoolLoad {
    const healthy = listed.filter(state => !state.isAvoided(now));
    const servers = healthy.length > 0 ? healthy.length : listed.length;
    const known = listed.reduce((sum, {requests}) => sum + requests, 0);
    const total = Math.min(known, this.#smooth(name, known, now));
    const boundPart = loadBound / Math.max(1, servers);
    return {
      servers,
      limitOf: ({requests}) => {
        if (boundPart >= 1) return Infinity;
        const others = Math.max(0, total - requests);
        const least = Math.max(0, others - DEVIATIONS * Math.sqrt(others));
        return (boundPart * least + SLACK) / (1 - boundPart);
      },
    };
  }

  #smooth(pool: string, total: number, now: number): number {
    const smoothed = this.#smoothed.get(pool) ?? {value: total, at: now};
    this.#smoothed.set(pool, smoothed);
    const weight = 1 - Math.exp((smoothed.at - now) / SMOOTHING_MS);
    smoothed.value += weight * (total - smoothed.value);
    smoothed.at = now;
    return smoothed.value;
  }
}
