/**
 * Messages between members.
 */
import {
  type LogEntry,
  type MemberId,
  type MemberList,
} from './consensus_types.js';

/** Fields of each message. `term` is the term of the sender. */
interface Envelope {
  readonly from: MemberId;
  /** Address of the sender; a new member does not know the addresses yet. */
  readonly fromAddress: string;
  /**
   * Identity of the receiver; another one at its address ignores the message.
   */
  readonly to: MemberId;
  readonly term: number;
}

/** Asks whether the receiver would vote for the sender. Changes no state. */
export interface PreVoteRequest extends Envelope {
  readonly kind: 'preVote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Echoed in the reply, so that replies to earlier attempts are ignored. */
  readonly attempt: number;
}

export interface PreVoteReply extends Envelope {
  readonly kind: 'preVoteReply';
  readonly granted: boolean;
  readonly attempt: number;
}

/** Requests the vote of the receiver in `term`. */
export interface VoteRequest extends Envelope {
  readonly kind: 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Reply to {@link VoteRequest}, sent after the vote is synced. */
export interface VoteReply extends Envelope {
  readonly kind: 'voteReply';
  readonly granted: boolean;
}

/** Log entries that follow `prevIndex`; without entries, a heartbeat. */
export interface AppendRequest extends Envelope {
  readonly kind: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Confirmation round of the leader, echoed in the reply. */
  readonly round: number;
}

export interface AppendReply extends Envelope {
  readonly kind: 'appendReply';
  readonly success: boolean;
  /** On success: last synced index that matches the log of the leader. */
  readonly matchIndex: number;
  /** On refusal: the refused `prevIndex`, and the index to try next. */
  readonly refusedIndex: number;
  readonly hintIndex: number;
  readonly round: number;
}

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

export interface SnapshotReply extends Envelope {
  readonly kind: 'snapshotReply';
  readonly snapshotIndex: number;
  /** Number of bytes received in order, which is the next offset expected. */
  readonly nextOffset: number;
  /** True once the whole snapshot is synced. */
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

/** Asks whichever host is at an address whether it belongs to a group. */
export interface HelloRequest {
  readonly kind: 'hello';
  readonly from: MemberId;
  readonly fromAddress: string;
  /** The data folder of the sender is empty: it belongs to no group. */
  readonly blank: boolean;
  /** True to ask to join, false to announce the sender as a member. */
  readonly joins: boolean;
  /** The sender has no disk and never votes. */
  readonly observer: boolean;
  /** Echoed in the reply, so that replies to earlier rounds are ignored. */
  readonly round: number;
}

export interface HelloReply {
  readonly kind: 'helloReply';
  readonly from: MemberId;
  readonly fromAddress: string;
  readonly to: MemberId;
  readonly blank: boolean;
  /** The sender has no disk and never votes. */
  readonly observer: boolean;
  /** The receiver is appointed to form the group alone. */
  readonly appoints: boolean;
  readonly round: number;
}

/** A message between hosts that form or join a group. */
export type FormationMessage = HelloRequest | HelloReply;

/** All messages that a transport carries. */
export type TransportMessage = ConsensusMessage | FormationMessage;
