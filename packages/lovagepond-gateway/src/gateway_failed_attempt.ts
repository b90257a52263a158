/**
 * Records what a failed attempt says about its server.
 */
import {type RequestSubjects} from '@lovagepond/core';
import {type AttemptFailure, STATUS_MISDIRECTED} from './gateway_attempt.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {type GatewayQuarantine} from './gateway_quarantine.js';
import {type ServerState} from './gateway_server_state.js';

/** The request of the attempt, and the record of crashes. */
interface FailedRequest {
  readonly quarantine: GatewayQuarantine;
  readonly subjects: RequestSubjects;
}

/**
 * A refused connection shows that the server's process has exited, one that was
 * lost with a request under way that it may have. Must be noted before the attempt's permit is given back, which tells the other gateways.
 *
 * @param state the server
 * @param failure why the attempt failed
 * @param now current time, monotonic milliseconds
 */
export function noteExit(
  state: ServerState,
  failure: AttemptFailure,
  now: number,
): void {
  const hasExited = failure.kind === 'unsent' && failure.isRefused;
  if (hasExited) state.warmUpNews.noteExited(now);
  const isLost = failure.kind === 'broken' && failure.isLost;
  if (isLost) state.warmUpNews.noteLost(now);
}

/**
 * @param state the server
 * @param failure why the attempt failed
 * @param req the request
 * @param now current time, monotonic milliseconds
 */
export function noteFailedAttempt(
  state: ServerState,
  failure: AttemptFailure,
  {quarantine, subjects}: FailedRequest,
  now: number,
): void {
  const {kind} = failure;
  if (kind === 'withheld') return;
  // The request named this instance, so another one has taken its address.
  if (kind === 'notRun' && failure.status === STATUS_MISDIRECTED) {
    state.markReplaced();
  } else {
    state.noteAttemptFailure(now);
  }
  quarantine.noteFailure(state, subjects, failure, now);
}

const FIRST_REDIRECT_STATUS = 300;

/** @returns whether a complete response with this status is a success */
export function isServed(status: number): boolean {
  return status < FIRST_REDIRECT_STATUS;
}

/**
 * Clears the request of suspicion. An error response proves nothing: a failing
 * server sends it without running the request. A server that rejects a request
 * has not begun to answer its prompt.
 *
 * @param req the request that a server has answered completely
 * @param status the response's status
 * @param quarantine clears the request, and its prompt's parts
 * @param now current time, monotonic milliseconds
 */
export function noteAnswered(
  {subjects, fingerprint}: Pick<AdmittedRequest, 'subjects' | 'fingerprint'>,
  status: number,
  quarantine: GatewayQuarantine,
  now: number,
): void {
  quarantine.noteAnswered(isServed(status) ? subjects : [fingerprint], now);
}
