/**
 * Mean estimates of a pool's servers.
 */

import {type ObservedAverage} from './load_estimate.js';

/** What one server has observed, at its usual speed. */
export interface ObservedCapacity {
  /** Tokens per millisecond; undefined before the first observation. */
  readonly prefillRate: ObservedAverage | undefined;
  /** Milliseconds, by request kind. */
  readonly serviceMs: ReadonlyMap<string, ObservedAverage>;
  /** Milliseconds, by request kind. */
  readonly runMs: ReadonlyMap<string, ObservedAverage>;
}

/** Mean estimates of a pool, at the servers' usual speed. */
export interface MeanCapacity {
  /** Undefined before the first observation. */
  readonly prefillTokensPerMs: number | undefined;
  /** Milliseconds, by request kind. */
  readonly serviceMs: ReadonlyMap<string, number>;
  /** Milliseconds, by request kind. */
  readonly runMs: ReadonlyMap<string, number>;
}

/**
 * Time for which the means are kept, milliseconds: they only serve for servers
 * without recent observations, and a pool may have hundreds of servers.
 */
const VALID_MS = 1_000;

const NOTHING_OBSERVED: MeanCapacity = Object.freeze({
  prefillTokensPerMs: undefined,
  serviceMs: new Map<string, number>(),
  runMs: new Map<string, number>(),
});

/** Means over the servers of one pool that have observations. */
export class PoolMeans {
  readonly #servers: (now: number) => Iterable<ObservedCapacity>;
  #means = NOTHING_OBSERVED;
  #computedAt = Number.NEGATIVE_INFINITY;

  /** @param servers lists what each server of the pool has observed */
  constructor(servers: (now: number) => Iterable<ObservedCapacity>) {
    this.#servers = servers;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the means, up to a second old
   */
  at(now: number): MeanCapacity {
    if (now - this.#computedAt < VALID_MS) return this.#means;
    this.#computedAt = now;
    const servers = [...this.#servers(now)];
    const rates = servers.flatMap(({prefillRate}) => prefillRate ?? []);
    this.#means = {
      prefillTokensPerMs: meanOf(rates),
      serviceMs: meansByKind(servers.map(({serviceMs}) => serviceMs)),
      runMs: meansByKind(servers.map(({runMs}) => runMs)),
    };
    return this.#means;
  }
}

/**
 * Averages without a recent observation count only if there are no others. The
 * old average of a server that was slow would otherwise keep up the mean that
 * it is meant to move to.
 */
function meanOf(averages: readonly ObservedAverage[]): number | undefined {
  const recent = averages.filter(({isRecent}) => isRecent);
  const counted = recent.length > 0 ? recent : averages;
  if (counted.length === 0) return undefined;
  return counted.reduce((sum, {value}) => sum + value, 0) / counted.length;
}

function meansByKind(
  servers: readonly ReadonlyMap<string, ObservedAverage>[],
): ReadonlyMap<string, number> {
  const byKind = new Map<string, ObservedAverage[]>();
  for (const server of servers) {
    for (const [kind, average] of server) {
      const averages = byKind.get(kind) ?? [];
      averages.push(average);
      byKind.set(kind, averages);
    }
  }
  const means = new Map<string, number>();
  for (const [kind, averages] of byKind) {
    const mean = meanOf(averages);
    if (mean !== undefined) means.set(kind, mean);
  }
  return means;
}
