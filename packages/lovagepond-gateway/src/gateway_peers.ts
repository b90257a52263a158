/**
 * The other gateways, as far as they have been heard of.
 */

interface ReportedCount {
  readonly count: number;
  readonly at: number;
}

/** Remembers when each other gateway was heard of last, and what control counts. */
export class GatewayPeers {
  readonly #lastSeenAt = new Map<string, number>();
  #reportedCount: ReportedCount | undefined;

  /**
   * @param name another gateway
   * @param now present time, monotonic milliseconds
   */
  note(name: string, now: number): void {
    this.#lastSeenAt.set(name, now);
  }

  /**
   * @param count other gateways, as control tells
   * @param now present time, monotonic milliseconds
   */
  noteCount(count: number, now: number): void {
    this.#reportedCount = {count, at: now};
  }

  /**
   * @param since monotonic milliseconds; what was heard before is forgotten
   * @returns the other gateways heard of since then
   */
  count(since: number): number {
    for (const [name, lastSeenAt] of this.#lastSeenAt) {
      if (lastSeenAt < since) this.#lastSeenAt.delete(name);
    }
    const reported =
      this.#reportedCount && this.#reportedCount.at >= since
        ? this.#reportedCount.count
        : 0;
    return Math.max(reported, this.#lastSeenAt.size);
  }
}
