/**
 * Types shared by the package and its users.
 */

/**
 * Random identity of a member, created with its data folder. A host that lost
 * its disk returns with a new identity.
 */
export type MemberId = string;

/** One member of the consensus group. */
export interface Member {
  readonly id: MemberId;
  /** `host:port` at which the other members reach it. */
  readonly address: string;
  /** False for a learner: it gets the log but counts towards no quorum. */
  readonly voter: boolean;
  /** Set for a permanent learner that keeps its log in memory only. */
  readonly observer?: true | undefined;
}

/** The members, voters and learners, as of some log index. */
export type MemberList = readonly Member[];

export const ENTRY_KIND = {
  /** A command for the state machine. */
  COMMAND: 'command',
  /** A new member list; it takes effect once it is appended to the log. */
  MEMBERS: 'members',
  /** No data: the first entry of each leader in its term. */
  NOOP: 'noop',
} as const;

export type EntryKind = (typeof ENTRY_KIND)[keyof typeof ENTRY_KIND];

/** One entry of the replicated log. Indexes start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  readonly data: Uint8Array;
}

/** Persistent state of a member, besides its log and snapshot. */
export interface HardState {
  readonly term: number;
  /** The member voted for in `term`; empty when none. */
  readonly vote: MemberId;
}

/** State machine state after `index`, with the members at that index. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly members: MemberList;
  readonly data: Uint8Array;
}

export const MEMBER_ROLE = {
  FOLLOWER: 'follower',
  PRE_CANDIDATE: 'preCandidate',
  CANDIDATE: 'candidate',
  LEADER: 'leader',
} as const;

export type MemberRole = (typeof MEMBER_ROLE)[keyof typeof MEMBER_ROLE];

/**
 * The replicated state machine. All three methods must be deterministic: the
 * same commands in the same order produce the same results and snapshots on
 * each member.
 */
export interface StateMachine {
  /**
   * @param command a committed command
   * @param index its log index
   * @returns the result, delivered to the proposer
   */
  apply(command: Uint8Array, index: number): Uint8Array;
  /** @returns the whole state; must not change afterwards */
  snapshot(): Uint8Array;
  /** @param snapshot what another member's `snapshot` returned */
  restore(snapshot: Uint8Array): void;
}

export type ProposeOutcome =
  | {
      readonly kind: 'committed';
      readonly result: Uint8Array;
      readonly index: number;
    }
  /** The proposal is never committed, so proposing it elsewhere is safe. */
  | {readonly kind: 'notLeader'; readonly leader?: Member}
  /** The proposal may or may not be committed later. */
  | {readonly kind: 'unknown'};

/**
 * Outcome of a read barrier. After `ok` the state machine of this member has
 * applied all entries that were committed before the call.
 */
export type ReadOutcome =
  | {readonly kind: 'ok'; readonly index: number}
  | {readonly kind: 'notLeader'; readonly leader?: Member};

export const CHANGE_REFUSAL = {
  /** The previous membership change is not committed yet. */
  CHANGE_PENDING: 'changePending',
  /** The leader has not committed an entry of its own term yet. */
  TERM_NOT_COMMITTED: 'termNotCommitted',
  UNKNOWN_MEMBER: 'unknownMember',
  ALREADY_MEMBER: 'alreadyMember',
  /** The synced log of the learner ends before the commit index. */
  NOT_CAUGHT_UP: 'notCaughtUp',
  LAST_VOTER: 'lastVoter',
  /** Observers keep no log on disk and can't become voters. */
  OBSERVER: 'observer',
} as const;

export type ChangeRefusal =
  (typeof CHANGE_REFUSAL)[keyof typeof CHANGE_REFUSAL];

export type ChangeOutcome =
  | {readonly kind: 'committed'; readonly index: number}
  | {readonly kind: 'refused'; readonly reason: ChangeRefusal}
  | {readonly kind: 'notLeader'; readonly leader?: Member}
  | {readonly kind: 'unknown'};

/** State of a member and its view of the group. */
export interface ConsensusStatus {
  readonly id: MemberId;
  readonly role: MemberRole;
  readonly term: number;
  readonly leader?: Member;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly members: MemberList;
  /**
   * True while this member leads and no other member can be elected: a majority
   * of voters promised to elect no other member before the lease ends.
   */
  readonly leaseValid: boolean;
  /** Reason for which storage failed. The member has stopped. */
  readonly failure?: string;
}

/** Timings and limits of a group; all members must use the same values. */
export interface ConsensusTimings {
  readonly heartbeatIntervalMs: number;
  /** Minimum time without leader contact before an election starts. */
  readonly electionTimeoutMs: number;
  /** Maximum relative error of the rate of a monotonic clock, such as 0.02. */
  readonly clockDriftAllowance: number;
  /** Number of applied entries after which a snapshot is taken. */
  readonly snapshotEveryEntries: number;
  /**
   * A snapshot is also taken after applied entries of this many bytes, or of
   * twice the size of the last snapshot if that is more. So a log of long
   * commands does not fill the disk, and snapshots write less than half as many
   * bytes as the log.
   */
  readonly snapshotEveryBytes: number;
  /** Entries retained before a snapshot for followers that lag slightly. */
  readonly keptEntries: number;
  /** Maximum total size of the retained entries. */
  readonly keptBytes: number;
  readonly snapshotChunkBytes: number;
  /** Maximum total size of the entries in one message. */
  readonly maxAppendBytes: number;
  /** Maximum number of unacknowledged append messages per follower. */
  readonly maxInflightAppends: number;
}

/** Default timings, for members about a millisecond apart. */
export const DEFAULT_CONSENSUS_TIMINGS: ConsensusTimings = {
  heartbeatIntervalMs: 100,
  electionTimeoutMs: 600,
  clockDriftAllowance: 0.02,
  snapshotEveryEntries: 10_000,
  snapshotEveryBytes: 1024 * 1024,
  keptEntries: 1_000,
  keptBytes: 512 * 1024,
  snapshotChunkBytes: 256 * 1024,
  maxAppendBytes: 256 * 1024,
  maxInflightAppends: 16,
};

export interface ConsensusSettings {
  /** `host:port` at which the other members reach this one. */
  readonly address: string;
  /**
   * Seed addresses: hosts of the group, including this one. They are used while
   * the data folder is empty, to form or join the group; afterwards the member
   * list in the log applies.
   */
  readonly peers: readonly string[];
  readonly timings: ConsensusTimings;
  /**
   * If true, this member as leader lets seeds with empty data folders join:
   * first as learners, then as voters replacing the previous identity at the
   * same address. If false, an operator makes these membership changes. True by
   * default.
   */
  readonly automaticJoin?: boolean;
  /**
   * If false, a member with an empty data folder joins an existing group but
   * never forms one. True by default.
   */
  readonly mayForm?: boolean;
  /**
   * If true, this member as leader also lets hosts that are not in `peers`
   * join: each replaces a voter that no longer replies, or becomes an
   * additional voter. False by default.
   */
  readonly openMembership?: boolean;
  /**
   * Number of hosts that may fail at once without the group losing its quorum.
   * If set, the leader removes unresponsive voters, which raise the number of
   * acknowledgements needed, while the remaining voters still tolerate that
   * many failures. If unset, voters are removed only by an operator or when a
   * joining host replaces them.
   */
  readonly toleratedLosses?: number;
  /**
   * If true, this host keeps its log in memory only, receives the log and never
   * votes. False by default.
   */
  readonly observer?: boolean;
}
