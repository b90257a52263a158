/**
 * A queue of keys ordered by their times, for expiry.
 */

/** With fewer removed keys, compaction costs more than it saves. */
const COMPACT_LENGTH = 1_024;

/** A queue of keys with non-decreasing times; amortized constant time. */
export class ExpiryQueue {
  #keys: string[] = [];
  #times: number[] = [];
  #head = 0;

  /**
   * @param key the key
   * @param timeMs its time, not earlier than that of any key pushed before
   */
  push(key: string, timeMs: number): void {
    this.#keys.push(key);
    this.#times.push(timeMs);
  }

  /**
   * @param timeMs a time
   * @returns the oldest key, now removed, if its time is at or before `timeMs`
   */
  takeUntil(timeMs: number): string | undefined {
    const oldest = this.#times[this.#head];
    if (oldest === undefined || oldest > timeMs) return undefined;
    const key = this.#keys[this.#head];
    this.#head += 1;
    this.#compact();
    return key;
  }

  clear(): void {
    this.#keys = [];
    this.#times = [];
    this.#head = 0;
  }

  #compact(): void {
    if (this.#head < COMPACT_LENGTH) return;
    if (this.#head * 2 < this.#keys.length) return;
    this.#keys = this.#keys.slice(this.#head);
    this.#times = this.#times.slice(this.#head);
    this.#head = 0;
  }
}
