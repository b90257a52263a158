/**
 * Admission control of a draining gateway.
 *
 * Callers keep using their open connections. A stream that is admitted late in
 * the grace period is cut off when the process exits and is lost to its caller,
 * although another gateway would have served it.
 */

import {type AdmittedRequest} from './gateway_exchange_types.js';

/** Weight of a new duration that is longer or shorter than the estimate. */
const LONGER_WEIGHT = 0.5;
const SHORTER_WEIGHT = 0.01;

/**
 * Multiplies the estimate. It follows the longest of some hundred requests, but
 * a server may have become slower since.
 */
const SAFETY_FACTOR = 1.5;

/** Time between the expected end and the process's exit, milliseconds. */
const END_MARGIN_MS = 300;

/** Rejects requests that can't finish before the process exits. */
export class GatewayDrainAdmission {
  /** Estimated long duration by rule name, milliseconds. */
  readonly #longDurations = new Map<string, number>();
  #endsAt: number | undefined;

  /** True once draining has begun. */
  get isDraining(): boolean {
    return this.#endsAt !== undefined;
  }

  /** @param endsAt when the process exits at the latest, monotonic ms */
  begin(endsAt: number): void {
    this.#endsAt = endsAt;
  }

  /**
   * @param rule name of the rule that matched the request
   * @param durationMs time from the request's arrival to its end, milliseconds
   */
  noteDuration(rule: string, durationMs: number): void {
    const long = this.#longDurations.get(rule) ?? 0;
    const weight = durationMs > long ? LONGER_WEIGHT : SHORTER_WEIGHT;
    this.#longDurations.set(rule, long + (durationMs - long) * weight);
  }

  /**
   * @param req an admitted request
   * @param now current time, monotonic milliseconds
   * @returns false when the process is likely to exit before the response ends
   */
  admits(
    {rule, deadlineAt}: Pick<AdmittedRequest, 'rule' | 'deadlineAt'>,
    now: number,
  ): boolean {
    if (this.#endsAt === undefined) return true;
    const limitMs = deadlineAt - now;
    const long = this.#longDurations.get(rule.name);
    const expectedMs = long === undefined ? limitMs : long * SAFETY_FACTOR;
    const neededMs = Math.min(limitMs, expectedMs) + END_MARGIN_MS;
    return now + neededMs <= this.#endsAt;
  }
}
