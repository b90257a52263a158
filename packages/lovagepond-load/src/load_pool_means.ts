/**
 * Mean estimates of a pool's servers.
 */

/** What one server has observed, at its usual speed. */
export interface ObservedCapacity {
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

const NOTHING_OBSERVED: ObservedCapacity = Object.freeze({
  prefillTokensPerMs: undefined,
  serviceMs: new Map<string, number>(),
  runMs: new Map<string, number>(),
});

/** Means over the servers of one pool that have observations. */
export class PoolMeans {
  readonly #servers: () => Iterable<ObservedCapacity>;
  #means = NOTHING_OBSERVED;
  #computedAt = Number.NEGATIVE_INFINITY;

  /** @param servers lists what each server of the pool has observed */
  constructor(servers: () => Iterable<ObservedCapacity>) {
    this.#servers = servers;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the means, up to a second old
   */
  at(now: number): ObservedCapacity {
    if (now - this.#computedAt < VALID_MS) return this.#means;
    this.#computedAt = now;
    const servers = [...this.#servers()];
    const rates = servers.flatMap(({prefillTokensPerMs: rate}) =>
      rate === undefined ? [] : [rate],
    );
    this.#means = {
      prefillTokensPerMs: meanOf(rates),
      serviceMs: meansByKind(servers.map(({serviceMs}) => serviceMs)),
      runMs: meansByKind(servers.map(({runMs}) => runMs)),
    };
    return this.#means;
  }
}

function meanOf(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function meansByKind(
  servers: readonly ReadonlyMap<string, number>[],
): ReadonlyMap<string, number> {
  const totals = new Map<string, {sum: number; count: number}>();
  for (const server of servers) {
    for (const [kind, value] of server) {
      const {sum, count} = totals.get(kind) ?? {sum: 0, count: 0};
      totals.set(kind, {sum: sum + value, count: count + 1});
    }
  }
  return new Map(
    [...totals].map(([kind, {sum, count}]) => [kind, sum / count]),
  );
}
