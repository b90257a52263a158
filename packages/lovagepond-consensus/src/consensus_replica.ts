/**
 * One member's copy of the log and of the state: what it holds, what of it is
 * synced, committed and applied, and its snapshots.
 */
import {invariant} from '@lovagepond/core';
import {ReplicatedLog, sumBytes} from './consensus_log.js';
import {type AppendRequest} from './consensus_messages.js';
import {type Outbox, SyncedIndex} from './consensus_outbox.js';
import {type StoredState} from './consensus_storage.js';
import {
  type ConsensusTimings,
  type EntryKind,
  type Snapshot,
} from './consensus_types.js';

/** What a follower answers to entries. */
export type AppendResult =
  | {readonly accepted: true; readonly wrote: boolean}
  | {readonly accepted: false; readonly hintIndex: number};

interface PendingSnapshot {
  readonly write: number;
  readonly snapshot: Snapshot;
}

/** A member's copy of the log and of the state. */
export class Replica {
  readonly log: ReplicatedLog;
  readonly #outbox: Outbox;
  readonly #timings: ConsensusTimings;
  readonly #synced: SyncedIndex;
  #snapshot: Snapshot | undefined;
  #pendingSnapshot: PendingSnapshot | undefined;
  #commitIndex: number;
  /** The log equals the leader's of this term up to here. */
  #verifiedIndex: number;
  #writtenIndex: number;
  /** Bytes of the entries committed since the last snapshot was asked for. */
  #bytesSinceSnapshot = 0;

  constructor(stored: StoredState, timings: ConsensusTimings, outbox: Outbox) {
    const {snapshot, entries} = stored;
    const base = snapshot ?? {index: 0, term: 0, members: []};
    this.log = new ReplicatedLog(base, entries);
    this.#outbox = outbox;
    this.#timings = timings;
    this.#synced = new SyncedIndex(this.log.lastIndex);
    this.#snapshot = snapshot;
    this.#commitIndex = base.index;
    this.#verifiedIndex = base.index;
    this.#writtenIndex = this.log.lastIndex;
    if (snapshot) outbox.push({kind: 'restore', snapshot});
  }

  /** Index up to which the log is committed and handed to be applied. */
  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Last index of the log that is synced. */
  get syncedIndex(): number {
    return this.#synced.index;
  }

