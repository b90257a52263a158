/**
 * Settings of one control member, as the program reads them from its file.
 */
import {
  type ConsensusTimings,
  DEFAULT_CONSENSUS_TIMINGS,
} from '@lovagepond/consensus';

/** Everything a control member is told at its start. */
export interface ControlSettings {
  /** Name of this process in logs, dumps and convergence reports. */
  readonly nodeName: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** `host:port` under which the other members reach this one. */
  readonly address: string;
  /** Address that the gRPC server listens on. */
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  /** `host:port` of the administration API, told to operators. */
  readonly administrationAddress: string;
  /**
   * Addresses of all members, this one's too, for the first start; later the
   * replicated log says who is a member.
   */
  readonly members: readonly string[];
  readonly dataFolder: string;
  /** With empty data folders all around, this member may form a new group. */
  readonly mayFormGroup: boolean;
  /** Hosts that `members` doesn't name may join, in place of lost ones. */
  readonly openMembership: boolean;
  /**
   * Hosts that the group must be able to lose at once; undefined where only
   * operators take silent members off.
   */
  readonly toleratedLosses?: number;
  /**
   * This host has no disk: it follows the log, serves subscriptions and passes
   * calls on, and never votes.
   */
  readonly observer: boolean;
  /** A backend server that doesn't renew for this long is gone. */
  readonly leaseMs: number;
  /** Time between two load digests to a subscriber. */
  readonly digestIntervalMs: number;
  /** A subscriber hears at least this often. */
  readonly heartbeatIntervalMs: number;
  /** A member out of touch with the leader this long stops serving. */
  readonly leaderContactLimitMs: number;
  /** Revisions whose content is kept for a restore. */
  readonly historyLimit: number;
  /** A recorded answer is kept this long. */
  readonly answerRetentionMs: number;
  /** A key is kept this long, and so never granted again before. */
  readonly keyRetentionMs: number;
  /** An open claim older than this becomes unknown. */
  readonly openClaimLimitMs: number;
  /** Ledger entries; further claims are refused as not run. */
  readonly ledgerLimit: number;
  /** Characters of all kept answers (base64); the oldest go first. */
  readonly answerCharactersLimit: number;
  /** Loads from the weight store that may run at the same time. */
  readonly concurrentLoads: number;
}

const MINUTE_MS = 60_000;

/**
 * Timings of consensus for control's commands. They are small and quickly
 * applied, while a snapshot holds the whole ledger: snapshots are taken less
 * often than consensus does by itself.
 */
export const CONTROL_TIMINGS: ConsensusTimings = {
  ...DEFAULT_CONSENSUS_TIMINGS,
  snapshotEveryEntries: 50_000,
};

/** Values for what an operator rarely sets. */
export const CONTROL_DEFAULTS = {
  mayFormGroup: true,
  openMembership: false,
  observer: false,
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
  concurrentLoads: 8,
} as const;
