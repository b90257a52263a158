/**
 * What goes into and comes out of a request's state machine.
 */
import {type Failure} from '@lovagepond/core';
import {type Frame, type FrameBody} from './router_frames.js';

/** Where a request stands. */
export const REQUEST_STATE = {
  RECEIVED: 'received',
  /** A backend server is chosen; its connection is being made. */
  PLACED: 'placed',
  /** The attempt was sent: from here silence proves nothing. */
  OFFERED: 'offered',
  /** In the sidecar's queue, not dispatched. */
  ADMITTED: 'admitted',
  /** Handed to the backend server: it may have run. */
  DISPATCHED: 'dispatched',
  ANSWERING: 'answering',
  DONE: 'done',
} as const;

/** One of the values of {@link REQUEST_STATE}. */
export type RequestState = (typeof REQUEST_STATE)[keyof typeof REQUEST_STATE];

/** What a request is from the start. */
export interface RequestFacts {
  readonly requestId: string;
  /** The call must not run twice. */
  readonly nonRepeatable: boolean;
  /** Monotonic milliseconds by which the answer must be whole. */
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

/** One attempt, named anew for each server it is placed at. */
export interface Attempt {
  readonly attemptId: string;
  readonly target: AttemptTarget;
}

/** Why bytes or frames that arrived were thrown away. */
export type DropReason =
  | 'otherAttempt'
  | 'otherIncarnation'
  | 'afterEnd'
  | 'duplicate'
  | 'foreignGeneration'
  | 'refusedAfterStart';

/** What happened to a request, as its shell saw it. */
export type RequestEvent =
  | {
      readonly kind: 'placed';
      readonly target: AttemptTarget;
      /** By the configuration that it was placed by. */
      readonly nonRepeatable: boolean;
    }
  /** No backend server may be tried (again). */
  | {readonly kind: 'notPlaced'; readonly failure: Failure}
  /** The connection failed before the attempt's first byte was sent. */
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
  /** The caller doesn't read: no frames are taken in for now. */
  | {readonly kind: 'blocked'; readonly blocked: boolean}
  | {readonly kind: 'callerGone'}
  | {readonly kind: 'tick'};

/** A revocation's answer; `lost` when none came in time. */
export type RevokeOutcome = 'revoked' | 'dispatched' | 'unknown' | 'lost';

/** Evidence against a server, from the weakest to the strongest. */
export type EvidenceKind =
  /** One connection fell silent or broke. */
  | 'silent'
  /** The sidecar says that its server takes nothing for now. */
  | 'unavailable'
  /** No fresh connection could be made. */
  | 'unreachable';

/** What the shell is to do for a request. */
export type RequestAction =
  /** Choose a backend server, then report `placed` or `notPlaced`. */
  | {
      readonly kind: 'place';
      /** Names of servers tried before. */
      readonly excluded: ReadonlySet<string>;
      /** A server named by a pointer or hand-over, or undefined. */
      readonly preferred: string | undefined;
      /** Why the former attempt came to nothing; undefined for the first. */
      readonly after: Failure | undefined;
      /** The retry is paid from the pool's budget. */
      readonly costsBudget: boolean;
    }
  /** Connect and send the attempt; frames follow. */
  | {
      readonly kind: 'offer';
      readonly attempt: Attempt;
      /** Bytes of the answer already delivered. */
      readonly resumeFrom: number;
      /** Times the request was handed over between sidecars. */
      readonly handOvers: number;
      /** Use a new connection: the present one may have gone silent. */
      readonly freshConnection: boolean;
    }
  /** Ask the sidecar to take the attempt back, and report its answer. */
  | {
      readonly kind: 'revoke';
      readonly attempt: Attempt;
      readonly freshConnection: boolean;
    }
  /** Let the attempt go; its frames no longer count. */
  | {
      readonly kind: 'close';
      readonly attempt: Attempt;
      /** It may still wait or run: tell its sidecar to give it up. */
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
  /** Hand a configuration that a sidecar sent to the revisions' keeper. */
  | {readonly kind: 'install'; readonly configuration: Uint8Array}
  /** Evidence against a sidecar or its connection. */
  | {
      readonly kind: 'evidence';
      readonly target: AttemptTarget;
      readonly evidence: EvidenceKind;
    }
  | {readonly kind: 'drop'; readonly reason: DropReason};

/** Why an attempt is taken back. */
export const REVOKE_REASON = {
  DEADLINE: 'deadline',
  CONNECTION_LOST: 'connectionLost',
} as const;

/** One of the values of {@link REVOKE_REASON}. */
export type RevokeReason = (typeof REVOKE_REASON)[keyof typeof REVOKE_REASON];

/** How an attempt is let go. */
export const CLOSING = {
  /** Its sidecar has answered for good. */
  CONCLUDED: 'concluded',
  /** It may still wait or run: the sidecar is told to give it up. */
  ABANDONED: 'abandoned',
} as const;

/** One of the values of {@link CLOSING}. */
export type Closing = (typeof CLOSING)[keyof typeof CLOSING];

/** The event of a kind. */
export type EventOf<Kind extends RequestEvent['kind']> = Extract<
  RequestEvent,
  {kind: Kind}
>;

/** Event kind to what a machine does with it. */
export type EventHandlers<Machine> = {
  readonly [Kind in RequestEvent['kind']]: (
    machine: Machine,
    event: EventOf<Kind>,
    now: number,
  ) => void;
};

/** Frame kind to what a machine does with it. */
export type BodyHandlers<Machine> = {
  readonly [Kind in FrameBody['kind']]: (
    machine: Machine,
    body: Extract<FrameBody, {kind: Kind}>,
    now: number,
  ) => void;
};
