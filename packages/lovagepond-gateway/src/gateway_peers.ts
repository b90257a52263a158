/**
 * The other gateways, as far as they have been heard of.
 */

interface ToldCount {
  readonly count: number;
  readonly at: number;
}

/** Remembers when each other gateway was heard of last, and what control counts. */
export class GatewayPeers {
  readonly #heardAt = new Map<string, number>();
  #told: ToldCount | undefined;

  /**
   * @param name another gateway
   * @param now present time, monotonic milliseconds
   */
  note(name: string, now: number): void {
    this.#heardAt.set(name, now);
  }

  /**
   * @param count other gateways, as control tells
   * @param now present time, monotonic milliseconds
   */
  noteCount(count: number, now: number): void {
    this.#told = {count, at: now};
  }

  /**
   * @param since monotonic milliseconds; what was heard before is forgotten
   * @returns the other gateways heard of since then
   */
  count(since: number): number {
    for (const [name, heardAt] of this.#heardAt) {
      if (heardAt < since) this.#heardAt.delete(name);
    }
    const told = this.#told && this.#told.at >= since ? this.#told.count : 0;
    return Math.max(told, this.#heardAt.size);
  }
}
