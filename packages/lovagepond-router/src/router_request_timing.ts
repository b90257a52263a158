/**
 * A request's time limits: its deadline, the exit of its router, and the silence
 * of its connection.
 */
import {type Failure, makeFailure} from '@lovagepond/core';
import {type AttemptWatch} from './router_attempt_watch.js';
import {
  REQUEST_STATE,
  type RequestFacts,
  type RequestLimits,
  type RequestState,
} from './router_request_types.js';

/** The time limit that has been reached. */
export type RequestDue =
  /** The deadline has passed. */
  | 'deadline'
  /** The answer can't end in time, and the attempt was not sent. */
  | 'late'
  /** The answer can't end in time, and the attempt isn't dispatched. */
  | 'revoke'
  /** The attempt's connection has been silent for too long. */
  | 'silent'
  | 'nothing';

const UNDISPATCHED: ReadonlySet<RequestState> = new Set([
  REQUEST_STATE.OFFERED,
  REQUEST_STATE.ADMITTED,
]);

const DISPATCHED: ReadonlySet<RequestState> = new Set([
  REQUEST_STATE.DISPATCHED,
  REQUEST_STATE.ANSWERING,
]);

/**
 * @param state the request's state
 * @returns true when its open attempt was dispatched to the backend server
 */
export function wasDispatched(state: RequestState): boolean {
  return DISPATCHED.has(state);
}

/** @returns the failure of a request that this router can't see to its end */
export function makeDrainingFailure(): Failure {
  const message = 'The router exits before the answer could end.';
  return makeFailure('draining', {message});
}

/** Checks one request's deadline and its attempts' connections. */
export class RequestTiming {
  readonly #deadline: number;
  readonly #limits: RequestLimits;
  #latestRunAt = Infinity;
  #nearDeadline = false;

  constructor(facts: RequestFacts, limits: RequestLimits) {
    this.#deadline = facts.deadline;
    this.#limits = limits;
  }

  /**
   * @param at the latest time at which the request may be dispatched, as the
   *     process exits; monotonic milliseconds
   */
  limitRun(at: number): void {
    this.#latestRunAt = at;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns why no other server may run the request; undefined if one may
   */
  findLate(now: number): Failure | undefined {
    if (now > this.#latestRunAt) return makeDrainingFailure();
    return this.#nearDeadline ? makeFailure('deadlineUnreachable') : undefined;
  }

  /**
   * @param waitMs an expected wait, in milliseconds
   * @param now current time, monotonic milliseconds
   * @returns true when the wait ends by the deadline
   */
  allows(waitMs: number, now: number): boolean {
    return now + waitMs <= this.#deadline;
  }

  /**
   * @param state the request's state
   * @param watch the watch of its open attempt
   * @param now current time, monotonic milliseconds
   * @returns what is due; `revoke` is returned only once for the deadline
   */
  findDue(state: RequestState, watch: AttemptWatch, now: number): RequestDue {
    if (now >= this.#deadline) return 'deadline';
    const undispatched = UNDISPATCHED.has(state);
    if (now > this.#latestRunAt) {
      if (state === REQUEST_STATE.PLACED) return 'late';
      if (undispatched) return 'revoke';
    }
    const near = now >= this.#deadline - this.#limits.revokeLeadMs;
    if (undispatched && near && !this.#nearDeadline) {
      this.#nearDeadline = true;
      return 'revoke';
    }
    if (!undispatched && !wasDispatched(state)) return 'nothing';
    const answered = state !== REQUEST_STATE.OFFERED;
    return watch.isSilent(now, answered) ? 'silent' : 'nothing';
  }
}
