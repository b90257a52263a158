/**
 * Settings of a router and their defaults.
 */

import {
  DEFAULT_PLACEMENT_POLICY,
  type PlacementPolicyName,
} from './router_placement_table.js';

/** Behaviour of a router that can't reach the control plane. */
export const PARTITION_POLICY = {
  /** Keep serving with the current configuration, which may be outdated. */
  SERVE: 'serve',
  /** Refuse requests with `notReady` until a member can be reached. */
  REFUSE: 'refuse',
} as const;

export type PartitionPolicy =
  (typeof PARTITION_POLICY)[keyof typeof PARTITION_POLICY];

/** Settings of one router. All times are milliseconds. */
export interface RouterSettings {
  readonly name: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** `host:port` of every member of the control plane. */
  readonly controlAddresses: readonly string[];
  /** Switch to another member after no update or heartbeat for this long. */
  readonly controlSilentAfterMs: number;
  /** Delay before a new subscription; failures double it, up to fourfold. */
  readonly controlRetryMs: number;
  readonly islandPolicy: PartitionPolicy;
  /** The control plane counts as unreachable after this long without data. */
  readonly islandAfterMs: number;
  readonly placementPolicy: PlacementPolicyName;
  readonly connectTimeoutMs: number;
  /** A connection counts as silent after this long without a frame. */
  readonly attemptSilentAfterMs: number;
  /** The same limit, before the attempt's first frame. */
  readonly firstFrameAfterMs: number;
  /** Timeout of a revocation call to a sidecar. */
  readonly revokeTimeoutMs: number;
  /** An undispatched request is revoked this long before its deadline. */
  readonly revokeLeadMs: number;
  /** Attempts per request, including the first. */
  readonly maxAttempts: number;
  /**
   * Pointers, hand-overs and revision exchanges followed per request, and
   * placements repeated after a lost connection.
   */
  readonly maxHops: number;
  /** New connections tried for one attempt whose connection went silent. */
  readonly maxReattaches: number;
  /** Retries as a fraction of first attempts. */
  readonly retryFraction: number;
  /** Period of the timer that checks deadlines and silent connections. */
  readonly tickMs: number;
}

/** Defaults of the settings that have one. */
export const DEFAULT_ROUTER_SETTINGS = {
  region: 'default',
  availabilityZone: 'default',
  controlSilentAfterMs: 3_000,
  controlRetryMs: 100,
  islandPolicy: PARTITION_POLICY.SERVE,
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
