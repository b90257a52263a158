/**
 * Input and output types of the sidecar's gate.
 *
 * All times are monotonic milliseconds of the sidecar's clock; all amounts of
 * work are estimated tokens.
 */
import {type ErrorKind, type Failure} from '@lovagepond/core';
import {type RevokeOutcome} from './sidecar_attempts.js';

/** An attempt that a router sends to this sidecar. */
export interface Offer {
  readonly requestId: string;
  readonly attemptId: string;
  /** Incarnation of the sidecar that the router addressed. */
  readonly incarnation: string;
  readonly workspace: string;
  /** Empty for a request that belongs to no chat. */
  readonly chat: string;
  /** Tokens of prompt and answer together. */
  readonly tokens: number;
  /** Priority among the requests of the same workspace; 9 is served first. */
  readonly priority: number;
  /** Time of the caller's deadline; Infinity without one. */
  readonly deadlineAt: number;
  /** Must not run twice, so it is claimed in the ledger before its dispatch. */
  readonly nonRepeatable: boolean;
  /** The router's configuration revision. */
  readonly revision: number;
  /** The chat's first-choice backend server; empty when it is this one. */
  readonly firstChoice: string;
  /**
   * Servers that may hold the chat's context. The router names them when the
   * chat may be older than its first choice. A cold first choice redirects the
   * request to the first of them; a cold candidate redirects it to the first
   * choice.
   */
  readonly warmCandidates?: readonly string[];
  /** How often work stealing ("take") has moved this request to another server. */
  readonly handOvers: number;
  /** The router's estimate of the pool's mean load, tokens; 0 without one. */
  readonly poolMeanTokens: number;
}

/** Whether the engine's cache holds a chat's context. */
export const WARMTH = {
  WARM: 'warm',
  COLD: 'cold',
  /** Cache events are missing: the context may or may not be cached. */
  UNKNOWN: 'unknown',
} as const;

export type Warmth = (typeof WARMTH)[keyof typeof WARMTH];

/** State of one chat in the cache index. */
export interface ChatWarmth {
  readonly warmth: Warmth;
  /** Cached tokens as of the last event; 0 when cold. */
  readonly tokens: number;
}

/** The request was accepted into the sidecar's queue. */
export interface AcceptAction {
  readonly kind: 'accept';
  readonly attemptId: string;
  readonly expectedWaitMs: number;
}

/** The request was not run, and this attempt will never be run. */
export interface RefuseAction {
  readonly kind: 'refuse';
  readonly attemptId: string;
  readonly failure: Failure;
  /** Backend server to try instead; empty for none. */
  readonly pointer: string;
}

/** A duplicate of a known attempt arrived. The original may have run. */
export interface RejectDuplicateAction {
  readonly kind: 'rejectDuplicate';
  readonly attemptId: string;
  readonly failure: Failure;
}

/** Claim the call in the ledger, then pass the result to the gate. */
export interface ClaimAction {
  readonly kind: 'claim';
  readonly attemptId: string;
}

/** Send the request to the backend server. From here on it may have run. */
export interface DispatchAction {
  readonly kind: 'dispatch';
  readonly attemptId: string;
  readonly warmth: ChatWarmth;
  /** Time spent in the queue, milliseconds. */
  readonly heldMs: number;
}

/** Cancel the run at the backend server. */
export interface CancelAction {
  readonly kind: 'cancel';
  readonly attemptId: string;
}

/** Record in the ledger that a claimed call was not dispatched. */
export interface ReleaseClaimAction {
  readonly kind: 'releaseClaim';
  readonly attemptId: string;
}

/** Send the chat's first choice a pointer to this server. */
export interface PointAction {
  readonly kind: 'point';
  readonly attemptId: string;
}

/** Actions of the gate, to be performed in order. */
export type GateAction =
  | AcceptAction
  | RefuseAction
  | RejectDuplicateAction
  | ClaimAction
  | DispatchAction
  | CancelAction
  | ReleaseClaimAction
  | PointAction;

