/**
 * Keys in the order of the times they were put in, which never fall.
 */

/** Below this length a compaction isn't worth its copy. */
const COMPACT_LENGTH = 1_024;

/** A queue of keys with non-decreasing times, in amortized constant time. */
export class ExpiryQueue {
  #keys: string[] = [];
  #times: number[] = [];
  #head = 0;

  /**
   * @param key the key
   * @param timeMs its time, not before any time put in earlier
   */
  push(key: string, timeMs: number): void {
    this.#keys.push(key);
    this.#times.push(timeMs);
  }

  /**
   * @param timeMs a time
   * @returns the oldest key if its time is at or before `timeMs`, taken out
   */
  takeUntil(timeMs: number): string | undefined {
    const oldest = this.#times[this.#head];
    if (oldest === undefined || oldest > timeMs) return undefined;
    const key = this.#keys[this.#head];
    this.#head += 1;
    this.#compact();
    return key;
  }

  /** Takes everything out. */
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
