/**
 * Decides what a gateway that is stopping still takes on.
 *
 * Callers go on using the connections they have. A stream that is taken late in
 * the grace period is cut when the process ends, and its caller has lost it,
 * although another gateway would have served it.
 */

/** Weight of a request that took longer than expected, and of a shorter one. */
const LONGER_WEIGHT = 0.5;
const SHORTER_WEIGHT = 0.01;

/**
 * What the expectation is multiplied by: it follows the longest of some hundred
 * requests, and a server may be slower than it was.
 */
const SAFETY_FACTOR = 1.5;

/** Time kept free before the process ends, milliseconds. */
const END_MARGIN_MS = 300;

/** Learns how long requests take, and refuses those that can't end in time. */
export class GatewayDrainAdmission {
  /** Long durations, milliseconds, by the rule that requests run under. */
  readonly #longDurations = new Map<string, number>();
  #endsAt: number | undefined;

  /** True once the process is stopping. */
  get isDraining(): boolean {
    return this.#endsAt !== undefined;
  }

  /** @param endsAt when the process ends at the latest, monotonic ms */
  begin(endsAt: number): void {
    this.#endsAt = endsAt;
  }

  /**
   * @param rule the rule that a request ran under
   * @param durationMs time from its arrival to the end of its answer
   */
  noteDuration(rule: string, durationMs: number): void {
    const long = this.#longDurations.get(rule) ?? 0;
    const weight = durationMs > long ? LONGER_WEIGHT : SHORTER_WEIGHT;
    this.#longDurations.set(rule, long + (durationMs - long) * weight);
  }

  /**
   * @param rule the rule that a request would run under
   * @param limitMs the longest that its caller waits
   * @param now present time, monotonic milliseconds
   * @returns false when its answer would be cut by the end of the process
   */
  admits(rule: string, limitMs: number, now: number): boolean {
    if (this.#endsAt === undefined) return true;
    const long = this.#longDurations.get(rule);
    const expectedMs = long === undefined ? limitMs : long * SAFETY_FACTOR;
    const neededMs = Math.min(limitMs, expectedMs) + END_MARGIN_MS;
    return now + neededMs <= this.#endsAt;
  }
}
