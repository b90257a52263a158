/**
 * Replication progress of one follower, as tracked by the leader.
 */
import {type Snapshot} from './consensus_types.js';

/** Modes of sending to a follower. */
export const PROGRESS_MODE = {
  /** The matching index of the follower is unknown: one message at a time. */
  PROBE: 'probe',
  /** The log of the follower matches: messages are pipelined. */
  REPLICATE: 'replicate',
  /** The follower lacks compacted entries: it receives a snapshot. */
  SNAPSHOT: 'snapshot',
} as const;

export type ProgressMode = (typeof PROGRESS_MODE)[keyof typeof PROGRESS_MODE];

/** A snapshot transfer to a follower. */
export interface SnapshotTransfer {
  readonly snapshot: Snapshot;
  offset: number;
}

/** Entries sent to a follower and not acknowledged yet. */
interface InflightAppend {
  readonly lastIndex: number;
  readonly bytes: number;
  /** Time of sending, monotonic milliseconds. */
  readonly sentAt: number;
}

/**
 * Unacknowledged bytes at which the next message waits. When a short message
 * overtakes a long one, the follower refuses it and the leader resends
 * everything, so a member with an empty disk would receive its log many times.
 * Messages below this size arrive in order.
 */
const MAX_INFLIGHT_BYTES = 16 * 1024;

/**
 * Time after which unacknowledged entries are resent to a follower that
 * replies, in milliseconds: many times the 21 ms of a full message (256 KiB) on
 * a 100 Mbit/s link. Resending with each heartbeat would queue long messages
 * faster than the follower receives them.
 */
const RESEND_AFTER_MS = 400;

export class FollowerProgress {
  /** Last index at which the synced log matches that of the leader. */
  match = 0;
  /** Next index to send. */
  next: number;
  /** Latest confirmation round acknowledged by the follower. */
  ackedRound = 0;
  /** Time of the last reply, monotonic ms; undefined before the first. */
  lastReplyAt: number | undefined;
  mode: ProgressMode = PROGRESS_MODE.PROBE;
  transfer: SnapshotTransfer | undefined;
  /** True while the leader waits for the reply to a probe or chunk. */
  waiting = false;
  #inflight: readonly InflightAppend[] = [];
  /** Time of sending the last snapshot chunk, monotonic milliseconds. */
  #chunkSentAt = 0;

  /** Start of tracking the follower, monotonic milliseconds. */
  readonly trackedSince: number;

  /**
   * @param next first index to try
   * @param trackedSince current time, monotonic milliseconds
   */
  constructor(next: number, trackedSince: number) {
    this.next = next;
    this.trackedSince = trackedSince;
  }

  /**
   * @param limit maximum number of unacknowledged messages
   * @returns true if another message with entries may be sent
   */
  hasRoom(limit: number): boolean {
    if (this.mode !== PROGRESS_MODE.REPLICATE) return !this.waiting;
    const bytes = this.#inflight.reduce((sum, {bytes}) => sum + bytes, 0);
    return this.#inflight.length < limit && bytes < MAX_INFLIGHT_BYTES;
  }

  /**
   * The index at which a heartbeat compares the logs. Unacknowledged entries
   * are left out: a heartbeat overtakes them and would be refused.
   */
  get heartbeatIndex(): number {
    return this.#inflight.length > 0 ? this.match : this.next - 1;
  }

  /**
   * @param lastIndex index of the last entry in the sent message
   * @param bytes total size of the data of its entries
   * @param sentAt current time, monotonic milliseconds
   */
  sentEntries(lastIndex: number, bytes: number, sentAt: number): void {
    this.#inflight = [...this.#inflight, {lastIndex, bytes, sentAt}];
    this.next = lastIndex + 1;
  }

  /** @param now monotonic milliseconds */
  sentChunk(now: number): void {
    this.waiting = true;
    this.#chunkSentAt = now;
  }

  /**
   * @param matchIndex index up to which the synced log of the follower matches
   * @param now monotonic milliseconds
   */
  accepted(matchIndex: number, now: number): void {
    const {match} = this;
    this.match = Math.max(match, matchIndex);
    this.#inflight = this.#inflight.filter(
      ({lastIndex}) => lastIndex > this.match,
    );
    const missing = this.transfer?.snapshot.index ?? 0;
    if (this.mode !== PROGRESS_MODE.REPLICATE && this.match >= missing) {
      this.mode = PROGRESS_MODE.REPLICATE;
      this.transfer = undefined;
      this.waiting = false;
      this.next = this.match + 1;
    }
    this.next = Math.max(this.next, this.match + 1);
    const oldest = this.#inflight[0];
    if (!oldest || now - oldest.sentAt < RESEND_AFTER_MS) return;
    this.#inflight = [];
    this.next = this.match + 1;
  }

  /**
   * @param refusedIndex the index before the refused entries
   * @param hintIndex the index that the follower proposes to try
   * @returns false for a late refusal without new information
   */
  refused(refusedIndex: number, hintIndex: number): boolean {
    if (refusedIndex <= this.match || refusedIndex >= this.next) return false;
    if (this.mode === PROGRESS_MODE.SNAPSHOT) return false;
    this.mode = PROGRESS_MODE.PROBE;
    this.#inflight = [];
    this.waiting = false;
    this.next = Math.max(this.match, Math.min(refusedIndex - 1, hintIndex)) + 1;
    return true;
  }

  /** @param snapshot the snapshot that the follower needs before any entry */
  startTransfer(snapshot: Snapshot): void {
    this.mode = PROGRESS_MODE.SNAPSHOT;
    this.transfer = {snapshot, offset: 0};
    this.#inflight = [];
    this.waiting = false;
  }

  /**
   * @param nextOffset number of snapshot bytes that the follower has received
   * @param now monotonic milliseconds
   */
  receivedChunk(nextOffset: number, now: number): void {
    const {transfer} = this;
    if (!transfer) return;
    // The follower has received all bytes and only has to sync them.
    if (nextOffset >= transfer.snapshot.data.length) return;
    const hasMore = nextOffset > transfer.offset;
    // A late reply, or one to a heartbeat that overtook the chunk, does not
    // show whether the chunk was lost.
    if (!hasMore && now - this.#chunkSentAt < RESEND_AFTER_MS) return;
    transfer.offset = nextOffset;
    this.waiting = false;
  }
}
