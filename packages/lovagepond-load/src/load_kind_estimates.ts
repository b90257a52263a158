/**
 * Estimates by request kind, for a bounded number of kinds.
 */
import {LoadEstimate, type ObservedAverage} from './load_estimate.js';

/** Kinds kept; a deployment has fewer than ten. */
const MAX_KINDS = 64;

/** One estimate for each of the most recently observed kinds. */
export class KindEstimates {
  /** The least recently observed kind is first. */
  readonly #byKind = new Map<string, LoadEstimate>();

  /**
   * @param kind name of the request kind
   * @param observed the observation
   * @param reference mean of the pool, if known
   * @param now current time, monotonic milliseconds
   */
  observe(
    kind: string,
    observed: number,
    reference: number | undefined,
    now: number,
  ): void {
    const estimate = this.#byKind.get(kind) ?? new LoadEstimate();
    estimate.observe(observed, reference, now);
    this.#byKind.delete(kind);
    if (!estimate.observed(now)) return;
    this.#byKind.set(kind, estimate);
    for (const oldest of this.#byKind.keys()) {
      if (this.#byKind.size <= MAX_KINDS) return;
      this.#byKind.delete(oldest);
    }
  }

  /**
   * @param kind name of the request kind
   * @param reference mean of the pool, if known
   * @param now current time, monotonic milliseconds
   * @returns the estimate; the reference if the kind was not observed
   */
  valueAt(
    kind: string,
    reference: number | undefined,
    now: number,
  ): number | undefined {
    const estimate = this.#byKind.get(kind);
    return estimate ? estimate.valueAt(reference, now) : reference;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the average of each kind
   */
  observed(now: number): ReadonlyMap<string, ObservedAverage> {
    const averages = new Map<string, ObservedAverage>();
    for (const [kind, estimate] of this.#byKind) {
      const average = estimate.observed(now);
      if (average) averages.set(kind, average);
    }
    return averages;
  }
}
