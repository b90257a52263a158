/**
 * Mean load of each pool's ready backend servers, updated in constant time for
 * each report.
 */

/** Mean outstanding tokens of a pool. */
export interface PoolMean {
  readonly meanTokens: number;
  /** Mean tokens at the engines, without queued ones. */
  readonly meanRunningTokens: number;
  /** Mean age of the servers' reports, milliseconds. */
  readonly ageMs: number;
  readonly readyServers: number;
}

/** A ready server's load, as counted in its pool's mean. */
export interface PoolShare {
  readonly pool: string;
  /** Outstanding tokens; a whole number, so that sums stay exact. */
  readonly tokens: number;
  /** Those of the outstanding tokens that are at the engine; a whole number. */
  readonly runningTokens: number;
  /** Time of the report, monotonic milliseconds; a whole number. */
  readonly reportedAt: number;
}

interface PoolSums {
  servers: number;
  tokens: number;
  runningTokens: number;
  reportedAt: number;
}

const NO_SERVERS: PoolMean = {
  meanTokens: 0,
  meanRunningTokens: 0,
  ageMs: 0,
  readyServers: 0,
};

/** Maintains sums over the ready servers of each pool. */
export class PoolMeans {
  readonly #sums = new Map<string, PoolSums>();

  /** @param share a ready server's load */
  add(share: PoolShare): void {
    const sums = this.#sums.get(share.pool);
    if (sums) {
      sums.servers += 1;
      sums.tokens += share.tokens;
      sums.runningTokens += share.runningTokens;
      sums.reportedAt += share.reportedAt;
      return;
    }
    const {tokens, runningTokens, reportedAt} = share;
    const first = {servers: 1, tokens, runningTokens, reportedAt};
    this.#sums.set(share.pool, first);
  }

  /** @param share a load that was added before, with the same values */
  subtract(share: PoolShare): void {
    const sums = this.#sums.get(share.pool);
    if (!sums) return;
    sums.servers -= 1;
    sums.tokens -= share.tokens;
    sums.runningTokens -= share.runningTokens;
    sums.reportedAt -= share.reportedAt;
    if (sums.servers === 0) this.#sums.delete(share.pool);
  }

  /**
   * @param pool a pool's name
   * @param now monotonic milliseconds
   * @returns the pool's mean; all zero without ready servers
   */
  read(pool: string, now: number): PoolMean {
    const sums = this.#sums.get(pool);
    if (!sums) return NO_SERVERS;
    return {
      meanTokens: sums.tokens / sums.servers,
      meanRunningTokens: sums.runningTokens / sums.servers,
      ageMs: Math.max(0, now - sums.reportedAt / sums.servers),
      readyServers: sums.servers,
    };
  }
}
