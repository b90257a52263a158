/**
 * What all routers together may retry in a pool, and the times that the issuer
 * and the users of retries agree on.
 */

/** Retries that a pool's servers may get, whoever sends them. */
export interface RetryAllowance {
  /** Retries as a fraction of the callers' requests. */
  readonly fraction: number;
  /** Length of the windows that the allowance is for, milliseconds. */
  readonly windowMs: number;
  /** Retries of a window beyond the fraction. */
  readonly slack: number;
}

/** Time from a question for retries until its answer is ignored, milliseconds. */
export const RETRY_ANSWER_MS = 300;

/**
 * Time from the question after which a granted retry isn't sent any more,
 * milliseconds: the waits for a permit and for a connection.
 */
export const RETRY_VALID_MS = 500;

/**
 * Time for which a router that is short of processor time may be interrupted
 * between its last check and the send, and for which the request is under way,
 * milliseconds.
 */
const SEND_DELAY_MS = 100;

/** Longest time from the grant of a retry until it reaches a server, ms. */
export const RETRY_ARRIVAL_MS = RETRY_VALID_MS + SEND_DELAY_MS;

/** Length of the spans of time in which requests are counted, milliseconds. */
export const REQUEST_SPAN_MS = 250;
