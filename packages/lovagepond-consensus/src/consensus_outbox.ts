/**
 * What the deciding part wants done, in order, and which messages wait until
 * something is synced.
 */
import {type ConsensusMessage} from './consensus_messages.js';
import {type StorageWrite} from './consensus_storage.js';
import {type LogEntry, type Member, type Snapshot} from './consensus_types.js';

/** Something for the shell to do. Actions are carried out in order. */
export type ConsensusAction =
  | {
      readonly kind: 'send';
      readonly address: string;
      readonly message: ConsensusMessage;
    }
  /** To be answered by `stored(id)`, in the order of the ids. */
  | {readonly kind: 'write'; readonly id: number; readonly write: StorageWrite}
  /** As `write`, in the same order. */
  | {
      readonly kind: 'saveSnapshot';
      readonly id: number;
      readonly snapshot: Snapshot;
    }
  /** Committed entries that follow those applied before. */
  | {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
  | {readonly kind: 'restore'; readonly snapshot: Snapshot}
  /** To be answered at once by `snapshotTaken`. */
  | {readonly kind: 'takeSnapshot'; readonly index: number}
  | {readonly kind: 'leaderChanged'; readonly leader: Member | undefined}
  /** This member no longer leads: its open proposals are unknown. */
  | {readonly kind: 'leadershipLost'}
  | {
      readonly kind: 'readReady';
      readonly tokens: readonly number[];
      readonly index: number;
    }
  | {readonly kind: 'readRefused'; readonly tokens: readonly number[]};

interface DeferredMessage {
  readonly write: number;
  readonly address: string;
  readonly message: ConsensusMessage;
}

/** Collects actions, numbers writes, and holds back messages. */
export class Outbox {
  #actions: ConsensusAction[] = [];
  #deferred: DeferredMessage[] = [];
  #lastWrite = 0;
  #termWrite = 0;
  #storedWrite = 0;

  /** @param action what is to be done next */
  push(action: ConsensusAction): void {
    this.#actions.push(action);
  }

  /**
   * @param write a change of the stored state
   * @returns the write's id, higher than all before
   */
  write(write: StorageWrite): number {
    this.#lastWrite += 1;
    if (write.hardState) this.#termWrite = this.#lastWrite;
    this.push({kind: 'write', id: this.#lastWrite, write});
    return this.#lastWrite;
  }

  /**
   * @param snapshot what to store
   * @returns the write's id, higher than all before
   */
  saveSnapshot(snapshot: Snapshot): number {
    this.#lastWrite += 1;
    this.push({kind: 'saveSnapshot', id: this.#lastWrite, snapshot});
    return this.#lastWrite;
  }

  /**
   * @param address where the receiver is reached
   * @param message what it gets
   */
  send(address: string, message: ConsensusMessage): void {
    this.push({kind: 'send', address, message});
  }

  /**
   * Sends once term and vote are synced. A vote or a term that left before its
   * sync could be given again, to another, after a crash: two leaders in one
   * term.
   *
   * @param address where the receiver is reached
   * @param message what it gets
   */
  sendWhenTermStored(address: string, message: ConsensusMessage): void {
    if (this.isTermStored) {
      this.send(address, message);
      return;
    }
    this.#deferred.push({write: this.#termWrite, address, message});
  }

  /** True when the latest term and vote are synced. */
  get isTermStored(): boolean {
    return this.#termWrite <= this.#storedWrite;
  }

  /** @param id all writes up to this id are synced */
  stored(id: number): void {
    this.#storedWrite = id;
    const due = this.#deferred.filter(deferred => deferred.write <= id);
    this.#deferred = this.#deferred.filter(deferred => deferred.write > id);
    for (const {address, message} of due) this.send(address, message);
  }

  /** @returns the actions collected since the last call */
  take(): readonly ConsensusAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }
}

interface PendingWrite {
  readonly id: number;
  lastIndex: number;
}

/** The last index of the log that is known to be synced. */
export class SyncedIndex {
  #index: number;
  #pending: PendingWrite[] = [];

  /** @param index the last index found in storage */
  constructor(index: number) {
    this.#index = index;
  }

  /** The last synced index. */
  get index(): number {
    return this.#index;
  }

  /**
   * @param id a write
   * @param lastIndex the log's last index once it is synced
   */
  wrote(id: number, lastIndex: number): void {
    this.#pending.push({id, lastIndex});
  }

  /**
   * A write under way that holds replaced entries must not count for those
   * that replaced them.
   *
   * @param from entries from this index on are replaced
   */
  truncated(from: number): void {
    this.#index = Math.min(this.#index, from - 1);
    for (const write of this.#pending) {
      write.lastIndex = Math.min(write.lastIndex, from - 1);
    }
  }

  /** @param id all writes up to this id are synced */
  stored(id: number): void {
    const done = this.#pending.filter(write => write.id <= id);
    this.#pending = this.#pending.filter(write => write.id > id);
    for (const write of done) {
      this.#index = Math.max(this.#index, write.lastIndex);
    }
  }
}
