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
const SMOOTHING_MS = 300;

/**
 * Time without a report through control after which the other gateways' requests
 * are taken to be as many as before, milliseconds. Otherwise a gateway that hears
 * nothing would take the pool for idle, and refuse most of its requests.
 */
const REPORTS_LOST_MS = 1_500;

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

interface PoolHistory {
  smoothed: number;
  at: number;
  /** Requests of the other gateways when control last reported some. */
  reported: number;
}

/** Follows the requests of all pools. */
export class LoadLimits {
  readonly #pools = new Map<string, PoolHistory>();

  /**
   * Follows the requests of a pool. Must be called several times a second, as a
   * gateway may seldom have requests of its own.
   *
   * @param listed all servers of the pool
   * @param pool the pool's name
   * @param now current time, monotonic milliseconds
   */
  sample(listed: readonly ServerState[], pool: string, now: number): void {
    const history = this.#historyOf(pool, now);
    smooth(history, knownOf(listed, history, now), now);
  }

  /**
   * The mean is that of the whole pool: servers that drain, pause or warm up count
   * with what they have. Only those that failed lately or have exited don't, as
   * the others have to take over their requests.
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
    const healthy = listed.filter(
      state => !state.isAvoided(now) && !state.warmUpNews.hasExited(now),
    );
    const servers = healthy.length > 0 ? healthy.length : listed.length;
    const history = this.#historyOf(name, now);
    const known = knownOf(listed, history, now);
    const total = Math.min(known, smooth(history, known, now));
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

  #historyOf(pool: string, now: number): PoolHistory {
    const known = this.#pools.get(pool);
    if (known) return known;
    const created = {smoothed: NaN, at: now, reported: 0};
    this.#pools.set(pool, created);
    return created;
  }
}

/** @returns the requests of all gateways at all servers of the pool */
function knownOf(
  listed: readonly ServerState[],
  history: PoolHistory,
  now: number,
): number {
  const own = listed.reduce((sum, {inFlight}) => sum + inFlight, 0);
  const reported = listed.reduce((sum, one) => sum + one.reportedRequests, 0);
  const reportedAt = Math.max(...listed.map(one => one.requestsReportedAt));
  if (now - reportedAt <= REPORTS_LOST_MS) history.reported = reported;
  return own + Math.max(reported, history.reported);
}

/** @returns the exponentially smoothed number of requests */
function smooth(history: PoolHistory, total: number, now: number): number {
  const weight = 1 - Math.exp((history.at - now) / SMOOTHING_MS);
  history.smoothed = Number.isNaN(history.smoothed)
    ? total
    : history.smoothed + weight * (total - history.smoothed);
  history.at = now;
  return history.smoothed;
}
