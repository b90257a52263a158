/**
 * Messages between members.
 */
import {
  type LogEntry,
  type MemberId,
  type MemberList,
} from './consensus_types.js';

/** What each message carries. `term` is the sender's term. */
interface Envelope {
  readonly from: MemberId;
  /** Where the sender is reached: a new member knows no addresses yet. */
  readonly fromAddress: string;
  /** The identity meant; another one that answers at the address drops it. */
  readonly to: MemberId;
  readonly term: number;
}

/** Asks whether the receiver would vote for the sender; binds nobody. */
export interface PreVoteRequest extends Envelope {
  readonly kind: 'preVote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Returned in the reply: a reply to an earlier try does not count. */
  readonly attempt: number;
}

/** Answer to {@link PreVoteRequest}. */
export interface PreVoteReply extends Envelope {
  readonly kind: 'preVoteReply';
  readonly granted: boolean;
  readonly attempt: number;
}

/** Asks for the receiver's vote in `term`. */
export interface VoteRequest extends Envelope {
  readonly kind: 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answer to {@link VoteRequest}; sent after the vote is synced. */
export interface VoteReply extends Envelope {
  readonly kind: 'voteReply';
  readonly granted: boolean;
}

/** Entries that follow `prevIndex`, or none: a heartbeat. */
export interface AppendRequest extends Envelope {
  readonly kind: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** The leader's confirmation round; returned in the reply. */
  readonly round: number;
}

/** Answer to {@link AppendRequest}. */
export interface AppendReply extends Envelope {
  readonly kind: 'appendReply';
  readonly success: boolean;
  /** With success: the last synced index known to equal the leader's. */
  readonly matchIndex: number;
  /** Without: the `prevIndex` refused and where to try next. */
  readonly refusedIndex: number;
  readonly hintIndex: number;
  readonly round: number;
}

/** A part of a snapshot. */
export interface SnapshotChunk extends Envelope {
  readonly kind: 'snapshotChunk';
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly members: MemberList;
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
  readonly round: number;
}

/** Answer to {@link SnapshotChunk}. */
export interface SnapshotReply extends Envelope {
  readonly kind: 'snapshotReply';
  readonly snapshotIndex: number;
  /** Bytes received in order: the offset wanted next. */
  readonly nextOffset: number;
  /** The whole snapshot is synced. */
  readonly installed: boolean;
  readonly round: number;
}

/** A message between members: a tagged union over `kind`. */
export type ConsensusMessage =
  | PreVoteRequest
  | PreVoteReply
  | VoteRequest
  | VoteReply
  | AppendRequest
  | AppendReply
  | SnapshotChunk
  | SnapshotReply;

/** Asks a host, whoever runs there, whether it has heard of a group. */
export interface HelloRequest {
  readonly kind: 'hello';
  readonly from: MemberId;
  readonly fromAddress: string;
  /** The sender's data folder is empty: it remembers no group. */
  readonly blank: boolean;
  /** The sender wants to be a member; else it only says that it is one. */
  readonly joins: boolean;
  /** The sender has no disk and never votes. */
  readonly observer: boolean;
  /** Returned in the reply: an answer to an earlier round does not count. */
  readonly round: number;
}

/** Answer to {@link HelloRequest}. */
export interface HelloReply {
  readonly kind: 'helloReply';
  readonly from: MemberId;
  readonly fromAddress: string;
  readonly to: MemberId;
  readonly blank: boolean;
  /** The sender has no disk and never votes. */
  readonly observer: boolean;
  /** The receiver is to form the group by itself. */
  readonly appoints: boolean;
  readonly round: number;
}

/** A message of hosts that form a group or join one. */
export type FormationMessage = HelloRequest | HelloReply;

/** Everything that a transport carries. */
export type TransportMessage = ConsensusMessage | FormationMessage;
