/**
 * Mean load of each pool over its ready backend servers, kept up to date in
 * constant time for each report.
 */

/** Mean outstanding tokens of a pool. */
export interface PoolMean {
  readonly meanTokens: number;
  /** Mean of the tokens at the engines alone, without the queues. */
  readonly meanRunningTokens: number;
  /** Mean age of the reports it is made of, milliseconds. */
  readonly ageMs: number;
  readonly readyServers: number;
}

/** One ready server's part in its pool's mean. */
export interface PoolShare {
  readonly pool: string;
  /** Outstanding tokens, a whole number so that sums stay exact. */
  readonly tokens: number;
  /** Those of them that are at the engine, a whole number. */
  readonly runningTokens: number;
  /** Monotonic milliseconds of the report, a whole number. */
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

/** Sums over the ready servers of each pool. */
export class PoolMeans {
  readonly #sums = new Map<string, PoolSums>();

  /** @param share what a ready server reported */
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

  /** @param share what was added before */
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
   * @returns its mean; all zero without ready servers
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
