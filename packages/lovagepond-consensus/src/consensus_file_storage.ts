/**
 * Durable storage in one folder: a log segment, which also contains term and
 * vote, and the latest snapshot.
 *
 * A segment starts with the identity of the member and the index of the
 * snapshot that it follows. Each batch is one checksummed frame and one sync.
 * Each snapshot starts a new segment. Snapshots and new segments are written to
 * a temporary file, synced and renamed, so that a crash leaves either the old
 * or the new file.
 */
import {randomUUID} from 'node:crypto';
import {type Disk, type DiskFile, NodeDisk} from './consensus_disk.js';
import {encodeFrame, scanFrames} from './consensus_frames.js';
import {
  decodeRecords,
  decodeSnapshot,
  encodeRecords,
  encodeSnapshot,
  type LogRecord,
  type SegmentBase,
} from './consensus_records.js';
import {
  type ConsensusStorage,
  type StorageWrite,
  type StoredState,
} from './consensus_storage.js';
import {StorageError, toStorageError} from './consensus_storage_errors.js';
import {
  type HardState,
  type LogEntry,
  type Snapshot,
} from './consensus_types.js';

const SEGMENT_NAME = /^log-(\d{12})$/;
const SNAPSHOT_NAME = /^snapshot-(\d{12})$/;
const TEMPORARY_NAME = 'writing';
const NUMBER_DIGITS = 12;

interface SegmentContent {
  base: SegmentBase;
  hardState: HardState;
  entries: LogEntry[];
}

interface FoundFile {
  readonly name: string;
  readonly number: number;
}

function nameFile(kind: 'log' | 'snapshot', number: number): string {
  return `${kind}-${String(number).padStart(NUMBER_DIGITS, '0')}`;
}

function findLatest(
  names: readonly string[],
  pattern: RegExp,
): FoundFile | undefined {
  const found = names.flatMap(name => {
    const number = pattern.exec(name)?.[1];
    return number ? [{name, number: Number(number)}] : [];
  });
  found.sort((left, right) => right.number - left.number);
  return found[0];
}

function damaged(file: string, detail: string): StorageError {
  return new StorageError({kind: 'damaged', file, offset: 0, detail});
}

function listRecords(write: StorageWrite): LogRecord[] {
  const {hardState, truncateFrom: from, entries} = write;
  const records: LogRecord[] = [];
  if (hardState) records.push({kind: 'hardState', hardState});
  if (from !== undefined) records.push({kind: 'truncate', from});
  for (const entry of entries) records.push({kind: 'entry', entry});
  return records;
}

/** Applies the next record, in the order of writing. */
function applyRecord(content: SegmentContent, record: LogRecord): void {
  if (record.kind === 'base') {
    content.base = record.base;
  } else if (record.kind === 'hardState') {
    content.hardState = record.hardState;
  } else if (record.kind === 'truncate') {
    truncate(content.entries, record.from);
  } else {
    content.entries.push(record.entry);
  }
}

function truncate(entries: LogEntry[], from: number): void {
  const first = entries[0]?.index ?? from;
  entries.length = Math.max(0, Math.min(entries.length, from - first));
}

