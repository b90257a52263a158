/**
 * The retries that routers were granted lately, in the replicated log: a new
 * leader, and a group that starts again, know what their predecessors granted.
 */

/** Retries granted at one time. */
export interface RetryGrantPayload {
  /** Number of retries by pool. */
  readonly pools: readonly (readonly [pool: string, count: number])[];
  /** Time for which the grant is kept, milliseconds. */
  readonly keepMs: number;
}

interface LoggedGrant {
  readonly pools: RetryGrantPayload['pools'];
  /** Replicated time, milliseconds. */
  readonly timeMs: number;
}

/** Content of a snapshot. */
export type RetryGrantSnapshot = readonly LoggedGrant[];

/** Retries of one pool. */
export interface RetryGrant {
  /** When this member learned of the grant, monotonic milliseconds. */
  readonly at: number;
  readonly count: number;
}

export class RetryGrants {
  #grants: (LoggedGrant & {readonly at: number})[] = [];

  /**
   * @param payload the grant
   * @param timeMs replicated time, which is never ahead of the time that has
   *     passed
   * @param now current time of this member, monotonic milliseconds
   */
  record(
    {pools, keepMs}: RetryGrantPayload,
    timeMs: number,
    now: number,
  ): void {
    this.#grants.push({pools, timeMs, at: now});
    const expired = this.#grants.findIndex(
      one => timeMs - one.timeMs <= keepMs,
    );
    this.#grants.splice(0, expired);
  }

  /**
   * @param pool a pool
   * @returns its grants that are kept, the oldest first
   */
  list(pool: string): RetryGrant[] {
    return this.#grants.flatMap(({pools, at}) =>
      pools.flatMap(([name, count]) => (name === pool ? [{at, count}] : [])),
    );
  }

  snapshot(): RetryGrantSnapshot {
    return this.#grants.map(({pools, timeMs}) => ({pools, timeMs}));
  }

  /**
   * @param snapshot absent in snapshots of earlier releases
   * @param now current time of this member, monotonic milliseconds: how long ago
   *     the grants were made is unknown
   */
  restore(snapshot: RetryGrantSnapshot | undefined, now: number): void {
    this.#grants = (snapshot ?? []).map(grant => ({...grant, at: now}));
  }
}
