/**
 * What a router is told by its settings.
 */

import {
  DEFAULT_PLACEMENT_POLICY,
  type PlacementPolicyName,
} from './router_placement_table.js';

/** What a router does when no control member can be reached any more. */
export const ISLAND_POLICY = {
  /** Serve on with the configuration held, which may grow old. */
  SERVE: 'serve',
  /** Refuse requests with `notReady` until control is back. */
  REFUSE: 'refuse',
} as const;

/** One of the values of {@link ISLAND_POLICY}. */
export type IslandPolicy = (typeof ISLAND_POLICY)[keyof typeof ISLAND_POLICY];

/** Settings of one router. All times are milliseconds. */
export interface RouterSettings {
  readonly name: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** `host:port` of every control member. */
  readonly controlAddresses: readonly string[];
  /** Without an update or heartbeat for so long, another member is tried. */
  readonly controlSilentAfterMs: number;
  /** Wait between two tries of control; doubled up to sixteenfold. */
  readonly controlRetryMs: number;
  readonly islandPolicy: IslandPolicy;
  /** Control counts as out of reach after this time. */
  readonly islandAfterMs: number;
  readonly placementPolicy: PlacementPolicyName;
  readonly connectTimeoutMs: number;
  /** Without a frame for so long, an attempt's connection is silent. */
  readonly attemptSilentAfterMs: number;
  /** As above, before an attempt's first frame. */
  readonly firstFrameAfterMs: number;
  /** Time a sidecar has to answer a revocation. */
  readonly revokeTimeoutMs: number;
  /** How long before its deadline an undispatched request is taken back. */
  readonly revokeLeadMs: number;
  /** Attempts per request, the first one included. */
  readonly maxAttempts: number;
  /** Pointers, hand-overs and revision exchanges followed per request. */
  readonly maxHops: number;
  /** Fresh connections tried for one attempt that went silent. */
  readonly maxReattaches: number;
  /** Retries as a fraction of first attempts. */
  readonly retryFraction: number;
  /** Period of the timer that watches deadlines and silence. */
  readonly tickMs: number;
}

/** Defaults for all that has a sensible one. */
export const DEFAULT_ROUTER_SETTINGS = {
  region: 'default',
  availabilityZone: 'default',
  controlSilentAfterMs: 3_000,
  controlRetryMs: 100,
  islandPolicy: ISLAND_POLICY.SERVE,
  islandAfterMs: 10_000,
  placementPolicy: DEFAULT_PLACEMENT_POLICY,
  connectTimeoutMs: 1_000,
  attemptSilentAfterMs: 3_500,
  firstFrameAfterMs: 1_000,
  revokeTimeoutMs: 500,
  revokeLeadMs: 50,
  maxAttempts: 3,
  maxHops: 4,
  maxReattaches: 2,
  retryFraction: 0.1,
  tickMs: 25,
} as const satisfies Partial<RouterSettings>;
