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

/** One follower as its leader sees it. */
export class FollowerProgress {
  /** The last index that is synced at the follower and equals the leader's. */
  match = 0;
  /** The index to send next. */
  next: number;
  /** The last confirmation round that the follower answered. */
  ackedRound = 0;
  mode: ProgressMode = PROGRESS_MODE.PROBE;
  transfer: SnapshotTransfer | undefined;
  /** A message is under way for which the leader waits. */
  waiting = false;
  #inflight: number[] = [];

  /** @param next the index to try first */
  constructor(next: number) {
    this.next = next;
  }

  /**
   * @param limit messages that may be under way
   * @returns true when another message with entries may leave
   */
  hasRoom(limit: number): boolean {
    if (this.mode === PROGRESS_MODE.REPLICATE) {
      return this.#inflight.length < limit;
    }
    return !this.waiting;
  }

  /** @param lastIndex the last entry of a message that leaves now */
  sent(lastIndex: number): void {
    if (this.mode === PROGRESS_MODE.REPLICATE) {
      this.#inflight.push(lastIndex);
      this.next = lastIndex + 1;
      return;
    }
    this.waiting = true;
  }

  /** @param matchIndex the follower's log is synced and equal up to here */
  accepted(matchIndex: number): void {
    this.match = Math.max(this.match, matchIndex);
    this.#inflight = this.#inflight.filter(last => last > this.match);
    const missing = this.transfer?.snapshot.index ?? 0;
    if (this.mode !== PROGRESS_MODE.REPLICATE && this.match >= missing) {
      this.mode = PROGRESS_MODE.REPLICATE;
      this.transfer = undefined;
      this.waiting = false;
      this.next = this.match + 1;
    }
    this.next = Math.max(this.next, this.match + 1);
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
}
