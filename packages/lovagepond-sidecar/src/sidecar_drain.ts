/**
 * Draining: running requests finish, new ones are refused, and held ones are
 * served only if they end within the limit.
 */

/** Draining state of the sidecar and the end of its limit. */
export class SidecarDrain {
  #endsAt: number | undefined;

  /** @returns true while draining */
  get draining(): boolean {
    return this.#endsAt !== undefined;
  }

  /**
   * @param now current time
   * @param limitMs longest time for requests in flight, milliseconds
   */
  start(now: number, limitMs: number): void {
    const endsAt = now + limitMs;
    this.#endsAt = Math.min(this.#endsAt ?? endsAt, endsAt);
  }

  /** Cancels draining. */
  resume(): void {
    this.#endsAt = undefined;
  }

  /**
   * @param expectedMs expected wait and run time of a held request,
   *     milliseconds
   * @param now current time
   * @returns true when the request ends within the limit
   */
  mayServe(expectedMs: number, now: number): boolean {
    return this.#endsAt === undefined || now + expectedMs <= this.#endsAt;
  }
}
