/**
 * Time that is replicated inside commands, so that all members expire entries
 * alike.
 *
 * It accumulates the monotonic time that elapses at the leaders. Wall clocks
 * aren't used: a leader whose clock is a day ahead would expire every key of
 * the ledger at once, and its call could be granted a second time. Time without
 * a leader isn't counted, which only lengthens retention.
 */

/** The replicated time of one member. */
export class ReplicatedTime {
  #timeMs = 0;
  /** Local monotonic time when `#timeMs` last increased. */
  #advancedAt: number | undefined;

  /** @returns the highest time among the applied commands */
  get timeMs(): number {
    return this.#timeMs;
  }

  /**
   * @param now local monotonic time
   * @returns the time with which to stamp a command that is proposed now
   */
  stamp(now: number): number {
    this.#advancedAt ??= now;
    return this.#timeMs + Math.max(0, Math.floor(now - this.#advancedAt));
  }

  /**
   * Advances to the time of a command that is being applied. Replicated time
   * never decreases: a lower time, stamped by a previous leader, is ignored.
   *
   * @param timeMs the command's time
   * @param now local monotonic time; undefined while the log is replayed
   * @returns the replicated time at which the command is applied
   */
  advance(timeMs: number, now: number | undefined): number {
    if (timeMs > this.#timeMs) {
      this.#timeMs = timeMs;
      this.#advancedAt = now;
    }
    return this.#timeMs;
  }

  /** @param timeMs the time of a restored snapshot */
  restore(timeMs: number): void {
    this.#timeMs = timeMs;
    this.#advancedAt = undefined;
  }
}
