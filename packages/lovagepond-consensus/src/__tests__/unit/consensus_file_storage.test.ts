import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  type Disk,
  type DiskFile,
  FileStorage,
  type LogEntry,
  NodeDisk,
  type StorageFailure,
  type StoredState,
} from '../../index.js';

const SEGMENT = 'log-000000000001';
let folder: string;

function makeEntry(index: number, term = 1): LogEntry {
  const data = Buffer.from(`${index}`);
  return {index, term, kind: 'command', data};
}

async function reopen(): Promise<StoredState> {
  const storage = new FileStorage(folder);
  const stored = await storage.open();
  await storage.close();
  return stored;
}

function indexes({entries}: StoredState): number[] {
  return entries.map(entry => entry.index);
}

async function failureOf(call: Promise<unknown>): Promise<StorageFailure> {
  const err: unknown = await call.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  return (err as {failure: StorageFailure}).failure;
}

/** A disk with one kind of call that fails while `failing` is set. */
class FailingDisk extends NodeDisk implements Disk {
  failing: 'write' | 'sync' | 'rename' | undefined;
  code = 'EIO';
  syncs = 0;

  override async open(name: string): Promise<DiskFile> {
    const file = await super.open(name);
    return {
      write: (bytes, position) =>
        this.#check('write') ?? file.write(bytes, position),
      sync: () => {
        this.syncs += 1;
        return this.#check('sync') ?? file.sync();
      },
      truncate: length => file.truncate(length),
      close: () => file.close(),
    };
  }

  override rename(from: string, to: string): Promise<void> {
    return this.#check('rename') ?? super.rename(from, to);
  }

  #check(operation: string): Promise<never> | undefined {
    if (this.failing !== operation) return undefined;
    return Promise.reject(Object.assign(new Error(), {code: this.code}));
  }
}

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'consensus-'));
});

afterEach(async () => {
  await rm(folder, {recursive: true});
});

