/**
 * What a request is due for as time passes.
 */
import {type AttemptWatch} from './router_attempt_watch.js';
import {
  REQUEST_STATE,
  type RequestFacts,
  type RequestLimits,
  type RequestState,
} from './router_request_types.js';

/** What time asks for. */
export type RequestDue =
  /** The deadline has passed. */
  | 'deadline'
  /** The deadline is near and the attempt not dispatched: take it back. */
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
 * @param state where the request stands
 * @returns true when its open attempt was handed to the backend server
 */
export function wasDispatched(state: RequestState): boolean {
  return DISPATCHED.has(state);
}

/** Watches one request's deadline and its attempts' silence. */
export class RequestTiming {
  readonly #deadline: number;
  readonly #limits: RequestLimits;
  #nearDeadline = false;

  constructor(facts: RequestFacts, limits: RequestLimits) {
    this.#deadline = facts.deadline;
    this.#limits = limits;
  }

  /** @returns true once `takeBack` was due */
  get nearDeadline(): boolean {
    return this.#nearDeadline;
  }

  /**
   * @param waitMs an expected wait
   * @param now present time, monotonic milliseconds
   * @returns true when it ends by the deadline
   */
  allows(waitMs: number, now: number): boolean {
    return now + waitMs <= this.#deadline;
  }

  /**
   * @param state where the request stands
   * @param watch watches its open attempt
   * @param now present time, monotonic milliseconds
   * @returns what is due; `takeBack` once
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
