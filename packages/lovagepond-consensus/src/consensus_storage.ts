/**
 * What consensus asks of durable storage, and a storage in memory.
 */
import {
  type HardState,
  type LogEntry,
  type MemberId,
  type Snapshot,
} from './consensus_types.js';

/** One batch of changes; durable as a whole once the promise resolves. */
export interface StorageWrite {
  readonly hardState?: HardState;
  /** Entries from this index on are dropped before `entries` are added. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
}

/** What storage held when it was opened. */
export interface StoredState {
  readonly id: MemberId;
  readonly hardState: HardState;
  readonly snapshot?: Snapshot;
  /** Entries that follow the snapshot, without a gap. */
  readonly entries: readonly LogEntry[];
}

/**
 * Durable storage of one member. A promise resolves only when the data is
 * synced. After one failure every later call fails: nothing that follows a
 * failed sync may count as stored.
 */
export interface ConsensusStorage {
  /** @throws StorageError when the stored state is damaged */
  open(): Promise<StoredState>;
  /**
   * @param writes batches to store in order, with one sync for all
   * @throws StorageError when the write or its sync failed
   */
  write(writes: readonly StorageWrite[]): Promise<void>;
  /**
   * Stores a snapshot. When the log holds the snapshot's last entry, the
   * entries after it stay; else the whole log is dropped.
   *
   * @throws StorageError when the write or its sync failed
   */
  saveSnapshot(snapshot: Snapshot): Promise<void>;
  /** To be called when idle: protects the last write against later damage. */
  seal(): Promise<void>;
  close(): Promise<void>;
}

/** Storage that lasts as long as the object: for tests and a first look. */
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
