/**
 * A planned leave: what runs finishes, nothing new comes in, and what waits is
 * served only when it fits within the limit.
 */

/** Whether the sidecar is leaving, and until when it serves. */
export class SidecarDrain {
  #endsAt: number | undefined;

  /** @returns true from the start of the leave */
  get draining(): boolean {
    return this.#endsAt !== undefined;
  }

  /**
   * @param now present time
   * @param limitMs longest time for requests in flight, milliseconds
   */
  start(now: number, limitMs: number): void {
    const endsAt = now + limitMs;
    this.#endsAt = Math.min(this.#endsAt ?? endsAt, endsAt);
  }

  /** The operators took the leave back. */
  resume(): void {
    this.#endsAt = undefined;
  }

  /**
   * @param expectedMs wait and service still ahead of a waiting request
   * @param now present time
   * @returns true when it ends within the limit
   */
  mayServe(expectedMs: number, now: number): boolean {
    return this.#endsAt === undefined || now + expectedMs <= this.#endsAt;
  }
}