describe('FileStorage', () => {
  it('restores identity, term, vote, entries and snapshot', async () => {
    const storage = new FileStorage(folder);
    const {id} = await storage.open();
    await storage.write([
      {hardState: {term: 1, vote: id}, entries: []},
      {entries: [makeEntry(1), makeEntry(2), makeEntry(3)]},
      {truncateFrom: 3, entries: [makeEntry(3, 2), makeEntry(4, 2)]},
    ]);
    const members = [{id, address: 'a:1', voter: true}];
    const data = Buffer.from('state');
    await storage.saveSnapshot({index: 2, term: 1, members, data});
    await storage.write([{entries: [makeEntry(5, 2)]}]);
    await storage.close();

    const stored = await reopen();
    expect(stored.id).toBe(id);
    expect(stored.hardState).toEqual({term: 1, vote: id});
    expect(stored.snapshot).toEqual({index: 2, term: 1, members, data});
    expect(stored.entries.map(({index, term}) => [index, term])).toEqual([
      [3, 2],
      [4, 2],
      [5, 2],
    ]);

    // A snapshot that contradicts the log drops all its entries.
    const other = new FileStorage(folder);
    await other.open();
    await other.saveSnapshot({index: 5, term: 3, members, data});
    await other.close();
    expect(indexes(await reopen())).toEqual([]);
  });

  // The host loses power during an unacknowledged write, and any number of its
  // bytes may be on the disk. The member must start with all synced entries,
  // and with the torn write either whole or not at all, and must be able to
  // continue writing.
  it('truncates a torn write at any byte and continues', async () => {
    const storage = new FileStorage(folder);
    await storage.open();
    await storage.write([{entries: [makeEntry(1)]}]);
    const synced = await readFile(join(folder, SEGMENT));
    await storage.write([{entries: [makeEntry(2), makeEntry(3)]}]);
    const whole = await readFile(join(folder, SEGMENT));
    await storage.close();
    for (let length = synced.length; length <= whole.length; length += 1) {
      await writeFile(join(folder, SEGMENT), whole.subarray(0, length));
      const torn = new FileStorage(folder);
      const isWhole = length === whole.length;
      expect(indexes(await torn.open())).toEqual(isWhole ? [1, 2, 3] : [1]);
      const next = makeEntry(isWhole ? 4 : 2);
      await torn.write([{entries: [next]}]);
      await torn.close();
      expect(indexes(await reopen()).at(-1)).toBe(next.index);
    }
  });

  // A byte of synced data is corrupted on the disk. If it were treated as a
  // torn write, the member would lose entries it acknowledged and a vote that
  // it gave. It must refuse to start and name the file, wherever the byte is.
  it('refuses a flipped byte anywhere in synced data', async () => {
    const storage = new FileStorage(folder);
    await storage.open();
    const hardState = {term: 7, vote: 'other'};
    await storage.write([{hardState, entries: [makeEntry(1)]}]);
    await storage.write([{entries: [makeEntry(2)]}]);
    const synced = await readFile(join(folder, SEGMENT));
    await storage.seal();
    await storage.close();
    const path = join(folder, SEGMENT);
    const bytes = await readFile(path);
    for (let at = 0; at < synced.length; at += 1) {
      const flipped = Buffer.from(bytes);
      flipped.writeUInt8(flipped.readUInt8(at) ^ 0x10, at);
      await writeFile(path, flipped);
      const failure = await failureOf(new FileStorage(folder).open());
      expect(failure).toMatchObject({kind: 'damaged', file: SEGMENT});
    }
  });

  // One of the files is missing: the snapshot that the log follows, or the log.
  // Neither may be treated as an empty disk.
  it('refuses a folder with a missing file', async () => {
    const storage = new FileStorage(folder);
    await storage.open();
    await storage.write([{entries: [makeEntry(1)]}]);
    const data = Buffer.alloc(64);
    await storage.saveSnapshot({index: 1, term: 1, members: [], data});
    await storage.close();
    const snapshot = join(folder, 'snapshot-000000000001');
    const bytes = await readFile(snapshot);
    const flipped = Buffer.from(bytes);
    flipped.writeUInt8(1, bytes.length - 1);
    await writeFile(snapshot, flipped);
    const damaged = await failureOf(new FileStorage(folder).open());
    expect(damaged).toMatchObject({kind: 'damaged'});
    await rm(snapshot);
    const lost = await failureOf(new FileStorage(folder).open());
    expect(lost).toMatchObject({kind: 'damaged', file: 'log-000000000002'});
    await writeFile(snapshot, bytes);
    await rm(join(folder, 'log-000000000002'));
    const withoutLog = await failureOf(new FileStorage(folder).open());
    expect(withoutLog).toMatchObject({kind: 'damaged'});
  });

  // A sync fails once. The kernel may have dropped the pages, and a second sync
  // would report success for lost data, so no later call may reach the disk.
  it.each([
    ['sync', 'EIO', 'ioFailed'],
    ['write', 'ENOSPC', 'diskFull'],
  ] as const)('stops for good after a failed %s', async (call, code, kind) => {
    const disk = new FailingDisk(folder);
    const storage = new FileStorage(disk);
    await storage.open();
    await storage.write([{entries: [makeEntry(1)]}]);
    disk.code = code;
    disk.failing = call;
    const first = storage.write([{entries: [makeEntry(2)]}]);
    const second = storage.write([{entries: [makeEntry(3)]}]);
    expect(await failureOf(first)).toMatchObject({kind});
    expect(await failureOf(second)).toEqual({kind: 'stopped'});
    disk.failing = undefined;
    const {syncs} = disk;
    const third = storage.write([{entries: [makeEntry(2)]}]);
    expect(await failureOf(third)).toEqual({kind: 'stopped'});
    expect(disk.syncs).toBe(syncs);
    await storage.close();
    expect(indexes(await reopen())[0]).toBe(1);
  });

  // The host stops after renaming the snapshot and before renaming the new
  // segment. The old log and the newer snapshot must give the same state.
  it('starts from a newer snapshot and the old log', async () => {
    const disk = new FailingDisk(folder);
    const storage = new FileStorage(disk);
    const {id} = await storage.open();
    await storage.write([{entries: [1, 2, 3].map(at => makeEntry(at))}]);
    const old = await readFile(join(folder, SEGMENT));
    const snapshot = {index: 2, term: 1, members: [], data: Buffer.from('s')};
    await storage.saveSnapshot(snapshot);
    await storage.close();
    await rm(join(folder, 'log-000000000002'));
    await writeFile(join(folder, SEGMENT), old);
    const stored = await reopen();
    expect([stored.id, indexes(stored)]).toEqual([id, [3]]);
    expect(stored.snapshot).toEqual(snapshot);
    expect(indexes(await reopen())).toEqual([3]);
  });

  // The disk is full for a while. Unacknowledged entries may be missing
  // afterwards, but acknowledged ones must be there, and the log must accept
  // more.
  it('reopens after a full disk with all acknowledged entries', async () => {
    const disk = new FailingDisk(folder);
    const first = new FileStorage(disk);
    await first.open();
    await first.write([{entries: [makeEntry(1), makeEntry(2)]}]);
    disk.failing = 'write';
    disk.code = 'ENOSPC';
    const failure = await failureOf(first.write([{entries: [makeEntry(3)]}]));
    expect(failure).toMatchObject({kind: 'diskFull'});
    await first.close();
    const early = new FileStorage(disk, true);
    expect(await failureOf(early.open())).toMatchObject({kind: 'diskFull'});
    await early.close().catch(() => undefined);
    disk.failing = undefined;
    const again = new FileStorage(disk, true);
    expect(indexes(await again.open())).toEqual([1, 2]);
    await again.write([{entries: [makeEntry(3)]}]);
    await again.close();
    expect(indexes(await reopen())).toEqual([1, 2, 3]);
  });
});
