/**
 * Stores the writes of the core. Writes that arrive during a sync share the
 * next one.
 */
import {type ConsensusAction} from './consensus_outbox.js';
import {type ConsensusStorage} from './consensus_storage.js';

/** An action that changes the stored state. */
export type StorageAction = Extract<
  ConsensusAction,
  {kind: 'write'} | {kind: 'saveSnapshot'}
>;

export interface StorageWriterEvents {
  /** @param id all actions up to this id are synced */
  onStored(id: number): void;
  /** @param err the failure; nothing more will be stored */
  onFailed(err: unknown): void;
}

/** Runs storage actions in order and batches consecutive writes. */
export class StorageWriter {
  #storage: ConsensusStorage;
  readonly #events: StorageWriterEvents;
  #waiting: StorageAction[] = [];
  #running = false;
  #stopped = false;

  constructor(storage: ConsensusStorage, events: StorageWriterEvents) {
    this.#storage = storage;
    this.#events = events;
  }

  /** True if no action is pending or running. */
  get isIdle(): boolean {
    return !this.#running && this.#waiting.length === 0;
  }

  /** @param action the next action to store */
  add(action: StorageAction): void {
    this.#waiting.push(action);
    if (!this.#running) void this.#drain();
  }

  /** Drops pending actions and stops reporting; a running one may complete. */
  stop(): void {
    this.#stopped = true;
    this.#waiting = [];
  }

  /** @param storage replaces the storage that failed */
  restart(storage: ConsensusStorage): void {
    this.#storage = storage;
    this.#waiting = [];
    this.#stopped = false;
  }

  async #drain(): Promise<void> {
    this.#running = true;
    try {
      while (this.#waiting.length > 0) {
        const id = await this.#storeNext();
        if (!this.#stopped) this.#events.onStored(id);
      }
    } catch (err) {
      if (!this.#stopped) this.#events.onFailed(err);
      this.stop();
    }
    this.#running = false;
  }

  /** @returns the id of the last stored action */
  async #storeNext(): Promise<number> {
    const [first] = this.#waiting;
    if (first?.kind === 'saveSnapshot') {
      this.#waiting.shift();
      await this.#storage.saveSnapshot(first.snapshot);
      return first.id;
    }
    const end = this.#waiting.findIndex(({kind}) => kind === 'saveSnapshot');
    const count = end === -1 ? this.#waiting.length : end;
    const batch = this.#waiting.splice(0, count);
    const writes = batch.flatMap(action =>
      action.kind === 'write' ? [action.write] : [],
    );
    await this.#storage.write(writes);
    return batch.at(-1)?.id ?? 0;
  }
}
