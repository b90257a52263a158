/**
 * What goes into the gate of a sidecar and what comes out of it.
 *
 * All times are monotonic milliseconds of the sidecar's clock; all amounts of
 * work are estimated tokens.
 */
import {type ErrorKind, type Failure} from '@lovagepond/core';
import {type RevokeOutcome} from './sidecar_attempts.js';

/** One attempt as a router offers it. */
export interface Offer {
  readonly requestId: string;
  readonly attemptId: string;
  /** The sidecar incarnation the router means. */
  readonly incarnation: string;
  readonly workspace: string;
  /** Empty for a request that belongs to no chat. */
  readonly chat: string;
  /** Work of the whole request, prompt and answer. */
  readonly tokens: number;
  /** Order among the requests of its own workspace, 9 first. */
  readonly priority: number;
  /** When the caller's deadline passes; Infinity without one. */
  readonly deadlineAt: number;
  /** The call must not run twice: it is claimed in the ledger first. */
  readonly nonRepeatable: boolean;
  /** Configuration revision of the router. */
  readonly revision: number;
  /** First-choice backend server; empty when it is this one. */
  readonly firstChoice: string;
  /**
   * Servers where the chat may be warm if it isn't at its first choice: the
   * router saw that one join after the chat may have begun. The first choice
   * sends the request there; a server that finds itself named and the chat
   * cold sends it back.
   */
  readonly warmCandidates?: readonly string[];
  /** Times this request was handed over by a take. */
  readonly handOvers: number;
  /** The router's estimate of the pool's mean load; 0 when it has none. */
  readonly poolMeanTokens: number;
}

/** How sure the sidecar is of a chat's context in the engine's cache. */
export const WARMTH = {
  WARM: 'warm',
  COLD: 'cold',
  /** Events are missing, so neither may be assumed. */
  UNKNOWN: 'unknown',
} as const;

/** One of the values of {@link WARMTH}. */
export type Warmth = (typeof WARMTH)[keyof typeof WARMTH];

/** What the cache index knows of one chat. */
export interface ChatWarmth {
  readonly warmth: Warmth;
  /** Cached tokens as last heard; 0 when cold. */
  readonly tokens: number;
}

/** The request waits in the sidecar's queue. */
export interface AcceptAction {
  readonly kind: 'accept';
  readonly attemptId: string;
  readonly expectedWaitMs: number;
}

/** The request was not run, and this attempt never will be. */
export interface RefuseAction {
  readonly kind: 'refuse';
  readonly attemptId: string;
  readonly failure: Failure;
  /** Backend server to try instead; empty when none is known. */
  readonly pointer: string;
}

/** A copy of a known attempt came: it may have run, but not through this. */
export interface RejectCopyAction {
  readonly kind: 'rejectCopy';
  readonly attemptId: string;
  readonly failure: Failure;
}

/** Claim the call in the ledger, then tell the gate the answer. */
export interface ClaimAction {
  readonly kind: 'claim';
  readonly attemptId: string;
}

/** Hand the request to the backend server: from here it may have run. */
export interface DispatchAction {
  readonly kind: 'dispatch';
  readonly attemptId: string;
  readonly warmth: ChatWarmth;
  /** How long it was held, milliseconds. */
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

/** Tell the chat's first choice that the chat was served here. */
export interface PointAction {
  readonly kind: 'point';
  readonly attemptId: string;
}

/** What the gate wants done, in this order. */
export type GateAction =
  | AcceptAction
  | RefuseAction
  | RejectCopyAction
  | ClaimAction
  | DispatchAction
  | CancelAction
  | ReleaseClaimAction
  | PointAction;

/** How a dispatched run ended. */
export type RunEnd =
  | {readonly kind: 'done'}
  /** It may have run. */
  | {readonly kind: 'failed'}
  /** No byte of it reached the backend server. */
  | {
      readonly kind: 'notRun';
      readonly message: string;
      /** A kind whose disposition is "not run"; `unreachable` by default. */
      readonly errorKind?: ErrorKind;
    };

/** Answer to a revoke and what follows from it. */
export interface RevokeResult {
  readonly outcome: RevokeOutcome;
  readonly actions: readonly GateAction[];
}

/** One hand-over to a taker. */
export interface HandOver {
  /** At most one attempt. */
  readonly attemptIds: readonly string[];
  /** Work of that attempt. */
  readonly tokens: number;
  readonly actions: readonly GateAction[];
}

/** Load as it is announced and as it travels with each frame. */
export interface GateLoad {
  readonly runningTokens: number;
  readonly queuedTokens: number;
  readonly queuedRequests: number;
}

/** Share of one workspace at this sidecar. */
export interface WorkspaceShare {
  readonly weight: number;
  /** 0 to 9; 5 is neutral. */
  readonly priority: number;
  /** Bound of its outstanding tokens here; 0 means none. */
  readonly maxQueuedTokens: number;
}

/** What the operators' configuration sets for the gate. */
export interface GatePolicy {
  /** Multiple of the pool's mean that may run here. */
  readonly loadBound: number;
  /** 0 weighs only skew, 1 only cache reuse; 0.5 when it isn't set. */
  readonly reuseWeight?: number;
  readonly maxHoldMs: number;
  /** Prompt tokens a second the server rebuilds of a cold context. */
  readonly prefillTokensPerSecond: number;
  /** Answer tokens a second over all streams. */
  readonly decodeTokensPerSecond: number;
  readonly workspaces: ReadonlyMap<string, WorkspaceShare>;
}

/** What the sidecar's own settings fix for the gate. */
export interface GateSettings {
  readonly backendServer: string;
  readonly incarnation: string;
  /** Tokens that may run here whatever the pool's mean is. */
  readonly floorTokens: number;
  /** Tokens the backend server can hold by itself. */
  readonly capacityTokens: number;
  /** Pool means up to this age are believed whole, milliseconds. */
  readonly meanFreshMs: number;
  /** Pool means of this age are not believed at all, milliseconds. */
  readonly meanTrustMs: number;
  /** How long a refused attempt is remembered, milliseconds. */
  readonly refusalRetentionMs: number;
  /** How long the end of a run is remembered, milliseconds. */
  readonly attemptRetentionMs: number;
  readonly maxAttempts: number;
  readonly maxQueuedRequests: number;
  readonly maxChats: number;
  readonly maxPointers: number;
  readonly pointerLifetimeMs: number;
}

/** Settings that suit a model engine of today's size. */
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

/** The policy of a sidecar whose pool the configuration doesn't name. */
export const DEFAULT_GATE_POLICY: GatePolicy = Object.freeze({
  loadBound: 1.5,
  maxHoldMs: 8_000,
  prefillTokensPerSecond: 8_000,
  decodeTokensPerSecond: 2_400,
  workspaces: new Map(),
});

/** Share of a workspace that the configuration doesn't name. */
export const DEFAULT_WORKSPACE_SHARE: WorkspaceShare = Object.freeze({
  weight: 1,
  priority: 5,
  maxQueuedTokens: 0,
});
