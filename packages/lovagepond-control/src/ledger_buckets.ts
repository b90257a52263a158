/**
 * Buckets of encoded ledger entries, so that a snapshot encodes only changed
 * buckets.
 *
 * Encoding a million entries at once would block the event loop for longer than
 * an election timeout, and the leader would lose its leadership at each
 * snapshot. Entries change soon after their creation and then not until they
 * expire, so nearly all buckets are unchanged since the previous snapshot.
 */

/** Entries of one bucket, in the order of their creation. */
const BUCKET_SIZE = 1_024;

const NEWLINE = 0x0a;

interface Bucket {
  readonly keys: Set<string>;
  encoded: Uint8Array | undefined;
}

/** Encodes the entry of a key as JSON. */
export type EncodeKey = (key: string) => string;

const encoder = new TextEncoder();

/** Buckets of the keys of all entries, with their cached encoding. */
export class LedgerBuckets {
  readonly #buckets = new Map<number, Bucket>();
  readonly #bucketOfKey = new Map<string, number>();
  #assignedCount = 0;

  /** @param key a key whose entry was created or changed */
  markChanged(key: string): void {
    let id = this.#bucketOfKey.get(key);
    if (id === undefined) {
      id = Math.floor(this.#assignedCount / BUCKET_SIZE);
      this.#assignedCount += 1;
      this.#bucketOfKey.set(key, id);
    }
    const bucket = this.#buckets.get(id) ?? {
      keys: new Set<string>(),
      encoded: undefined,
    };
    bucket.keys.add(key);
    bucket.encoded = undefined;
    this.#buckets.set(id, bucket);
  }

  /**
   * Adds a bucket from a snapshot together with its encoding, so that the first
   * snapshot after a restart doesn't encode all entries again.
   *
   * @param keys keys of the bucket, in the order of the lines
   * @param encoded lines of the bucket
   */
  adopt(keys: readonly string[], encoded: Uint8Array): void {
    const id = Math.ceil(this.#assignedCount / BUCKET_SIZE);
    for (const key of keys) this.#bucketOfKey.set(key, id);
    this.#buckets.set(id, {keys: new Set(keys), encoded});
    this.#assignedCount = (id + 1) * BUCKET_SIZE;
  }

  /** @param key a key whose entry was removed */
  delete(key: string): void {
    const id = this.#bucketOfKey.get(key);
    if (id === undefined) return;
    this.#bucketOfKey.delete(key);
    const bucket = this.#buckets.get(id);
    if (!bucket) return;
    bucket.keys.delete(key);
    bucket.encoded = undefined;
    if (bucket.keys.size === 0) this.#buckets.delete(id);
  }

  clear(): void {
    this.#buckets.clear();
    this.#bucketOfKey.clear();
    this.#assignedCount = 0;
  }

  /**
   * @param encode encodes one entry as JSON
   * @returns lines of JSON, one entry each, in the order of creation
   */
  encode(encode: EncodeKey): Uint8Array[] {
    const chunks: Uint8Array[] = [];
    for (const bucket of this.#buckets.values()) {
      bucket.encoded ??= encodeBucket(bucket, encode);
      chunks.push(bucket.encoded);
    }
    return chunks;
  }
}

function encodeBucket(bucket: Bucket, encode: EncodeKey): Uint8Array {
  let text = '';
  for (const key of bucket.keys) text += `${encode(key)}\n`;
  return encoder.encode(text);
}

/** Parsed rows of one bucket, with their bytes. */
export interface SplitRows {
  readonly rows: readonly unknown[];
  /** A copy, so that the memory of the complete snapshot can be freed. */
  readonly bytes: Uint8Array;
}

/**
 * Splits lines into buckets and parses each separately, as all lines together
 * may exceed the maximum length of a string.
 *
 * @param lines lines of JSON, each with its line end
 * @returns the buckets in order
 */
export function* splitRows(lines: Uint8Array): IterableIterator<SplitRows> {
  const decoder = new TextDecoder();
  let start = 0;
  while (start < lines.length) {
    const end = findBucketEnd(lines, start);
    const text = decoder.decode(lines.subarray(start, end - 1));
    // JSON escapes newlines inside strings, so each newline byte ends a row.
    const rows = JSON.parse(`[${text.replaceAll('\n', ',')}]`) as unknown[];
    yield {rows, bytes: lines.slice(start, end)};
    start = end;
  }
}

function findBucketEnd(lines: Uint8Array, start: number): number {
  let end = start;
  for (let count = 0; count < BUCKET_SIZE && end < lines.length; count += 1) {
    end = lines.indexOf(NEWLINE, end) + 1;
  }
  return end;
}
