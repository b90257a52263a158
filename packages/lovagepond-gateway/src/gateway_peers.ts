/**
 * Estimates the number of other gateways.
 */

interface ReportedCount {
  readonly count: number;
  readonly at: number;
}

/** Tracks when other gateways were last seen, and how many control reports. */
export class GatewayPeers {
  readonly #lastSeenAt = new Map<string, number>();
  #reportedCount: ReportedCount | undefined;

  /**
   * @param name another gateway whose report has arrived
   * @param now current time, monotonic milliseconds
   */
  note(name: string, now: number): void {
    this.#lastSeenAt.set(name, now);
  }

  /**
   * @param count number of other gateways, as reported by control
   * @param now current time, monotonic milliseconds
   */
  noteCount(count: number, now: number): void {
    this.#reportedCount = {count, at: now};
  }

  /**
   * @param since monotonic milliseconds; gateways last seen before are dropped
   * @returns the number of other gateways seen or reported since then
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
