/**
 * Types that users of the consensus package and its parts share.
 */

/**
 * Random identity of a member, created with its data folder. A host whose
 * disk was emptied comes back under a new identity.
 */
export type MemberId = string;

/** One member of the group that agrees. */
export interface Member {
  readonly id: MemberId;
  /** `host:port` under which the other members reach it. */
  readonly address: string;
  /** False for a learner: it receives the log and counts in no majority. */
  readonly voter: boolean;
  /** A learner for good: it keeps its log in memory only. */
  readonly observer?: true | undefined;
}

/** The members, voters and learners, as of some log index. */
export type MemberList = readonly Member[];

/** What an entry of the log holds. */
export const ENTRY_KIND = {
  /** A command of the state machine. */
  COMMAND: 'command',
  /** A new member list, in force from the moment it is in the log. */
  MEMBERS: 'members',
  /** Nothing: the first entry of a leader's term. */
  NOOP: 'noop',
} as const;

/** One of the values of {@link ENTRY_KIND}. */
export type EntryKind = (typeof ENTRY_KIND)[keyof typeof ENTRY_KIND];

/** One entry of the replicated log. Indexes start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  readonly data: Uint8Array;
}

/** What must survive a restart besides log and snapshot. */
export interface HardState {
  readonly term: number;
  /** The member voted for in `term`; empty when none. */
  readonly vote: MemberId;
}

/** The state machine's state after `index`, with the members of then. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly members: MemberList;
  readonly data: Uint8Array;
}

/** What a member does in its term. */
export const MEMBER_ROLE = {
  FOLLOWER: 'follower',
  PRE_CANDIDATE: 'preCandidate',
  CANDIDATE: 'candidate',
  LEADER: 'leader',
} as const;

/** One of the values of {@link MEMBER_ROLE}. */
export type MemberRole = (typeof MEMBER_ROLE)[keyof typeof MEMBER_ROLE];

/**
 * The replicated state machine. All three methods are deterministic: the same
 * commands in the same order give the same results and snapshots everywhere.
 */
export interface StateMachine {
  /**
   * @param command a committed command
   * @param index its log index
   * @returns the result for whoever proposed it
   */
  apply(command: Uint8Array, index: number): Uint8Array;
  /** @returns the whole state; must not change afterwards */
  snapshot(): Uint8Array;
  /** @param snapshot what another member's `snapshot` returned */
  restore(snapshot: Uint8Array): void;
}

/** What became of a proposal. */
export type ProposeOutcome =
  | {
      readonly kind: 'committed';
      readonly result: Uint8Array;
      readonly index: number;
    }
  /** Not taken, and it never will be: safe to propose elsewhere. */
  | {readonly kind: 'notLeader'; readonly leader?: Member}
  /** May or may not be committed later. */
  | {readonly kind: 'unknown'};

/**
 * What became of a read barrier. After `ok` this member's state machine has
 * applied all that was committed before the call.
 */
export type ReadOutcome =
  | {readonly kind: 'ok'; readonly index: number}
  | {readonly kind: 'notLeader'; readonly leader?: Member};

/** Why a change of the members was refused. */
export const CHANGE_REFUSAL = {
  /** The change before it is not committed yet. */
  CHANGE_PENDING: 'changePending',
  /** The leader has committed nothing in its own term yet. */
  TERM_NOT_COMMITTED: 'termNotCommitted',
  UNKNOWN_MEMBER: 'unknownMember',
  ALREADY_MEMBER: 'alreadyMember',
  /** The learner's synced log is not up to the commit index. */
  NOT_CAUGHT_UP: 'notCaughtUp',
  LAST_VOTER: 'lastVoter',
  /** A learner without a disk never votes. */
  OBSERVER: 'observer',
} as const;

/** One of the values of {@link CHANGE_REFUSAL}. */
export type ChangeRefusal =
  (typeof CHANGE_REFUSAL)[keyof typeof CHANGE_REFUSAL];

/** What became of a change of the members. */
export type ChangeOutcome =
  | {readonly kind: 'committed'; readonly index: number}
  | {readonly kind: 'refused'; readonly reason: ChangeRefusal}
  | {readonly kind: 'notLeader'; readonly leader?: Member}
  | {readonly kind: 'unknown'};

/** What a member knows of itself and its group. */
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
   * True while this member leads and no other member can: a majority promised
   * to elect nobody else before the lease ends.
   */
  readonly leaseValid: boolean;
  /** Set once storage failed: the member has stopped for good. */
  readonly failure?: string;
}

/** Times and sizes of one group; all members use the same. */
export interface ConsensusTimings {
  readonly heartbeatIntervalMs: number;
  /** Shortest silence of a leader after which members elect another. */
  readonly electionTimeoutMs: number;
  /** Largest relative error of a monotonic clock's rate, such as 0.02. */
  readonly clockDriftAllowance: number;
  /** A snapshot is taken after so many applied entries. */
  readonly snapshotEveryEntries: number;
  /**
   * A snapshot is also taken after applied entries of so many bytes, or of
   * twice the last snapshot's size if that is more, so that a log of long
   * commands doesn't outgrow the disk, and writing snapshots stays below half
   * of writing the log.
   */
  readonly snapshotEveryBytes: number;
  /** Entries kept behind a snapshot for followers that lag a little. */
  readonly keptEntries: number;
  /** Limit of the sum of the bytes of these entries. */
  readonly keptBytes: number;
  readonly snapshotChunkBytes: number;
  /** Largest sum of entry bytes in one message. */
  readonly maxAppendBytes: number;
  /** Append messages under way to one follower. */
  readonly maxInflightAppends: number;
}

/** Timings for members about a millisecond apart. */
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

/** Settings of one member. */
export interface ConsensusSettings {
  /** `host:port` under which the other members reach this one. */
  readonly address: string;
  /**
   * Addresses of the group's hosts, this one's too. Used when the data folder
   * is empty, to form the group or to join it; afterwards the log decides.
   */
  readonly peers: readonly string[];
  readonly timings: ConsensusTimings;
  /**
   * When it leads, a member lets hosts of `peers` with empty data folders in:
   * as learners, then as voters in place of the identity that the same address
   * had. When false, an operator does that by the changes of the members.
   * True by default.
   */
  readonly automaticJoin?: boolean;
  /**
   * When false, a member with an empty data folder only joins a group and
   * never forms one. True by default.
   */
  readonly mayForm?: boolean;
  /**
   * When it leads, a member lets hosts in that `peers` doesn't name, in place
   * of a voter that no longer answers, or beside the others. False by default.
   */
  readonly openMembership?: boolean;
  /**
   * Hosts that the group must be able to lose at once. When set, the leader
   * takes silent voters off the list as long as those left can bear that loss:
   * a voter that is gone for good counts in each majority, and raises the
   * number of answers needed. Without it only an operator or a host that joins
   * takes a voter off.
   */
  readonly toleratedLosses?: number;
  /**
   * This host keeps its log in memory: it receives the log and never votes.
   * False by default.
   */
  readonly observer?: boolean;
}
