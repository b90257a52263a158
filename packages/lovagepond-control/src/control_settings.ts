/**
 * Settings of one control member, as read from the program's settings file.
 */
import {
  type ConsensusTimings,
  DEFAULT_CONSENSUS_TIMINGS,
} from '@lovagepond/consensus';

export interface ControlSettings {
  /** Name of this process in logs, dumps and convergence reports. */
  readonly nodeName: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** All availability zones; empty when only those of servers are known. */
  readonly zones: readonly string[];
  /** `host:port` under which the other members reach this one. */
  readonly address: string;
  /** Address on which the gRPC server listens. */
  readonly host: string;
  /** Port of the gRPC server; 0 lets the system choose. */
  readonly port: number;
  /** `host:port` of the administration API, shown to operators. */
  readonly administrationAddress: string;
  /**
   * Addresses of all members, including this one, for the first start. Later,
   * the replicated log defines the members.
   */
  readonly members: readonly string[];
  readonly dataFolder: string;
  /** Whether this member may form a new group if all data folders are empty. */
  readonly mayFormGroup: boolean;
  /** Whether hosts missing from `members` may join and replace lost ones. */
  readonly openMembership: boolean;
  /**
   * Number of hosts that the group must be able to lose at once; undefined if
   * only operators may remove unresponsive members.
   */
  readonly toleratedLosses?: number;
  /**
   * Whether this host has no disk: the member follows the log, serves
   * subscriptions and forwards calls, and never votes.
   */
  readonly observer: boolean;
  /** A backend server that doesn't renew its lease for this long is removed. */
  readonly leaseMs: number;
  /** Time between two load digests sent to a subscriber. */
  readonly digestIntervalMs: number;
  /** Maximum time between two updates; heartbeats are sent while idle. */
  readonly heartbeatIntervalMs: number;
  /** A member without contact with the leader for this long stops serving. */
  readonly leaderContactLimitMs: number;
  /** Number of revisions whose content is kept for a restore. */
  readonly historyLimit: number;
  /** How long a recorded answer is kept. */
  readonly answerRetentionMs: number;
  /** How long a key is kept and isn't granted again. */
  readonly keyRetentionMs: number;
  /** Age at which the outcome of an open claim becomes unknown. */
  readonly openClaimLimitMs: number;
  /** Maximum number of ledger entries; more claims are refused as not run. */
  readonly ledgerLimit: number;
  /** Maximum base64 characters of all kept answers; the oldest are evicted. */
  readonly answerCharactersLimit: number;
  /** Retries of all routers in each pool, as a fraction of requests. */
  readonly retryFraction: number;
  /** Sliding window in which both are counted, milliseconds. */
  readonly retryWindowMs: number;
  /** Retries of a window beyond the fraction. */
  readonly retrySlack: number;
  /** Maximum number of concurrent model loads from the weight store. */
  readonly concurrentLoads: number;
}

const MINUTE_MS = 60_000;

/**
 * Snapshots are taken less often than by default: commands are small and
 * quickly applied, while a snapshot holds the whole ledger.
 */
export const CONTROL_TIMINGS: ConsensusTimings = {
  ...DEFAULT_CONSENSUS_TIMINGS,
  snapshotEveryEntries: 50_000,
};

/** Defaults of settings that operators rarely change. */
export const CONTROL_DEFAULTS = {
  mayFormGroup: true,
  openMembership: false,
  observer: false,
  zones: [],
  leaseMs: 3_000,
  digestIntervalMs: 1_000,
  heartbeatIntervalMs: 1_000,
  leaderContactLimitMs: 2_500,
  historyLimit: 64,
  answerRetentionMs: 15 * MINUTE_MS,
  keyRetentionMs: 60 * MINUTE_MS,
  openClaimLimitMs: 30 * MINUTE_MS,
  ledgerLimit: 1_000_000,
  answerCharactersLimit: 128 * 1024 * 1024,
  retryFraction: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 64,
  concurrentLoads: 8,
} as const;
