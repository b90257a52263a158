/**
 * Admission control of a draining gateway.
 *
 * Callers keep using their open connections. A stream that is admitted late in
 * the grace period is cut off when the process exits and is lost to its caller,
 * although another gateway would have served it.
 */
import {
  DrainBound,
  type ResponseTimes,
  type ResponseWork,
} from '@lovagepond/core';
import {type AdmittedRequest} from './gateway_exchange_types.js';

/** What the duration of a request's response depends on. */
type DrainedRequest = Pick<
  AdmittedRequest,
  'rule' | 'pool' | 'facts' | 'deadlineAt'
>;

function workOf({rule, pool, facts}: DrainedRequest): ResponseWork {
  return {
    pool: pool.name,
    isStream: rule.forwarding.streaming,
    outputTokens: facts.outputTokens,
  };
}

/** Rejects requests that can't finish before the process exits. */
export class GatewayDrainAdmission {
  readonly #bound = new DrainBound();

  /** True once draining has begun. */
  get isDraining(): boolean {
    return this.#bound.isDraining;
  }

  /** @param endsAt when the process exits at the latest, monotonic ms */
  begin(endsAt: number): void {
    this.#bound.begin(endsAt);
  }

  /**
   * @param req a request with a complete successful response
   * @param times how long the response took
   * @param now current time, monotonic milliseconds
   */
  noteAnswered(req: DrainedRequest, times: ResponseTimes, now: number): void {
    this.#bound.noteAnswered(workOf(req), times, now);
  }

  /**
   * @param req an admitted request
   * @param now current time, monotonic milliseconds
   * @returns false when the process is likely to exit before the response ends
   */
  admits(req: DrainedRequest, now: number): boolean {
    return this.#bound.latestRunAt(workOf(req), req.deadlineAt, now) >= now;
  }
}
