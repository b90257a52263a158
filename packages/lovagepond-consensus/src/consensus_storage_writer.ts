/**
 * Stores what the core wants stored, with one sync for all that came together
 * while the sync before was under way.
 */
import {type ConsensusAction} from './consensus_outbox.js';
import {type ConsensusStorage} from './consensus_storage.js';

/** An action that changes what is stored. */
export type StorageAction = Extract<
  ConsensusAction,
  {kind: 'write'} | {kind: 'saveSnapshot'}
>;

/** Whom the writer tells. */
export interface StorageWriterEvents {
  /** @param id all actions up to this id are synced */
  onStored(id: number): void;
  /** @param err why storage stopped; nothing more will be stored */
  onFailed(err: unknown): void;
}

/** Runs storage actions in order, batching those that follow each other. */
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

  /** True when nothing waits and nothing is under way. */
  get isIdle(): boolean {
    return !this.#running && this.#waiting.length === 0;
  }

  /** @param action what to store after all before */
  add(action: StorageAction): void {
    this.#waiting.push(action);
    if (!this.#running) void this.#drain();
  }

  /** Reports nothing more; what is under way may still be stored. */
  stop(): void {
    this.#stopped = true;
    this.#waiting = [];
  }

  /** @param storage takes the place of the storage that failed */
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

  /** @returns id of the last action stored */
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
