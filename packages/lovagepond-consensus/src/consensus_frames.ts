/**
 * Checksummed frames: the unit of writing and syncing files.
 */
import {crc32} from 'node:zlib';
import {StorageError} from './consensus_storage_errors.js';

const MAGIC = Buffer.from([0xc7, 0x4c, 0x50, 0x46]);
const LENGTH_AT = 4;
const SYNCED_AT = 8;
const CHECKSUM_AT = 16;
const HEADER_BYTES = 20;

/** Frames at the start of a file. */
export interface FrameScan {
  readonly payloads: readonly Buffer[];
  /** Bytes of the intact frames; the rest of the file is a torn write. */
  readonly length: number;
}

function checksum(header: Buffer, payload: Uint8Array): number {
  return crc32(payload, crc32(header.subarray(0, CHECKSUM_AT)));
}

/**
 * @param payload the payload; may be empty
 * @param syncedBytes length of the file that was synced before this frame
 * @returns the bytes of the frame
 */
export function encodeFrame(payload: Uint8Array, syncedBytes: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  MAGIC.copy(header);
  header.writeUInt32LE(payload.length, LENGTH_AT);
  header.writeDoubleLE(syncedBytes, SYNCED_AT);
  header.writeUInt32LE(checksum(header, payload), CHECKSUM_AT);
  return Buffer.concat([header, payload]);
}

function readFrame(bytes: Buffer, offset: number): Buffer | undefined {
  const start = offset + HEADER_BYTES;
  if (start > bytes.length) return undefined;
  const header = bytes.subarray(offset, start);
  if (!header.subarray(0, LENGTH_AT).equals(MAGIC)) return undefined;
  const end = start + header.readUInt32LE(LENGTH_AT);
  if (end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  const expected = header.readUInt32LE(CHECKSUM_AT);
  return checksum(header, payload) === expected ? payload : undefined;
}

function findLaterSync(bytes: Buffer, offset: number): boolean {
  let at = bytes.indexOf(MAGIC, offset + 1);
  while (at !== -1) {
    const isWhole = readFrame(bytes, at) !== undefined;
    if (isWhole && bytes.readDoubleLE(at + SYNCED_AT) > offset) return true;
    at = bytes.indexOf(MAGIC, at + 1);
  }
  return false;
}

/**
 * Reads frames up to the end of the file or the first broken frame: a crash
 * only tears bytes that were not synced. If a later frame records that the
 * broken bytes had been synced, acknowledged data is lost, and truncating the
 * file there would drop it silently.
 *
 * @param file name of the file, for the error
 * @param bytes content of the file
 * @returns the intact frames
 * @throws StorageError if synced bytes are broken
 */
export function scanFrames(file: string, bytes: Buffer): FrameScan {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const payload = readFrame(bytes, offset);
    if (!payload) break;
    payloads.push(payload);
    offset += HEADER_BYTES + payload.length;
  }
  if (offset < bytes.length && findLaterSync(bytes, offset)) {
    const detail = 'a synced frame is broken';
    throw new StorageError({kind: 'damaged', file, offset, detail});
  }
  return {payloads, length: offset};
}
