/**
 * Events and actions of a request's state machine, and their types.
 */
import {type Failure} from '@lovagepond/core';
import {type Frame, type FrameBody} from './router_frames.js';

export const REQUEST_STATE = {
  RECEIVED: 'received',
  /** A backend server is chosen; the router connects to its sidecar. */
  PLACED: 'placed',
  /** The attempt was sent: from now on, silence doesn't prove "not run". */
  OFFERED: 'offered',
  /** In the sidecar's queue, not dispatched. */
  ADMITTED: 'admitted',
  /** Handed to the backend server: it may have run. */
  DISPATCHED: 'dispatched',
  ANSWERING: 'answering',
  DONE: 'done',
} as const;

export type RequestState = (typeof REQUEST_STATE)[keyof typeof REQUEST_STATE];

/** Properties of a request that don't change. */
export interface RequestFacts {
  readonly requestId: string;
  /** The call must not run twice. */
  readonly nonRepeatable: boolean;
  /** When the answer must be complete, in monotonic milliseconds. */
  readonly deadline: number;
}

/** Limits of one request; see the settings of the same names. */
export interface RequestLimits {
  readonly maxAttempts: number;
  readonly maxHops: number;
  readonly maxReattaches: number;
  readonly attemptSilentAfterMs: number;
  readonly firstFrameAfterMs: number;
  readonly revokeLeadMs: number;
}

/** The sidecar that an attempt is sent to. */
export interface AttemptTarget {
  readonly backendServer: string;
  readonly incarnation: string;
  readonly address: string;
}

/** One attempt; each placement gets an attempt with a new id. */
export interface Attempt {
  readonly attemptId: string;
  readonly target: AttemptTarget;
}

/** Why received bytes or frames were discarded. */
export type DropReason =
  | 'otherAttempt'
  | 'otherIncarnation'
  | 'afterEnd'
  | 'duplicate'
  | 'foreignGeneration'
  | 'refusedAfterStart';

/** What happened to a request, as reported by its runner. */
export type RequestEvent =
  | {
      readonly kind: 'placed';
      readonly target: AttemptTarget;
      /** According to the configuration used for the placement. */
      readonly nonRepeatable: boolean;
    }
  /** No backend server is left to try. */
  | {readonly kind: 'notPlaced'; readonly failure: Failure}
  /** The connection failed before a byte of the attempt was sent over it. */
  | {readonly kind: 'connectFailed'; readonly attemptId: string}
  /** The attempt's first byte is about to be sent. */
  | {readonly kind: 'sent'; readonly attemptId: string}
  | {readonly kind: 'frame'; readonly frame: Frame}
  /** The stream ended without `End`, `Failed` or `Refused`. */
  | {readonly kind: 'broken'; readonly attemptId: string}
  | {
      readonly kind: 'revoked';
      readonly attemptId: string;
      readonly outcome: RevokeOutcome;
    }
  /** True while the caller doesn't read, so that frames aren't read either. */
  | {readonly kind: 'blocked'; readonly blocked: boolean}
  | {readonly kind: 'callerGone'}
  | {readonly kind: 'tick'};

/** The response to a revocation; `lost` when none arrived in time. */
export type RevokeOutcome = 'revoked' | 'dispatched' | 'unknown' | 'lost';

/** Evidence of a server's failure, from the weakest to the strongest. */
export type EvidenceKind =
  /** One connection fell silent or broke. */
  | 'silent'
  /** The sidecar reports that its server accepts no requests for now. */
  | 'unavailable'
  /** No new connection could be established. */
  | 'unreachable';

/** What the runner has to do for a request. */
export type RequestAction =
  /** Choose a backend server, then report `placed` or `notPlaced`. */
  | {
      readonly kind: 'place';
      /** Names of servers that must not be tried again. */
      readonly excluded: ReadonlySet<string>;
      /** The server that a pointer or hand-over names, if any. */
      readonly preferred: string | undefined;
      /** Why the previous attempt failed; undefined for the first attempt. */
      readonly after: Failure | undefined;
      /** The retry counts against the pool's retry budget. */
      readonly costsBudget: boolean;
    }
  /** Connect and send the attempt; frames follow. */
  | {
      readonly kind: 'offer';
      readonly attempt: Attempt;
      /** Bytes of the answer already delivered. */
      readonly resumeFrom: number;
      /** How often sidecars have handed the request over. */
      readonly handOvers: number;
      /** Use a new connection, as the current one may have gone silent. */
      readonly freshConnection: boolean;
    }
  /** Ask the sidecar to revoke the attempt, then report its response. */
  | {
      readonly kind: 'revoke';
      readonly attempt: Attempt;
      readonly freshConnection: boolean;
    }
  /** Close the attempt; its frames are ignored from now on. */
  | {
      readonly kind: 'close';
      readonly attempt: Attempt;
      /** The attempt may still be queued or running and must be revoked. */
      readonly abandoned: boolean;
    }
  | {
      readonly kind: 'begin';
      readonly status: number;
      readonly contentType: string;
    }
  | {readonly kind: 'write'; readonly data: Uint8Array}
  | {readonly kind: 'end'}
  | {readonly kind: 'fail'; readonly failure: Failure}
  /** Install a configuration that a sidecar sent. */
  | {readonly kind: 'install'; readonly configuration: Uint8Array}
  /** Record evidence of a failed sidecar or connection. */
  | {
      readonly kind: 'evidence';
      readonly target: AttemptTarget;
      readonly evidence: EvidenceKind;
    }
  | {readonly kind: 'drop'; readonly reason: DropReason};

export const REVOKE_REASON = {
  DEADLINE: 'deadline',
  CONNECTION_LOST: 'connectionLost',
} as const;

export type RevokeReason = (typeof REVOKE_REASON)[keyof typeof REVOKE_REASON];

export const CLOSING = {
  /** Nothing of the attempt is left at its sidecar. */
  CONCLUDED: 'concluded',
  /** It may still be queued or running: the sidecar is asked to revoke it. */
  ABANDONED: 'abandoned',
} as const;

export type Closing = (typeof CLOSING)[keyof typeof CLOSING];

/** The event type of the given kind. */
export type EventOf<Kind extends RequestEvent['kind']> = Extract<
  RequestEvent,
  {kind: Kind}
>;

/** A state machine's event handlers, by event kind. */
export type EventHandlers<Machine> = {
  readonly [Kind in RequestEvent['kind']]: (
    machine: Machine,
    event: EventOf<Kind>,
    now: number,
  ) => void;
};

/** A state machine's frame handlers, by the kind of the frame's body. */
export type BodyHandlers<Machine> = {
  readonly [Kind in FrameBody['kind']]: (
    machine: Machine,
    body: Extract<FrameBody, {kind: Kind}>,
    now: number,
  ) => void;
};
