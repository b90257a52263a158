/**
 * The other gateways, as far as they have been heard of.
 */

/** Remembers when each other gateway was heard of last. */
export class GatewayPeers {
  readonly #heardAt = new Map<string, number>();

  /**
   * @param name another gateway
   * @param now present time, monotonic milliseconds
   */
  note(name: string, now: number): void {
    this.#heardAt.set(name, now);
  }

  /**
   * @param since monotonic milliseconds; what was heard before is forgotten
   * @returns the other gateways heard of since then
   */
  count(since: number): number {
    for (const [name, heardAt] of this.#heardAt) {
      if (heardAt < since) this.#heardAt.delete(name);
    }
    return this.#heardAt.size;
  }
}
