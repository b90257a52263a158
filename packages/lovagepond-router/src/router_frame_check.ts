/**
 * Decides whether a frame is accepted.
 */
import {type Frame, type FrameBody} from './router_frames.js';
import {
  type Attempt,
  type DropReason,
  REQUEST_STATE,
  type RequestState,
} from './router_request_types.js';

/** What to do with a frame. */
export type FrameVerdict =
  | {readonly kind: 'accept'}
  | {readonly kind: 'drop'; readonly reason: DropReason}
  /** The sidecar refuses an attempt sent to its previous incarnation. */
  | {readonly kind: 'restarted'};

const ACCEPT: FrameVerdict = Object.freeze({kind: 'accept'});

function drop(reason: DropReason): FrameVerdict {
  return {kind: 'drop', reason};
}

/**
 * A refusal can cross with the dispatch and then concerns the queued request
 * only. If it were accepted, the router or the caller would repeat a request
 * that is running. After `Started` only the refusal `unreachable` is valid (the
 * backend server never received the request), and only until bytes of the
 * answer have arrived.
 */
function contradictsStart(body: FrameBody, state: RequestState): boolean {
  if (body.kind !== 'refused') return false;
  if (state === REQUEST_STATE.ANSWERING) return true;
  if (state !== REQUEST_STATE.DISPATCHED) return false;
  return body.errorKind !== 'unreachable';
}

function checkIncarnation({body}: Frame): FrameVerdict {
  const refusal = body.kind === 'refused' ? body.errorKind : undefined;
  if (refusal === 'wrongIncarnation') return {kind: 'restarted'};
  return drop('otherIncarnation');
}

/**
 * @param frame a frame from any stream of the request
 * @param attempt the request's open attempt, if any
 * @param state the request's state
 * @returns what to do with the frame
 */
export function checkFrame(
  frame: Frame,
  attempt: Attempt | undefined,
  state: RequestState,
): FrameVerdict {
  if (frame.attemptId !== attempt?.attemptId) return drop('otherAttempt');
  const meant = attempt.target.incarnation;
  if (frame.incarnation !== meant) return checkIncarnation(frame);
  if (contradictsStart(frame.body, state)) return drop('refusedAfterStart');
  return ACCEPT;
}
