/**
 * Records of where streams began, bounded by number and age.
 */
import {type HashKey} from '@lovagepond/router/rendezvous_hash';
import {isSameOrigin, type StreamOrigin} from './gateway_stream_origin.js';

/** Records kept; the ones written first are dropped. */
const MAX_RECORDS = 65_536;

/** Interval between sweeps of all records, milliseconds. */
const SWEEP_INTERVAL_MS = 5_000;

interface StreamRecord {
  /** Unset if two different origins were recorded. */
  readonly origin: StreamOrigin | undefined;
  /** Monotonic milliseconds. */
  readonly until: number;
}

/** @returns a text that identifies the key */
export function textOfKey({low, high}: HashKey): string {
  return `${high.toString(36)}.${low.toString(36)}`;
}

export class StreamRecords {
  /** In the order of the last write. */
  readonly #records = new Map<string, StreamRecord>();
  #sweptAt = Number.NEGATIVE_INFINITY;

  get size(): number {
    return this.#records.size;
  }

  /**
   * A request id that two streams share identifies neither of them.
   *
   * @param key of the request that brought the stream's first event
   * @param origin the servers that can continue the stream
   * @param until when the record may be dropped, monotonic milliseconds
   */
  add(key: HashKey, origin: StreamOrigin, until: number): void {
    const text = textOfKey(key);
    const known = this.#records.get(text);
    const isSame =
      !known || (known.origin && isSameOrigin(known.origin, origin));
    this.#records.delete(text);
    this.#records.set(text, {
      origin: isSame ? origin : undefined,
      until: Math.max(until, known?.until ?? 0),
    });
    for (const oldest of this.#records.keys()) {
      if (this.#records.size <= MAX_RECORDS) return;
      this.#records.delete(oldest);
    }
  }

  /**
   * @param key of the request that brought the stream's first event
   * @param now current time, monotonic milliseconds
   * @returns the servers that can continue the stream, if they are known
   */
  find(key: HashKey, now: number): StreamOrigin | undefined {
    const record = this.#records.get(textOfKey(key));
    return record && record.until > now ? record.origin : undefined;
  }

  /**
   * Frees the memory of old records, which {@link find} skips. Must be called
   * periodically; most calls do nothing.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    for (const [key, {until}] of this.#records) {
      if (until <= now) this.#records.delete(key);
    }
  }
}