/** How a run ended after its dispatch. */
export type RunEnd =
  | {
      readonly kind: 'done';
      /** The answer was delayed by a router or caller that reads slowly. */
      readonly wasReadSlowly?: boolean;
    }
  /** The request may have run. */
  | {readonly kind: 'failed'}
  /** No byte of the request reached the backend server. */
  | {
      readonly kind: 'notRun';
      readonly message: string;
      /** An error kind with disposition "not run"; `unreachable` by default. */
      readonly errorKind?: ErrorKind;
    };

/** Outcome of a revoke and the actions that follow from it. */
export interface RevokeResult {
  readonly outcome: RevokeOutcome;
  readonly actions: readonly GateAction[];
}

/** Result of a Take call at the sidecar that is asked to hand over work. */
export interface HandOver {
  /** The attempt handed over; empty for none, never more than one. */
  readonly attemptIds: readonly string[];
  /** Tokens of that attempt; 0 without one. */
  readonly tokens: number;
  readonly actions: readonly GateAction[];
}

/** Load as announced to control and sent with each frame. */
export interface GateLoad {
  readonly runningTokens: number;
  readonly queuedTokens: number;
  readonly queuedRequests: number;
}

/** Queueing settings of one workspace at this sidecar. */
export interface WorkspaceShare {
  readonly weight: number;
  /** 0 to 9; 5 is neutral. */
  readonly priority: number;
  /** Limit of its queued and running tokens at this sidecar; 0 for no limit. */
  readonly maxQueuedTokens: number;
}

/** Settings of the gate that come from the operators' configuration. */
export interface GatePolicy {
  /** Running tokens allowed here, as a multiple of the pool's mean load. */
  readonly loadBound: number;
  /** 0 considers only load skew, 1 only cache reuse; 0.5 when unset. */
  readonly reuseWeight?: number;
  /** Limit of a request's time in the queue, milliseconds. */
  readonly maxHoldMs: number;
  /** Prompt tokens per second at which the server rebuilds a cold context. */
  readonly prefillTokensPerSecond: number;
  /** Answer tokens per second over all streams. */
  readonly decodeTokensPerSecond: number;
  readonly workspaces: ReadonlyMap<string, WorkspaceShare>;
}

/** Settings of the gate that come from the sidecar's own settings. */
export interface GateSettings {
  readonly backendServer: string;
  readonly incarnation: string;
  /** Tokens that may always run here, however low the pool's mean is. */
  readonly floorTokens: number;
  /** Upper limit of running tokens; the engine may report a lower capacity. */
  readonly capacityTokens: number;
  /** Pool means up to this age count in full, milliseconds. */
  readonly meanFreshMs: number;
  /** Pool means of this age or older are ignored, milliseconds. */
  readonly meanTrustMs: number;
  /** Retention of a refused attempt's record, milliseconds. */
  readonly refusalRetentionMs: number;
  /** Retention of a finished attempt's record, milliseconds. */
  readonly attemptRetentionMs: number;
  readonly maxAttempts: number;
  readonly maxQueuedRequests: number;
  readonly maxChats: number;
  readonly maxPointers: number;
  readonly pointerLifetimeMs: number;
}

/** Defaults for a model engine. */
export const DEFAULT_GATE_SETTINGS: Omit<
  GateSettings,
  'backendServer' | 'incarnation'
> = Object.freeze({
  floorTokens: 16_384,
  capacityTokens: 262_144,
  meanFreshMs: 2_500,
  meanTrustMs: 10_000,
  refusalRetentionMs: 120_000,
  attemptRetentionMs: 900_000,
  maxAttempts: 50_000,
  maxQueuedRequests: 10_000,
  maxChats: 16_384,
  maxPointers: 16_384,
  pointerLifetimeMs: 3_600_000,
});

/** Policy of a sidecar whose pool the configuration does not name. */
export const DEFAULT_GATE_POLICY: GatePolicy = Object.freeze({
  loadBound: 1.5,
  maxHoldMs: 8_000,
  prefillTokensPerSecond: 8_000,
  decodeTokensPerSecond: 2_400,
  workspaces: new Map(),
});

/** Share of a workspace that the configuration does not name. */
export const DEFAULT_WORKSPACE_SHARE: WorkspaceShare = Object.freeze({
  weight: 1,
  priority: 5,
  maxQueuedTokens: 0,
});
