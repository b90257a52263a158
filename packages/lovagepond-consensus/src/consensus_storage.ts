/**
 * Interface of durable storage, and an implementation in memory.
 */
import {
  type HardState,
  type LogEntry,
  type MemberId,
  type Snapshot,
} from './consensus_types.js';

/** One batch of changes, made durable atomically. */
export interface StorageWrite {
  readonly hardState?: HardState;
  /** Entries from this index on are removed before `entries` are added. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
}

/** Stored state when storage was opened. */
export interface StoredState {
  readonly id: MemberId;
  readonly hardState: HardState;
  readonly snapshot?: Snapshot;
  /** Consecutive entries after the snapshot. */
  readonly entries: readonly LogEntry[];
}

/**
 * Durable storage of one member. Promises resolve once the data is synced.
 * After a failure all later calls fail, because writes after a failed sync must
 * not count as stored.
 */
export interface ConsensusStorage {
  /** @throws StorageError if the stored state is damaged */
  open(): Promise<StoredState>;
  /**
   * @param writes batches to store in order, with a single sync
   * @throws StorageError if the write or its sync failed
   */
  write(writes: readonly StorageWrite[]): Promise<void>;
  /**
   * Stores a snapshot. If the log contains the last entry that the snapshot
   * covers, later entries are kept; otherwise the whole log is dropped.
   *
   * @throws StorageError if the write or its sync failed
   */
  saveSnapshot(snapshot: Snapshot): Promise<void>;
  /**
   * Marks the last write as synced, so that later damage to it is detected.
   * Call it when no write is pending.
   */
  seal(): Promise<void>;
  close(): Promise<void>;
}

/** Storage in memory, for tests and for trying the package out. */
export class MemoryStorage implements ConsensusStorage {
  readonly #id: MemberId;
  #hardState: HardState = {term: 0, vote: ''};
  #snapshot: Snapshot | undefined;
  #entries: LogEntry[] = [];

  /** @param id the member's identity */
  constructor(id: MemberId) {
    this.#id = id;
  }

  open(): Promise<StoredState> {
    const snapshotIndex = this.#snapshot?.index ?? 0;
    const entries = this.#entries.filter(entry => entry.index > snapshotIndex);
    return Promise.resolve({
      id: this.#id,
      hardState: this.#hardState,
      ...(this.#snapshot && {snapshot: this.#snapshot}),
      entries,
    });
  }

  write(writes: readonly StorageWrite[]): Promise<void> {
    for (const write of writes) this.#apply(write);
    return Promise.resolve();
  }

  saveSnapshot(snapshot: Snapshot): Promise<void> {
    const holdsLast = this.#entries.some(
      entry => entry.index === snapshot.index && entry.term === snapshot.term,
    );
    this.#snapshot = snapshot;
    this.#entries = holdsLast
      ? this.#entries.filter(entry => entry.index > snapshot.index)
      : [];
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  seal(): Promise<void> {
    return Promise.resolve();
  }

  #apply(write: StorageWrite): void {
    if (write.hardState) this.#hardState = write.hardState;
    const from = write.truncateFrom;
    if (from !== undefined) {
      this.#entries = this.#entries.filter(entry => entry.index < from);
    }
    this.#entries.push(...write.entries);
  }
}
