/**
 * Placement: which backend server a request is offered to first, and which
 * ones next.
 */
import {type Pool, type Random} from '@lovagepond/core';
import {type RouterLoadView} from './router_load_view.js';
import {
  type RendezvousServer,
  type RendezvousTable,
} from './router_rendezvous.js';
import {type KeyHasher} from './router_rendezvous_hash.js';

/** A backend server as placement sees it. */
export interface PlacementServer extends RendezvousServer {
  /**
   * When this router first saw it ready, monotonic milliseconds; negative
   * infinity when it stood on the router's first list.
   */
  readonly readySince: number;
}

/** What placement knows of a request. */
export interface PlacementRequest {
  readonly workspace: string;
  /** Empty when the request belongs to no chat. */
  readonly chat: string;
  /** Prompt and expected answer. */
  readonly estimatedTokens: number;
  readonly promptTokens: number;
  /** The prompt holds an earlier answer, so its context may be warm. */
  readonly returning: boolean;
}

/** The pool's settings that weigh cache reuse against skew. */
export type PlacementSettings = Pick<
  Pool,
  | 'loadBound'
  | 'reuseWeight'
  | 'maxHoldMs'
  | 'prefillTokensPerSecond'
  | 'decodeTokensPerSecond'
>;

/** All that a policy decides from. */
export interface PlacementInput<Server extends PlacementServer> {
  readonly request: PlacementRequest;
  /** The eligible servers; never empty. */
  readonly servers: RendezvousTable<Server>;
  readonly load: RouterLoadView;
  readonly settings: PlacementSettings;
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly random: Random;
}

/** A decision. */
export interface Placement<Server extends PlacementServer> {
  /** Where to offer the request, in this order; never empty. */
  readonly candidates: readonly Server[];
  /** The chat's rendezvous choice, whose sidecar keeps its pointer. */
  readonly firstChoice: Server;
  /**
   * Where a returning chat may be warm although its first choice never saw
   * it, because that one is young. Its sidecar sends the request on.
   */
  readonly warmCandidates?: readonly Server[];
}

/** One way to place requests. It may count, but does no I/O. */
export interface PlacementPolicy {
  /** @returns where to offer the request */
  place<Server extends PlacementServer>(
    input: PlacementInput<Server>,
  ): Placement<Server>;
}

/** Makes a policy; each router has its own. */
export type PlacementPolicyFactory = (hasher: KeyHasher) => PlacementPolicy;

/** How many servers a placement names. */
export const CANDIDATE_COUNT = 4;
