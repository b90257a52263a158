/**
 * A disk that loses a random tail of its unsynced writes in a crash. The first
 * lost write may be torn.
 */
import {type Random} from '@lovagepond/core';
import {type ConsensusAction} from '../../consensus_outbox.js';
import {type StoredState} from '../../consensus_storage.js';
import {
  ENTRY_KIND,
  type HardState,
  type LogEntry,
  type MemberId,
  type MemberList,
  type Snapshot,
} from '../../consensus_types.js';

type DiskAction = Extract<
  ConsensusAction,
  {kind: 'write'} | {kind: 'saveSnapshot'}
>;

class DiskContent {
  hardState: HardState = {term: 0, vote: ''};
  snapshot: Snapshot | undefined;
  entries: LogEntry[] = [];

  apply(action: DiskAction): void {
    if (action.kind === 'saveSnapshot') {
      this.#saveSnapshot(action.snapshot);
      return;
    }
    const {hardState, truncateFrom, entries} = action.write;
    if (hardState) this.hardState = hardState;
    if (truncateFrom !== undefined) {
      this.entries = this.entries.filter(({index}) => index < truncateFrom);
    }
    this.entries.push(...entries);
  }

  #saveSnapshot(snapshot: Snapshot): void {
    const {index, term} = snapshot;
    const holds = this.entries.some(e => e.index === index && e.term === term);
    this.snapshot = snapshot;
    this.entries = holds ? this.entries.filter(e => e.index > index) : [];
  }
}

/** Synced content and unsynced writes. */
export class ModelDisk {
  readonly #synced = new DiskContent();
  /** Content including all unsynced writes. */
  #latest = new DiskContent();
  #unsynced: DiskAction[] = [];

  constructor(readonly id: MemberId) {}

  get isSynced(): boolean {
    return this.#unsynced.length === 0;
  }

  get latestEntries(): readonly LogEntry[] {
    return this.#latest.entries;
  }

  get latestSnapshotIndex(): number {
    return this.#latest.snapshot?.index ?? 0;
  }

  latestTermAt(index: number): number | undefined {
    const {entries} = this.#latest;
    return entries[index - (entries[0]?.index ?? 0)]?.term;
  }

  memberLists(decode: (data: Uint8Array) => MemberList): MemberList[] {
    const kind = ENTRY_KIND.MEMBERS;
    const found = this.#latest.entries.filter(entry => entry.kind === kind);
    const lists = found.map(entry => decode(entry.data));
    const {snapshot} = this.#latest;
    return snapshot && lists.length === 0 ? [snapshot.members] : lists;
  }

  add(action: DiskAction): void {
    this.#unsynced.push(action);
    this.#latest.apply(action);
  }

  /** @returns id of the last write that is synced now */
  syncSome(random: Random): number | undefined {
    return this.#sync(random.below(this.#unsynced.length + 1));
  }

  syncAll(): number | undefined {
    return this.#sync(this.#unsynced.length);
  }

  #sync(count: number): number | undefined {
    const done = this.#unsynced.splice(0, count);
    for (const action of done) this.#synced.apply(action);
    return done.at(-1)?.id;
  }

  crash(random: Random): void {
    this.syncSome(random);
    const [torn] = this.#unsynced;
    if (torn?.kind === 'write' && random.next() < 0.5) {
      const {write} = torn;
      const entries = write.entries.slice(
        0,
        random.below(write.entries.length + 1),
      );
      this.#synced.apply({...torn, write: {...write, entries}});
    }
    this.#unsynced = [];
    const latest = new DiskContent();
    latest.hardState = this.#synced.hardState;
    latest.snapshot = this.#synced.snapshot;
    latest.entries = [...this.#synced.entries];
    this.#latest = latest;
  }

  open(): StoredState {
    const {hardState, snapshot, entries} = this.#synced;
    return {
      id: this.id,
      hardState,
      ...(snapshot && {snapshot}),
      entries: [...entries],
    };
  }
}
