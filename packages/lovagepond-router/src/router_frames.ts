/**
 * Frames of an attempt as a tagged union, converted from the optional fields of
 * the protocol message.
 */
import {type ErrorKind, parseErrorKind} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';

type WireFrame = lovagepond.v1.AttemptFrame.$Properties;

/** The sidecar holds the request in its queue. */
export interface AcceptedBody {
  readonly kind: 'accepted';
  readonly expectedWaitMs: number;
}

/** The request was dispatched to the backend server: it may have run. */
export interface StartedBody {
  readonly kind: 'started';
  readonly warm: boolean;
  readonly cachedTokens: number;
}

/** The request has not run and never will in this attempt. */
export interface RefusedBody {
  readonly kind: 'refused';
  readonly errorKind: ErrorKind;
  readonly message: string;
  readonly retryAfterMs: number;
  /** Backend server to try next; empty when there is none. */
  readonly pointer: string;
  /** The sidecar's newer configuration; empty when it sent none. */
  readonly configuration: Uint8Array;
}

/** A piece of the answer; `offset` counts bytes from the answer's start. */
export interface ChunkBody {
  readonly kind: 'chunk';
  readonly offset: number;
  readonly data: Uint8Array;
  readonly status: number;
  readonly contentType: string;
}

/** The attempt is still in progress. */
export interface HeartbeatBody {
  readonly kind: 'heartbeat';
}

/** The end of the answer, which is complete at `totalBytes` bytes. */
export interface EndBody {
  readonly kind: 'end';
  readonly totalBytes: number;
  readonly status: number;
  readonly contentType: string;
}

/** The attempt failed after its dispatch. */
export interface FailedBody {
  readonly kind: 'failed';
  readonly errorKind: ErrorKind;
  readonly message: string;
  readonly retryAfterMs: number;
  /** The backend server's instance that crashed; empty when none did. */
  readonly crashedLife: string;
}

export type FrameBody =
  | AcceptedBody
  | StartedBody
  | RefusedBody
  | ChunkBody
  | HeartbeatBody
  | EndBody
  | FailedBody;

/** One frame, with the attempt and sidecar incarnation that it belongs to. */
export interface Frame {
  readonly attemptId: string;
  readonly incarnation: string;
  /** The highest configuration revision that the sidecar has. */
  readonly revision: number;
  readonly runningTokens: number;
  readonly queuedTokens: number;
  readonly body: FrameBody;
}

const NO_BYTES = new Uint8Array();

type WireKind = NonNullable<WireFrame['kind']>;

const BODY_READERS: Readonly<
  Record<WireKind, (frame: WireFrame) => FrameBody>
> = {
  accepted: frame => ({
    kind: 'accepted',
    expectedWaitMs: frame.accepted?.expectedWaitMs ?? 0,
  }),
  started: frame => ({
    kind: 'started',
    warm: frame.started?.warm ?? false,
    cachedTokens: frame.started?.cachedTokens ?? 0,
  }),
  refused: frame => ({
    kind: 'refused',
    errorKind: parseErrorKind(frame.refused?.errorKind ?? ''),
    message: frame.refused?.message ?? '',
    retryAfterMs: frame.refused?.retryAfterMs ?? 0,
    pointer: frame.refused?.pointer ?? '',
    configuration: frame.refused?.configuration ?? NO_BYTES,
  }),
  chunk: frame => ({
    kind: 'chunk',
    offset: frame.chunk?.offset ?? 0,
    data: frame.chunk?.data ?? NO_BYTES,
    status: frame.chunk?.status ?? 0,
    contentType: frame.chunk?.contentType ?? '',
  }),
  heartbeat: () => ({kind: 'heartbeat'}),
  end: frame => ({
    kind: 'end',
    totalBytes: frame.end?.totalBytes ?? 0,
    status: frame.end?.status ?? 0,
    contentType: frame.end?.contentType ?? '',
  }),
  failed: frame => ({
    kind: 'failed',
    errorKind: parseErrorKind(frame.failed?.errorKind ?? ''),
    message: frame.failed?.message ?? '',
    retryAfterMs: frame.failed?.retryAfterMs ?? 0,
    crashedLife: frame.failed?.crashedLife ?? '',
  }),
};

/**
 * @param frame a decoded protocol message
 * @returns the frame; a kind unknown to this version is read as a heartbeat
 */
export function readFrame(frame: WireFrame): Frame {
  const read = BODY_READERS[frame.kind ?? 'heartbeat'];
  return {
    attemptId: frame.attemptId ?? '',
    incarnation: frame.incarnation ?? '',
    revision: frame.revision ?? 0,
    runningTokens: frame.runningTokens ?? 0,
    queuedTokens: frame.queuedTokens ?? 0,
    body: read(frame),
  };
}
