/**
 * Decides whether a frame may be believed.
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
  /** The sidecar refuses an attempt that was meant for its former self. */
  | {readonly kind: 'restarted'};

const ACCEPT: FrameVerdict = Object.freeze({kind: 'accept'});

function drop(reason: DropReason): FrameVerdict {
  return {kind: 'drop', reason};
}

/**
 * A refusal that crossed with the dispatch speaks of the queue, not of the
 * run: believing it would make the router or the caller repeat what runs. The
 * one refusal that can be true after `Started` is `unreachable`: the sidecar
 * then found that its backend server never got the request. Once bytes of the
 * answer have come, even that can't be true.
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
 * @param frame a frame that came over some stream
 * @param attempt the request's open attempt, if any
 * @param state where the request stands
 * @returns what to do with it
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
