/**
 * Placement: the order in which a request is offered to backend servers.
 */
import {type Pool, type Random} from '@lovagepond/core';
import {type RouterLoadView} from './router_load_view.js';
import {
  type RendezvousServer,
  type RendezvousTable,
} from './router_rendezvous.js';
import {type KeyHasher} from './router_rendezvous_hash.js';

/** The properties of a backend server that placement uses. */
export interface PlacementServer extends RendezvousServer {
  /**
   * When this router first listed the server, monotonic milliseconds; negative
   * infinity for a server that counts as part of the initial membership.
   */
  readonly readySince: number;
}

/** The properties of a request that placement uses. */
export interface PlacementRequest {
  readonly workspace: string;
  /** Empty when the request belongs to no chat. */
  readonly chat: string;
  /** Tokens of the prompt and the expected answer. */
  readonly estimatedTokens: number;
  readonly promptTokens: number;
  /** The prompt contains an earlier answer, so its context may be warm. */
  readonly returning: boolean;
}

/** The pool's settings for the trade-off between cache reuse and load skew. */
export type PlacementSettings = Pick<
  Pool,
  | 'loadBound'
  | 'reuseWeight'
  | 'maxHoldMs'
  | 'prefillTokensPerSecond'
  | 'decodeTokensPerSecond'
>;

export interface PlacementInput<Server extends PlacementServer> {
  readonly request: PlacementRequest;
  /** The eligible servers; never empty. */
  readonly servers: RendezvousTable<Server>;
  readonly load: RouterLoadView;
  readonly settings: PlacementSettings;
  /** Current time, monotonic milliseconds. */
  readonly now: number;
  readonly random: Random;
}

/** A placement policy's decision. */
export interface Placement<Server extends PlacementServer> {
  /** The servers to offer the request to, in this order; never empty. */
  readonly candidates: readonly Server[];
  /** The chat's rendezvous choice; its sidecar keeps the chat's pointer. */
  readonly firstChoice: Server;
  /**
   * Servers where a returning chat may be warm although its first choice has
   * never served it, because that server is new. The first choice's sidecar
   * forwards the request to them.
   */
  readonly warmCandidates?: readonly Server[];
}

/** A placement policy. It may keep counters, but does no I/O. */
export interface PlacementPolicy {
  /** @returns the servers to offer the request to */
  place<Server extends PlacementServer>(
    input: PlacementInput<Server>,
  ): Placement<Server>;
}

/** Creates a policy; each router has its own instance. */
export type PlacementPolicyFactory = (hasher: KeyHasher) => PlacementPolicy;

/** Maximum number of candidates of a placement. */
export const CANDIDATE_COUNT = 4;
