/**
 * Compresses long texts that are sent to many processes and between members of
 * control.
 *
 * A configuration of some hundred routes is 90 kB of JSON. Each change is sent
 * to every member and every gateway, mostly across availability zones.
 * Compression reduces its size to a tenth.
 */
import {gunzipSync, gzipSync} from 'node:zlib';

/** Shorter texts are not compressed. */
const MIN_PACKED_BYTES = 1_024;

/** Larger texts are rejected: no configuration reaches this size. */
const MAX_UNPACKED_BYTES = 64 * 1024 * 1024;

/** First byte of a gzip stream; JSON starts with `{`. */
const GZIP_FIRST_BYTE = 0x1f;

/**
 * @param text JSON of an object
 * @returns the text's UTF-8 bytes, compressed by gzip when it is long
 */
export function packText(text: string): Uint8Array {
  const bytes = new TextEncoder().encode(text);
  return bytes.length < MIN_PACKED_BYTES ? bytes : gzipSync(bytes);
}

/**
 * @param bytes the result of {@link packText}, or uncompressed JSON
 * @param maxBytes the largest size that compressed bytes may expand to
 * @returns the text
 * @throws RangeError when the text exceeds `maxBytes`, Error when the bytes are
 *     damaged
 */
export function unpackText(
  bytes: Uint8Array,
  maxBytes = MAX_UNPACKED_BYTES,
): string {
  const isPacked = bytes[0] === GZIP_FIRST_BYTE;
  const plain = isPacked
    ? gunzipSync(bytes, {maxOutputLength: maxBytes})
    : bytes;
  return new TextDecoder().decode(plain);
}
