/**
 * What a leader knows of one follower's log.
 */
import {type Snapshot} from './consensus_types.js';

/** How the leader sends to a follower. */
export const PROGRESS_MODE = {
  /** The follower's log is not known yet: one message at a time. */
  PROBE: 'probe',
  /** Its log matches: messages follow each other without waiting. */
  REPLICATE: 'replicate',
  /** It lacks entries that are compacted: it gets a snapshot. */
  SNAPSHOT: 'snapshot',
} as const;

/** One of the values of {@link PROGRESS_MODE}. */
export type ProgressMode = (typeof PROGRESS_MODE)[keyof typeof PROGRESS_MODE];

/** A snapshot on its way to a follower. */
export interface SnapshotTransfer {
  readonly snapshot: Snapshot;
  offset: number;
}

/** Entries that left for a follower and aren't acknowledged yet. */
interface InflightAppend {
  readonly lastIndex: number;
  readonly bytes: number;
  /** When they left, monotonic milliseconds. */
  readonly sentAt: number;
}

/**
 * Bytes of entries under way at which the next message waits for an
 * acknowledgement. A short message overtakes a long one on its way, is refused,
 * and everything is sent again: a member that returns with an empty disk would
 * receive its log many times over. What is this short arrives in order.
 */
const MAX_INFLIGHT_BYTES = 16 * 1024;

/**
 * Time after which a follower that answers, and hasn't got what was sent, is
 * sent it again, milliseconds: many times the way of a full message on a slow
 * link (256 KiB at 100 Mbit/s are 21 ms). Sent again with each heartbeat, long
 * messages would queue faster than the follower takes them in.
 */
const RESEND_AFTER_MS = 400;

/** One follower as its leader sees it. */
export class FollowerProgress {
  /** The last index that is synced at the follower and equals the leader's. */
  match = 0;
  /** The index to send next. */
  next: number;
  /** The last confirmation round that the follower answered. */
  ackedRound = 0;
  /** When it last answered, monotonic milliseconds; undefined before. */
  lastReplyAt: number | undefined;
  mode: ProgressMode = PROGRESS_MODE.PROBE;
  transfer: SnapshotTransfer | undefined;
  /** A message is under way for which the leader waits. */
  waiting = false;
  #inflight: readonly InflightAppend[] = [];
  /** When the last part of a snapshot left, monotonic milliseconds. */
  #chunkSentAt = 0;

  /** When the leader began to follow it, monotonic milliseconds. */
  readonly trackedSince: number;

  /**
   * @param next the index to try first
   * @param trackedSince present time, monotonic milliseconds
   */
  constructor(next: number, trackedSince: number) {
    this.next = next;
    this.trackedSince = trackedSince;
  }

  /**
   * @param limit messages that may be under way
   * @returns true when another message with entries may leave
   */
  hasRoom(limit: number): boolean {
    if (this.mode !== PROGRESS_MODE.REPLICATE) return !this.waiting;
    const bytes = this.#inflight.reduce((sum, {bytes}) => sum + bytes, 0);
    return this.#inflight.length < limit && bytes < MAX_INFLIGHT_BYTES;
  }

  /**
   * The index up to which a heartbeat asks whether the logs are equal. Entries
   * under way are left out: a heartbeat overtakes them and would be refused.
   */
  get heartbeatIndex(): number {
    return this.#inflight.length > 0 ? this.match : this.next - 1;
  }

  /**
   * @param lastIndex the last entry of a message that leaves now
   * @param bytes sum of its entries' data
   * @param sentAt present time, monotonic milliseconds
   */
  sentEntries(lastIndex: number, bytes: number, sentAt: number): void {
    this.#inflight = [...this.#inflight, {lastIndex, bytes, sentAt}];
    this.next = lastIndex + 1;
  }

  /** @param now monotonic milliseconds; a part of a snapshot leaves */
  sentChunk(now: number): void {
    this.waiting = true;
    this.#chunkSentAt = now;
  }

  /**
   * @param matchIndex the follower's log is synced and equal up to here
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
   * @param refusedIndex the index before the entries that were refused
   * @param hintIndex where the follower proposes to try
   * @returns false for a late refusal that says nothing new
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

  /** @param snapshot what the follower needs before any entry */
  startTransfer(snapshot: Snapshot): void {
    this.mode = PROGRESS_MODE.SNAPSHOT;
    this.transfer = {snapshot, offset: 0};
    this.#inflight = [];
    this.waiting = false;
  }

  /**
   * @param nextOffset how much of the snapshot the follower has
   * @param now monotonic milliseconds
   */
  receivedChunk(nextOffset: number, now: number): void {
    const {transfer} = this;
    if (!transfer) return;
    // With all bytes received, the follower only has to sync.
    if (nextOffset >= transfer.snapshot.data.length) return;
    const hasMore = nextOffset > transfer.offset;
    // An earlier answer, or one to a heartbeat that overtook the part, says
    // nothing of what is under way.
    if (!hasMore && now - this.#chunkSentAt < RESEND_AFTER_MS) return;
    transfer.offset = nextOffset;
    this.waiting = false;
  }
}
