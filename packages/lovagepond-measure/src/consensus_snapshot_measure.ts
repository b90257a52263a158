/**
 * Snapshot and restart time by the size of the state, and restart time by the
 * length of the log.
 */
import {FileStorage, type LogEntry} from '@lovagepond/consensus';
import {fitLine, medianOf, type Point} from './consensus_measure_utils.js';
import {withTemporaryFolder} from './measure_disk.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const MIB = 1024 * 1024;
const STATE_MIB = [1, 4, 16, 64] as const;
const LOG_ENTRIES = [1_000, 4_000, 16_000, 64_000] as const;
const ENTRY_BYTES = 256;
const BATCH = 500;
const REPEATS = 5;

async function timeOf(run: () => Promise<unknown>): Promise<number> {
  const started = performance.now();
  await run();
  return performance.now() - started;
}

async function timeOpening(folder: string): Promise<number> {
  const storage = new FileStorage(folder);
  const time = await timeOf(() => storage.open());
  await storage.close();
  return time;
}

async function repeat(run: () => Promise<number>): Promise<number> {
  const times: number[] = [];
  for (let at = 0; at < REPEATS; at += 1) times.push(await run());
  return medianOf(times);
}

function describeLine(points: readonly Point[], unit: string): string {
  const {slope, offset} = fitLine(points);
  return `${roundTo(slope, 2)} ms per ${unit} + ${roundTo(offset, 1)} ms`;
}

function measureState(mib: number): Promise<{save: number; open: number}> {
  return withTemporaryFolder(async folder => {
    const storage = new FileStorage(folder);
    await storage.open();
    const data = new Uint8Array(mib * MIB).fill(7);
    let index = 0;
    const save = await repeat(() => {
      index += 1;
      const snapshot = {index, term: 1, members: [], data};
      return timeOf(() => storage.saveSnapshot(snapshot));
    });
    await storage.close();
    return {save, open: await repeat(() => timeOpening(folder))};
  });
}

/** @returns snapshot and restart time by the size of the state */
export async function measureSnapshots(): Promise<MeasureSection> {
  const saves: Point[] = [];
  const opens: Point[] = [];
  for (const mib of STATE_MIB) {
    const {save, open} = await measureState(mib);
    saves.push({x: mib, y: save});
    opens.push({x: mib, y: open});
  }
  const rows = STATE_MIB.map((mib, at) => {
    const times = [saves[at], opens[at]].map(point => point?.y ?? 0);
    return [mib, ...times.map(time => roundTo(time, 1))];
  });
  return {
    title: 'Snapshot and restart by size of the state',
    columns: ['state MiB', 'snapshot ms', 'restart ms'],
    rows,
    notes: [
      `snapshot: ${describeLine(saves, 'MiB')}; restart: ${describeLine(opens, 'MiB')}`,
      `median of ${REPEATS}; storage only: checksum, write, sync, two renames;`,
      'restart: read, check, decode; the state machine is measured separately',
    ],
  };
}

function makeEntries(from: number): LogEntry[] {
  const data = new Uint8Array(ENTRY_BYTES).fill(3);
  return Array.from({length: BATCH}, (_, at) => {
    return {index: from + at, term: 1, kind: 'command' as const, data};
  });
}

function measureLog(entries: number): Promise<number> {
  return withTemporaryFolder(async folder => {
    const storage = new FileStorage(folder);
    await storage.open();
    for (let from = 1; from <= entries; from += BATCH) {
      await storage.write([{entries: makeEntries(from)}]);
    }
    await storage.close();
    return repeat(() => timeOpening(folder));
  });
}

/** @returns restart time by the length of the log */
export async function measureLogReplay(): Promise<MeasureSection> {
  const points: Point[] = [];
  for (const entries of LOG_ENTRIES) {
    points.push({x: entries / 1000, y: await measureLog(entries)});
  }
  return {
    title: 'Restart by length of the log behind the snapshot',
    columns: ['entries', 'restart ms'],
    rows: points.map(({x, y}) => [x * 1000, roundTo(y, 1)]),
    notes: [
      `${describeLine(points, '1,000 entries')}; entries of ${ENTRY_BYTES} bytes`,
      `median of ${REPEATS}; the log is read, checked and decoded`,
    ],
  };
}
