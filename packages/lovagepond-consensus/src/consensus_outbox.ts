/**
 * Actions of the core in their order, and messages that wait for a sync.
 */
import {type ConsensusMessage} from './consensus_messages.js';
import {type StorageWrite} from './consensus_storage.js';
import {type LogEntry, type Member, type Snapshot} from './consensus_types.js';

/** An action for the node. Actions are performed in order. */
export type ConsensusAction =
  | {
      readonly kind: 'send';
      readonly address: string;
      readonly message: ConsensusMessage;
    }
  /** The node reports completion by `stored(id)`, in the order of the ids. */
  | {readonly kind: 'write'; readonly id: number; readonly write: StorageWrite}
  /** Reported like `write`, in the same order. */
  | {
      readonly kind: 'saveSnapshot';
      readonly id: number;
      readonly snapshot: Snapshot;
    }
  /** Committed entries that follow those applied before. */
  | {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
  | {readonly kind: 'restore'; readonly snapshot: Snapshot}
  /** The node replies immediately by `snapshotTaken`. */
  | {readonly kind: 'takeSnapshot'; readonly index: number}
  | {readonly kind: 'leaderChanged'; readonly leader: Member | undefined}
  /** Leadership is lost: the outcome of pending proposals is unknown. */
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

/** Collects actions, numbers writes, and defers messages until a sync. */
export class Outbox {
  #actions: ConsensusAction[] = [];
  #deferred: DeferredMessage[] = [];
  #lastWrite = 0;
  #termWrite = 0;
  #storedWrite = 0;

  /** @param action the next action */
  push(action: ConsensusAction): void {
    this.#actions.push(action);
  }

  /**
   * @param write a change of the stored state
   * @returns the id of the write, higher than all before
   */
  write(write: StorageWrite): number {
    this.#lastWrite += 1;
    if (write.hardState) this.#termWrite = this.#lastWrite;
    this.push({kind: 'write', id: this.#lastWrite, write});
    return this.#lastWrite;
  }

  /**
   * @param snapshot the snapshot to store
   * @returns the id of the write, higher than all before
   */
  saveSnapshot(snapshot: Snapshot): number {
    this.#lastWrite += 1;
    this.push({kind: 'saveSnapshot', id: this.#lastWrite, snapshot});
    return this.#lastWrite;
  }

  /**
   * @param address address of the receiver
   * @param message the message
   */
  send(address: string, message: ConsensusMessage): void {
    this.push({kind: 'send', address, message});
  }

  /**
   * Sends the message once term and vote are synced. Otherwise a crash could
   * lose them, and a second vote in the same term could elect two leaders.
   *
   * @param address address of the receiver
   * @param message the message
   */
  sendWhenTermStored(address: string, message: ConsensusMessage): void {
    if (this.isTermStored) {
      this.send(address, message);
      return;
    }
    this.#deferred.push({write: this.#termWrite, address, message});
  }

  /** True if the latest term and vote are synced. */
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

/** Tracks the last log index that is synced. */
export class SyncedIndex {
  #index: number;
  #pending: PendingWrite[] = [];

  /** @param index last log index at the time storage was opened */
  constructor(index: number) {
    this.#index = index;
  }

  get index(): number {
    return this.#index;
  }

  /**
   * @param id id of a write
   * @param lastIndex last log index once this write is synced
   */
  wrote(id: number, lastIndex: number): void {
    this.#pending.push({id, lastIndex});
  }

  /**
   * Lowers the indexes of pending writes, because a sync of replaced entries
   * says nothing about the entries that replaced them.
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