export class FileStorage implements ConsensusStorage {
  readonly #disk: Disk;
  readonly #rewritesOnOpen: boolean;
  #content: SegmentContent = {
    base: {id: '', index: 0},
    hardState: {term: 0, vote: ''},
    entries: [],
  };
  #segment: DiskFile | undefined;
  #segmentNumber = 0;
  #length = 0;
  #syncedLength = 0;
  #stopped = false;
  /** Calls are serialised through this promise. */
  #queue: Promise<unknown> = Promise.resolve();

  /**
   * @param disk path of the folder, or a disk, which tests replace to inject
   *     failures
   * @param rewritesOnOpen true to rewrite the log when it is opened: after a
   *     failed sync the kernel may return bytes that are not on the disk
   */
  constructor(disk: string | Disk, rewritesOnOpen = false) {
    this.#disk = typeof disk === 'string' ? new NodeDisk(disk) : disk;
    this.#rewritesOnOpen = rewritesOnOpen;
  }

  open(): Promise<StoredState> {
    return this.#run('open', () => this.#open());
  }

  write(writes: readonly StorageWrite[]): Promise<void> {
    return this.#run('write', () => this.#write(writes));
  }

  saveSnapshot(snapshot: Snapshot): Promise<void> {
    return this.#run('snapshot', () => this.#saveSnapshot(snapshot));
  }

  seal(): Promise<void> {
    return this.#run('seal', () => this.#seal());
  }

  close(): Promise<void> {
    const closing = this.#queue.then(async () => {
      if (!this.#stopped) await this.#seal();
      this.#stopped = true;
      await this.#segment?.close();
      this.#segment = undefined;
    });
    this.#queue = closing.catch(() => undefined);
    return closing;
  }

  /**
   * Runs a call after all earlier ones. After a failed sync the kernel may have
   * dropped the dirty pages, and a second sync would report success for lost
   * data. So no call is retried, and all later calls fail.
   */
  #run<Value>(name: string, call: () => Promise<Value>): Promise<Value> {
    const running = this.#queue.then(async () => {
      if (this.#stopped) throw new StorageError({kind: 'stopped'});
      try {
        return await call();
      } catch (err) {
        this.#stopped = true;
        await this.#segment?.close().catch(() => undefined);
        this.#segment = undefined;
        throw toStorageError(name, 'the data folder', err);
      }
    });
    this.#queue = running.catch(() => undefined);
    return running;
  }

  async #open(): Promise<StoredState> {
    await this.#disk.prepare();
    const names = await this.#disk.list();
    const segment = findLatest(names, SEGMENT_NAME);
    const snapshotFile = findLatest(names, SNAPSHOT_NAME);
    if (!segment) {
      // Without its log the member has lost its term, its vote and the entries
      // that it acknowledged.
      if (snapshotFile) throw damaged(snapshotFile.name, 'log is missing');
      this.#content.base = {id: randomUUID(), index: 0};
      await this.#startSegment();
      return this.#makeState(undefined);
    }
    await this.#readSegment(segment);
    const snapshot = await this.#readSnapshot(snapshotFile);
    const {base} = this.#content;
    if ((snapshot?.index ?? 0) < base.index) {
      throw damaged(
        segment.name,
        `the snapshot at index ${base.index} is missing`,
      );
    }
    if (snapshot && snapshot.index > base.index) {
      await this.#replaceSegment(snapshot);
    } else if (this.#rewritesOnOpen) {
      await this.#segment?.close();
      await this.#startSegment();
    }
    await this.#removeOld();
    return this.#makeState(snapshot);
  }

  #makeState(snapshot: Snapshot | undefined): StoredState {
    const {base, hardState, entries} = this.#content;
    return {
      id: base.id,
      hardState,
      ...(snapshot && {snapshot}),
      entries: [...entries],
    };
  }

  async #readSegment({name, number}: FoundFile): Promise<void> {
    const bytes = await this.#disk.read(name);
    const {payloads, length} = scanFrames(name, bytes);
    const records = payloads.flatMap(payload => decodeRecords(payload));
    if (records[0]?.kind !== 'base') throw damaged(name, 'no base record');
    for (const record of records) applyRecord(this.#content, record);
    this.#segmentNumber = number;
    this.#segment = await this.#disk.open(name);
    if (length < bytes.length) {
      await this.#segment.truncate(length);
      await this.#segment.sync();
    }
    this.#length = length;
    this.#syncedLength = length;
  }

  async #readSnapshot(
    file: FoundFile | undefined,
  ): Promise<Snapshot | undefined> {
    if (!file) return undefined;
    const bytes = await this.#disk.read(file.name);
    const {payloads} = scanFrames(file.name, bytes);
    const [payload] = payloads;
    if (!payload) throw damaged(file.name, 'no intact frame');
    return decodeSnapshot(payload);
  }

  async #write(writes: readonly StorageWrite[]): Promise<void> {
    const records = writes.flatMap(write => listRecords(write));
    for (const record of records) applyRecord(this.#content, record);
    await this.#append(encodeRecords(records));
    await this.#segment?.sync();
    this.#syncedLength = this.#length;
  }

  async #append(payload: Uint8Array): Promise<void> {
    const frame = encodeFrame(payload, this.#syncedLength);
    await this.#segment?.write(frame, this.#length);
    this.#length += frame.length;
  }

  /**
   * A damaged last frame can't be told from a torn write. An empty frame after
   * it records that it was synced.
   */
  async #seal(): Promise<void> {
    if (this.#length > this.#syncedLength) return;
    await this.#append(new Uint8Array());
  }

  async #saveSnapshot(snapshot: Snapshot): Promise<void> {
    const frame = encodeFrame(encodeSnapshot(snapshot), 0);
    await this.#writeAtomically(nameFile('snapshot', snapshot.index), frame);
    await this.#replaceSegment(snapshot);
    await this.#removeOld();
  }

  /** Drops the covered entries, or all if the log contradicts the snapshot. */
  async #replaceSegment(snapshot: Snapshot): Promise<void> {
    const {index, term} = snapshot;
    const {base, entries} = this.#content;
    const hasLastEntry = entries.some(
      entry => entry.index === index && entry.term === term,
    );
    this.#content.entries = hasLastEntry
      ? entries.filter(entry => entry.index > index)
      : [];
    this.#content.base = {id: base.id, index};
    await this.#segment?.close();
    this.#segment = undefined;
    await this.#startSegment();
  }

  async #startSegment(): Promise<void> {
    const {base, hardState, entries} = this.#content;
    const records: LogRecord[] = [{kind: 'base', base}];
    records.push(...listRecords({hardState, entries}));
    const frame = encodeFrame(encodeRecords(records), 0);
    this.#segmentNumber += 1;
    const name = nameFile('log', this.#segmentNumber);
    await this.#writeAtomically(name, frame);
    this.#segment = await this.#disk.open(name);
    this.#length = frame.length;
    this.#syncedLength = frame.length;
  }

  async #writeAtomically(name: string, bytes: Uint8Array): Promise<void> {
    await this.#disk.remove(TEMPORARY_NAME);
    const file = await this.#disk.open(TEMPORARY_NAME);
    try {
      await file.write(bytes, 0);
      await file.sync();
    } finally {
      await file.close();
    }
    await this.#disk.rename(TEMPORARY_NAME, name);
    await this.#disk.syncFolder();
  }

  async #removeOld(): Promise<void> {
    const current = [
      nameFile('log', this.#segmentNumber),
      nameFile('snapshot', this.#content.base.index),
    ];
    for (const name of await this.#disk.list()) {
      const isOurs = SEGMENT_NAME.test(name) || SNAPSHOT_NAME.test(name);
      if (isOurs && !current.includes(name)) await this.#disk.remove(name);
    }
  }
}