  /** Last index that is synced and known to equal the leader's log. */
  get ackIndex(): number {
    return Math.min(this.#verifiedIndex, this.#synced.index);
  }

  /** The latest snapshot that may be sent to others. */
  get snapshot(): Snapshot | undefined {
    return this.#snapshot;
  }

  /** Forgets what was known to equal the leader's log: the term changed. */
  resetVerified(): void {
    this.#verifiedIndex = this.#commitIndex;
  }

  /**
   * Adds an entry of this leader; `writeNew` then stores it.
   *
   * @param kind what the entry holds
   * @param data the entry's data
   * @param term the leader's term
   * @returns the entry's index
   */
  add(kind: EntryKind, data: Uint8Array, term: number): number {
    const index = this.log.lastIndex + 1;
    this.log.append([{index, term, kind, data}]);
    return index;
  }

  /** Writes, as one batch, the entries added since the last call. */
  writeNew(): void {
    if (this.#writtenIndex === this.log.lastIndex) return;
    const entries = this.log.slice(this.#writtenIndex + 1, this.log.lastIndex);
    this.#write({entries});
  }

  /**
   * @param message entries from the leader of the current term
   * @returns whether they fit the log
   */
  receive(message: AppendRequest): AppendResult {
    const {prevIndex, prevTerm, entries} = message;
    const committed = this.#commitIndex;
    const isPrevCommitted = prevIndex <= committed;
    if (!isPrevCommitted && this.log.termAt(prevIndex) !== prevTerm) {
      return {accepted: false, hintIndex: this.#hintBefore(prevIndex)};
    }
    const firstNew = entries.find(
      entry =>
        entry.index > committed && this.log.termAt(entry.index) !== entry.term,
    );
    if (firstNew) this.#replaceFrom(firstNew.index, entries);
    const lastIndex = prevIndex + entries.length;
    this.#verifiedIndex = Math.max(this.#verifiedIndex, lastIndex);
    this.commitTo(Math.min(message.commitIndex, this.#verifiedIndex));
    return {accepted: true, wrote: firstNew !== undefined};
  }

  /** @param index the log is committed up to here */
  commitTo(index: number): void {
    if (index <= this.#commitIndex) return;
    const entries = this.log.slice(this.#commitIndex + 1, index);
    invariant(entries.at(-1)?.index === index, 105, 'commit past the log');
    this.#commitIndex = index;
    this.#bytesSinceSnapshot += sumBytes(entries);
    this.#outbox.push({kind: 'apply', entries});
    this.#requestSnapshot();
  }

  /**
   * @param index the index asked for
   * @param data the state machine's state there
   */
  snapshotTaken(index: number, data: Uint8Array): void {
    const term = this.log.termAt(index);
    invariant(term !== undefined, 106, 'a snapshot outside of the log');
    const members = this.log.membersAt(index);
    const snapshot = {index, term, members, data};
    const write = this.#outbox.saveSnapshot(snapshot);
    this.#pendingSnapshot = {write, snapshot};
  }

  /** @param snapshot a leader's snapshot, newer than the commit index */
  install(snapshot: Snapshot): void {
    const {index, term} = snapshot;
    invariant(index > this.#commitIndex, 107, 'an old snapshot installed');
    if (this.log.termAt(index) !== term) {
      this.#synced.truncated(this.#commitIndex + 1);
      this.log.reset(snapshot);
      this.#writtenIndex = index;
    }
    const write = this.#outbox.saveSnapshot(snapshot);
    this.#synced.wrote(write, index);
    this.#snapshot = snapshot;
    this.#commitIndex = index;
    this.#verifiedIndex = Math.max(this.#verifiedIndex, index);
    this.#outbox.push({kind: 'restore', snapshot});
  }

  /** @param id all writes up to this id are synced */
  stored(id: number): void {
    this.#synced.stored(id);
    const pending = this.#pendingSnapshot;
    if (!pending || pending.write > id) return;
    this.#pendingSnapshot = undefined;
    const {snapshot} = pending;
    if (snapshot.index <= (this.#snapshot?.index ?? 0)) return;
    this.#snapshot = snapshot;
    const {keptEntries, keptBytes} = this.#timings;
    const {index} = snapshot;
    this.log.compact(this.log.indexBefore(index, keptEntries, keptBytes));
    this.#requestSnapshot();
  }

  #write(write: Parameters<Outbox['write']>[0]): void {
    const id = this.#outbox.write(write);
    this.#writtenIndex = this.log.lastIndex;
    this.#synced.wrote(id, this.log.lastIndex);
  }

  #replaceFrom(index: number, entries: AppendRequest['entries']): void {
    const conflict = index <= this.log.lastIndex;
    if (conflict) {
      invariant(index > this.#verifiedIndex, 108, "a leader's log changed");
      this.log.truncate(index);
      this.#synced.truncated(index);
    }
    const added = entries.filter(entry => entry.index >= index);
    this.log.append(added);
    this.#write({...(conflict && {truncateFrom: index}), entries: added});
  }

  /** Skips a whole term at a time, so that a long divergence ends soon. */
  #hintBefore(index: number): number {
    if (index > this.log.lastIndex) return this.log.lastIndex;
    const term = this.log.termAt(index);
    let hint = index - 1;
    while (hint > this.#commitIndex && this.log.termAt(hint) === term) {
      hint -= 1;
    }
    return hint;
  }

  #requestSnapshot(): void {
    if (this.#pendingSnapshot) return;
    const index = this.#commitIndex;
    const since = index - (this.#snapshot?.index ?? 0);
    const isDue =
      since >= this.#timings.snapshotEveryEntries ||
      this.#bytesSinceSnapshot >= this.#bytesPerSnapshot();
    if (!isDue) return;
    this.#bytesSinceSnapshot = 0;
    this.#outbox.push({kind: 'takeSnapshot', index});
  }

  #bytesPerSnapshot(): number {
    const lastBytes = this.#snapshot?.data.length ?? 0;
    return Math.max(this.#timings.snapshotEveryBytes, 2 * lastBytes);
  }
}
