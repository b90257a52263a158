/**
 * The failures that frames stand for.
 */
import {
  answerFor,
  DISPOSITION,
  type ErrorKind,
  type Failure,
  makeFailure,
} from '@lovagepond/core';
import {type FailedBody, type RefusedBody} from './router_frames.js';

/** Refusals of a server that takes nothing for now. */
const UNAVAILABLE_KINDS: ReadonlySet<ErrorKind> = new Set([
  'draining',
  'notReady',
]);

/**
 * @param body a refusal
 * @returns true when the server would refuse the next request as well
 */
export function isUnavailableRefusal(body: RefusedBody): boolean {
  return UNAVAILABLE_KINDS.has(body.errorKind);
}

/**
 * @param body a refusal
 * @returns its failure, with the sidecar's message when there is one
 */
export function failureOfRefusal(body: RefusedBody): Failure {
  const {errorKind, retryAfterMs, message} = body;
  const details = message ? {retryAfterMs, message} : {retryAfterMs};
  return makeFailure(errorKind, details);
}

/**
 * `Failed` comes from what was dispatched: a kind that would tell the caller
 * "not run" is not believed.
 *
 * @param body a failure after dispatch
 * @returns its failure, never of a kind that says "not run"
 */
export function failureOfFailed(body: FailedBody): Failure {
  const {errorKind, retryAfterMs, message} = body;
  const claimsNotRun = answerFor(errorKind).disposition === DISPOSITION.NOT_RUN;
  const details = message ? {retryAfterMs, message} : {retryAfterMs};
  return makeFailure(claimsNotRun ? 'backendFailed' : errorKind, details);
}
