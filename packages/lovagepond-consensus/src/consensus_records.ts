/**
 * Encoding of the records in log segment frames, and of snapshots.
 */
import {z} from '@lovagepond/core';
import {memberListSchema} from './consensus_members.js';
import {
  ENTRY_KIND,
  type EntryKind,
  type HardState,
  type LogEntry,
  type MemberId,
  type Snapshot,
} from './consensus_types.js';

/** First record of a segment; `index` is that of the snapshot it follows. */
export interface SegmentBase {
  readonly id: MemberId;
  readonly index: number;
}

/** One record: a tagged union over `kind`. */
export type LogRecord =
  | {readonly kind: 'base'; readonly base: SegmentBase}
  | {readonly kind: 'hardState'; readonly hardState: HardState}
  | {readonly kind: 'truncate'; readonly from: number}
  | {readonly kind: 'entry'; readonly entry: LogEntry};

const RECORD_TYPES = ['base', 'hardState', 'truncate', 'entry'] as const;
const ENTRY_KINDS: readonly EntryKind[] = [
  ENTRY_KIND.COMMAND,
  ENTRY_KIND.MEMBERS,
  ENTRY_KIND.NOOP,
];
/** Record header: type, entry kind, two numbers, length of the data. */
const HEAD_BYTES = 22;

interface RawRecord {
  readonly type: (typeof RECORD_TYPES)[number];
  readonly entryKind?: EntryKind;
  readonly first: number;
  readonly second: number;
  readonly data: Uint8Array;
}

function encodeRaw(raw: RawRecord): Buffer {
  const head = Buffer.alloc(HEAD_BYTES);
  head.writeUInt8(RECORD_TYPES.indexOf(raw.type), 0);
  const kind = raw.entryKind ? ENTRY_KINDS.indexOf(raw.entryKind) : 0;
  head.writeUInt8(kind, 1);
  head.writeDoubleLE(raw.first, 2);
  head.writeDoubleLE(raw.second, 10);
  head.writeUInt32LE(raw.data.length, 18);
  return Buffer.concat([head, raw.data]);
}

const EMPTY = new Uint8Array();

const ENCODERS: {
  readonly [Kind in LogRecord['kind']]: (
    record: Extract<LogRecord, {kind: Kind}>,
  ) => RawRecord;
} = {
  base: ({base}) => {
    const data = Buffer.from(base.id);
    return {type: 'base', first: base.index, second: 0, data};
  },
  hardState: ({hardState}) => {
    const data = Buffer.from(hardState.vote);
    return {type: 'hardState', first: hardState.term, second: 0, data};
  },
  truncate: ({from}) => {
    return {type: 'truncate', first: from, second: 0, data: EMPTY};
  },
  entry: ({entry}) => {
    const {index, term, kind, data} = entry;
    return {type: 'entry', entryKind: kind, first: index, second: term, data};
  },
};

/**
 * @param records the records of one frame
 * @returns the frame's payload
 */
export function encodeRecords(records: readonly LogRecord[]): Buffer {
  const parts = records.map(record => {
    const encode = ENCODERS[record.kind] as (record: LogRecord) => RawRecord;
    return encodeRaw(encode(record));
  });
  return Buffer.concat(parts);
}

const DECODERS: {
  readonly [Kind in LogRecord['kind']]: (
    raw: RawRecord,
  ) => Extract<LogRecord, {kind: Kind}>;
} = {
  base: ({first, data}) => {
    const id = Buffer.from(data).toString();
    return {kind: 'base', base: {id, index: first}};
  },
  hardState: ({first, data}) => {
    const vote = Buffer.from(data).toString();
    return {kind: 'hardState', hardState: {term: first, vote}};
  },
  truncate: ({first}) => ({kind: 'truncate', from: first}),
  entry: ({first, second, entryKind, data}) => {
    const kind = entryKind ?? ENTRY_KIND.NOOP;
    return {kind: 'entry', entry: {index: first, term: second, kind, data}};
  },
};

/**
 * @param payload the payload of a whole frame
 * @returns its records
 */
export function decodeRecords(payload: Buffer): readonly LogRecord[] {
  const records: LogRecord[] = [];
  let at = 0;
  while (at < payload.length) {
    const type = RECORD_TYPES[payload.readUInt8(at)] ?? 'entry';
    const entryKind = ENTRY_KINDS[payload.readUInt8(at + 1)];
    const first = payload.readDoubleLE(at + 2);
    const second = payload.readDoubleLE(at + 10);
    const end = at + HEAD_BYTES + payload.readUInt32LE(at + 18);
    const data = payload.subarray(at + HEAD_BYTES, end);
    const raw = {type, first, second, data, ...(entryKind && {entryKind})};
    records.push(DECODERS[type](raw));
    at = end;
  }
  return records;
}

const snapshotHeadSchema = z.object({
  index: z.number(),
  term: z.number(),
  members: memberListSchema,
});
const SNAPSHOT_LENGTH_BYTES = 4;

/**
 * @param snapshot a snapshot
 * @returns the payload of the only frame in the snapshot file
 */
export function encodeSnapshot(snapshot: Snapshot): Buffer {
  const {data, ...rest} = snapshot;
  const head = Buffer.from(JSON.stringify(rest));
  const length = Buffer.alloc(SNAPSHOT_LENGTH_BYTES);
  length.writeUInt32LE(head.length);
  return Buffer.concat([length, head, data]);
}

/**
 * @param payload a payload written by {@link encodeSnapshot}
 * @returns the snapshot
 */
export function decodeSnapshot(payload: Buffer): Snapshot {
  const dataAt = SNAPSHOT_LENGTH_BYTES + payload.readUInt32LE();
  const text = payload.subarray(SNAPSHOT_LENGTH_BYTES, dataAt).toString();
  const parsed: unknown = JSON.parse(text);
  const head = snapshotHeadSchema.parse(parsed);
  return {...head, data: payload.subarray(dataAt)};
}
