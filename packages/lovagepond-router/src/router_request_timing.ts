/**
 * A request's time limits: its deadline and the silence of its connection.
 */
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
  /** The deadline is near and the attempt isn't dispatched: revoke it. */
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

/** Checks one request's deadline and its attempts' connections. */
export class RequestTiming {
  readonly #deadline: number;
  readonly #limits: RequestLimits;
  #nearDeadline = false;

  constructor(facts: RequestFacts, limits: RequestLimits) {
    this.#deadline = facts.deadline;
    this.#limits = limits;
  }

  /** @returns true once the revocation before the deadline was due */
  get nearDeadline(): boolean {
    return this.#nearDeadline;
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
   * @returns what is due; `revoke` is returned only once
   */
  findDue(state: RequestState, watch: AttemptWatch, now: number): RequestDue {
    if (now >= this.#deadline) return 'deadline';
    const undispatched = UNDISPATCHED.has(state);
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
