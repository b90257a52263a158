/**
 * Packs long texts that travel to many processes, and between members.
 *
 * A configuration of some hundred routes is 90 kB of JSON. Each change goes to
 * every member and every gateway, mostly over the links between availability
 * zones; packed it is a tenth of that.
 */
import {gunzipSync, gzipSync} from 'node:zlib';

/** Shorter texts are left as they are. */
const MIN_PACKED_BYTES = 1_024;

/** Refuses what would unpack to more: no configuration is this large. */
const MAX_UNPACKED_BYTES = 64 * 1024 * 1024;

/** First byte of a gzip stream; JSON starts with `{`. */
const GZIP_FIRST_BYTE = 0x1f;

/**
 * @param text JSON of an object
 * @returns its UTF-8 bytes, packed by gzip when it is long
 */
export function packText(text: string): Uint8Array {
  const bytes = new TextEncoder().encode(text);
  return bytes.length < MIN_PACKED_BYTES ? bytes : gzipSync(bytes);
}

/**
 * @param bytes what {@link packText} made, or plain JSON
 * @param maxBytes the longest text that is taken
 * @returns the text
 * @throws RangeError when it would be longer, Error when it can't be read
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
