/**
 * Creates the frames of an attempt's answer.
 */
import {type Failure} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {type AnswerPiece} from './sidecar_answer_buffer.js';

const {v1} = lovagepond;

/** Kind and content of a frame, without the fields that every frame carries. */
export type FrameBody = Pick<
  lovagepond.v1.AttemptFrame.$Properties,
  'accepted' | 'started' | 'refused' | 'chunk' | 'heartbeat' | 'end' | 'failed'
>;

/** Status and content type of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
}

/** Frame that only reports that the attempt is still in progress. */
export const HEARTBEAT_FRAME: FrameBody = Object.freeze({
  heartbeat: new v1.Heartbeat(),
});

/**
 * @param expectedWaitMs expected wait in the queue, milliseconds
 * @returns the frame
 */
export function makeAccepted(expectedWaitMs: number): FrameBody {
  return {
    accepted: new v1.Accepted({expectedWaitMs: Math.round(expectedWaitMs)}),
  };
}

/**
 * @param warm true if part of the context was cached
 * @param cachedTokens number of cached tokens
 * @returns the frame
 */
export function makeStarted(warm: boolean, cachedTokens: number): FrameBody {
  return {
    started: new v1.Started({warm, cachedTokens: Math.round(cachedTokens)}),
  };
}

/**
 * @param failure reason for the refusal
 * @param pointer backend server to try instead; empty for none
 * @param configuration this sidecar's configuration if the router's is older,
 *     else empty
 * @returns the frame
 */
export function makeRefused(
  failure: Failure,
  pointer: string,
  configuration: Uint8Array,
): FrameBody {
  const {kind: errorKind, message} = failure;
  const retryAfterMs = Math.round(failure.retryAfterMs);
  return {
    refused: new v1.Refused({
      errorKind,
      message,
      retryAfterMs,
      pointer,
      configuration,
    }),
  };
}

/**
 * @param failure why the dispatched attempt failed
 * @param crashedInstance backend instance that ended during the run; empty if
 *     none
 * @returns the frame
 */
export function makeFailed(failure: Failure, crashedInstance = ''): FrameBody {
  const {kind: errorKind, message} = failure;
  const retryAfterMs = Math.round(failure.retryAfterMs);
  return {
    failed: new v1.Failed({
      errorKind,
      message,
      retryAfterMs,
      crashedLife: crashedInstance,
    }),
  };
}

/**
 * @param piece bytes of the answer with their offset
 * @param head status and content type
 * @returns the frame
 */
export function makeChunk(piece: AnswerPiece, head: AnswerHead): FrameBody {
  const {offset, bytes} = piece;
  return {chunk: new v1.Chunk({offset, data: bytes, ...head})};
}

/**
 * @param totalBytes length of the complete answer
 * @param head status and content type
 * @returns the frame
 */
export function makeEnd(totalBytes: number, head: AnswerHead): FrameBody {
  return {end: new v1.End({totalBytes, ...head})};
}
