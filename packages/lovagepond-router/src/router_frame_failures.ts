/**
 * Converts `Refused` and `Failed` frames to failures.
 */
import {
  answerFor,
  DISPOSITION,
  type ErrorKind,
  type Failure,
  makeFailure,
} from '@lovagepond/core';
import {type FailedBody, type RefusedBody} from './router_frames.js';

/** Refusals by a server that accepts no requests for now. */
const UNAVAILABLE_KINDS: ReadonlySet<ErrorKind> = new Set([
  'draining',
  'notReady',
]);

/**
 * @param body a refusal
 * @returns true when the server would also refuse the next request
 */
export function isUnavailableRefusal(body: RefusedBody): boolean {
  return UNAVAILABLE_KINDS.has(body.errorKind);
}

/**
 * @param body a refusal
 * @returns the corresponding failure, with the sidecar's message if any
 */
export function failureOfRefusal(body: RefusedBody): Failure {
  const {errorKind, retryAfterMs, message} = body;
  const details = message ? {retryAfterMs, message} : {retryAfterMs};
  return makeFailure(errorKind, details);
}

/**
 * Converts a `Failed` frame. The request was dispatched, so an error kind that
 * means "not run" is replaced by `backendFailed`.
 *
 * @param body a failure after dispatch
 * @returns the corresponding failure, never of a kind that means "not run"
 */
export function failureOfFailed(body: FailedBody): Failure {
  const {errorKind, retryAfterMs, message} = body;
  const claimsNotRun = answerFor(errorKind).disposition === DISPOSITION.NOT_RUN;
  const details = message ? {retryAfterMs, message} : {retryAfterMs};
  return makeFailure(claimsNotRun ? 'backendFailed' : errorKind, details);
}
