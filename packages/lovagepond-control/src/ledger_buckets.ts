/**
 * Encoded entries in buckets, so that a snapshot encodes only what changed.
 *
 * Encoded at once, a million entries would hold up the loop for longer than an
 * election timeout, and the leader would lose its office at each snapshot. An
 * entry changes soon after it is made and then rests until it expires, so
 * nearly all buckets are as they were at the last snapshot.
 */

/** Entries of one bucket, in the order in which they were made. */
const BUCKET_SIZE = 1_024;

const NEWLINE = 0x0a;

interface Bucket {
  readonly keys: Set<string>;
  encoded: Uint8Array | undefined;
}

/** Encodes the entry of a key. */
export type EncodeKey = (key: string) => string;

const encoder = new TextEncoder();

/** The buckets of all entries. */
export class LedgerBuckets {
  readonly #buckets = new Map<number, Bucket>();
  readonly #bucketOfKey = new Map<string, number>();
  #assignedCount = 0;

  /** @param key a key whose entry was made or changed */
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
   * Takes over a bucket of a snapshot with its bytes, so that the first
   * snapshot after a restart doesn't encode all entries anew.
   *
   * @param keys its keys, in the order of the lines
   * @param encoded its lines
   */
  adopt(keys: readonly string[], encoded: Uint8Array): void {
    const id = Math.ceil(this.#assignedCount / BUCKET_SIZE);
    for (const key of keys) this.#bucketOfKey.set(key, id);
    this.#buckets.set(id, {keys: new Set(keys), encoded});
    this.#assignedCount = (id + 1) * BUCKET_SIZE;
  }

  /** @param key a key whose entry is gone */
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

  /** Forgets all. */
  clear(): void {
    this.#buckets.clear();
    this.#bucketOfKey.clear();
    this.#assignedCount = 0;
  }

  /**
   * @param encode encodes one entry as JSON
   * @returns lines of JSON, one entry each, in the order of their making
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

/** Rows of one bucket, parsed, with their bytes. */
export interface SplitRows {
  readonly rows: readonly unknown[];
  /** A copy: the whole snapshot's memory is freed. */
  readonly bytes: Uint8Array;
}

/**
 * Splits lines into buckets. They are parsed bucket by bucket: all together
 * may be longer than any string can be.
 *
 * @param lines lines of JSON, each with its line end
 * @returns the buckets in their order
 */
export function* splitRows(lines: Uint8Array): IterableIterator<SplitRows> {
  const decoder = new TextDecoder();
  let start = 0;
  while (start < lines.length) {
    const end = findBucketEnd(lines, start);
    const text = decoder.decode(lines.subarray(start, end - 1));
    // A line end inside a JSON string is escaped, so each one ends a row.
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
