/**
 * Averages of durations and rates that are observed one response at a time.
 */

/** Observations that are averaged with equal weight. */
const FIRST_OBSERVATIONS = 8;

/** Weight of the newest observation after the first ones. */
const NEWEST_WEIGHT = 0.2;

/**
 * Limits an observation to this factor above or below the estimate: a stalled
 * response doesn't show the server's speed. The first estimates may be far off,
 * as they start from a setting or from a single observation.
 */
const MAX_FACTOR = {FIRST: 4, LATER: 2} as const;

/**
 * Time without an observation after which an estimate moves halfway to the mean
 * of its pool, and again after each further interval, milliseconds. A server
 * that once was slow would otherwise never be tried again.
 */
const AGING_INTERVAL_MS = 30_000;

/** An average as of its last observation. */
export interface ObservedAverage {
  readonly value: number;
  /** False if the estimate has begun to move to the mean of its pool. */
  readonly isRecent: boolean;
}

/** One averaged quantity, a positive number. */
export class LoadEstimate {
  #value: number | undefined;
  #count = 0;
  #observedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param now current time, monotonic milliseconds
   * @returns the average; undefined before the first observation
   */
  observed(now: number): ObservedAverage | undefined {
    if (this.#value === undefined) return undefined;
    const isRecent = now - this.#observedAt < AGING_INTERVAL_MS;
    return {value: this.#value, isRecent};
  }

  /**
   * @param observed the observation; ignored unless positive and finite
   * @param reference mean of the pool, or the initial value, if known
   * @param now current time, monotonic milliseconds
   */
  observe(observed: number, reference: number | undefined, now: number): void {
    if (!(observed > 0 && Number.isFinite(observed))) return;
    const current = this.valueAt(reference, now);
    const isFirst = this.#count < FIRST_OBSERVATIONS;
    const factor = isFirst ? MAX_FACTOR.FIRST : MAX_FACTOR.LATER;
    const weight = isFirst ? 1 / (this.#count + 1) : NEWEST_WEIGHT;
    this.#count += 1;
    this.#observedAt = now;
    if (current === undefined) {
      this.#value = observed;
      return;
    }
    const clamped = Math.min(
      current * factor,
      Math.max(current / factor, observed),
    );
    this.#value = current + (clamped - current) * weight;
  }

  /**
   * @param reference mean of the pool, or the initial value, if known
   * @param now current time, monotonic milliseconds
   * @returns the estimate; the reference before the first observation
   */
  valueAt(reference: number | undefined, now: number): number | undefined {
    if (this.#value === undefined) return reference;
    if (reference === undefined) return this.#value;
    const age = now - this.#observedAt;
    if (age < AGING_INTERVAL_MS) return this.#value;
    const kept = 0.5 ** Math.floor(age / AGING_INTERVAL_MS);
    return reference + (this.#value - reference) * kept;
  }
}
