/**
 * The replica of one member: its log with the written, synced and committed
 * indexes, and its snapshots.
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

/** Result of appending entries on a follower. */
export type AppendResult =
  | {readonly accepted: true; readonly wrote: boolean}
  | {readonly accepted: false; readonly hintIndex: number};

interface PendingSnapshot {
  readonly write: number;
  readonly snapshot: Snapshot;
}

export class Replica {
  readonly log: ReplicatedLog;
  readonly #outbox: Outbox;
  readonly #timings: ConsensusTimings;
  readonly #synced: SyncedIndex;
  #snapshot: Snapshot | undefined;
  #pendingSnapshot: PendingSnapshot | undefined;
  #commitIndex: number;
  /** Index up to which the log matches that of the leader in this term. */
  #verifiedIndex: number;
  #writtenIndex: number;
  /** Bytes of entries committed since the last snapshot was requested. */
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

  /** Commit index; entries up to it are passed on to be applied. */
  get commitIndex(): number {
    return this.#commitIndex;
  }

  get syncedIndex(): number {
    return this.#synced.index;
  }

  /** Last log index that is synced and known to match the log of the leader. */
  get ackIndex(): number {
    return Math.min(this.#verifiedIndex, this.#synced.index);
  }

  /** Latest stored or installed snapshot, which may be sent to followers. */
  get snapshot(): Snapshot | undefined {
    return this.#snapshot;
  }

  /** Resets the verified index after a change of the term. */
  resetVerified(): void {
    this.#verifiedIndex = this.#commitIndex;
  }

  /**
   * Appends an entry as leader; `writeNew` stores it.
   *
   * @param kind kind of the entry
   * @param data data of the entry
   * @param term term of the leader
   * @returns the index of the entry
   */
  add(kind: EntryKind, data: Uint8Array, term: number): number {
    const index = this.log.lastIndex + 1;
    this.log.append([{index, term, kind, data}]);
    return index;
  }

  /** Writes the entries added since the last call as one batch. */
  writeNew(): void {
    if (this.#writtenIndex === this.log.lastIndex) return;
    const entries = this.log.slice(this.#writtenIndex + 1, this.log.lastIndex);
    this.#write({entries});
  }

  /**
   * @param message entries from the leader of the current term
   * @returns whether the entries were accepted
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

  /** @param index the new commit index */
  commitTo(index: number): void {
    if (index <= this.#commitIndex) return;
    const entries = this.log.slice(this.#commitIndex + 1, index);
    invariant(
      entries.at(-1)?.index === index,
      105,
      'commit index beyond the last entry',
    );
    this.#commitIndex = index;
    this.#bytesSinceSnapshot += sumBytes(entries);
    this.#outbox.push({kind: 'apply', entries});
    this.#requestSnapshot();
  }

  /**
   * @param index the requested index
   * @param data state of the state machine at that index
   */
  snapshotTaken(index: number, data: Uint8Array): void {
    const term = this.log.termAt(index);
    invariant(term !== undefined, 106, 'snapshot index is not in the log');
    const members = this.log.membersAt(index);
    const snapshot = {index, term, members, data};
    const write = this.#outbox.saveSnapshot(snapshot);
    this.#pendingSnapshot = {write, snapshot};
  }

  /** @param snapshot a snapshot from the leader, newer than the commit index */
  install(snapshot: Snapshot): void {
    const {index, term} = snapshot;
    invariant(
      index > this.#commitIndex,
      107,
      'installed snapshot is not newer',
    );
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
      invariant(
        index > this.#verifiedIndex,
        108,
        'leader replaced verified entries',
      );
      this.log.truncate(index);
      this.#synced.truncated(index);
    }
    const added = entries.filter(entry => entry.index >= index);
    this.log.append(added);
    this.#write({...(conflict && {truncateFrom: index}), entries: added});
  }

  /** Skips a term at a time, to find the matching index in few messages. */
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
