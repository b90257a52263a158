/**
 * Time that travels inside commands, so that all members expire alike.
 *
 * It counts the monotonic time that leaders saw pass. Wall clocks are not
 * used: a leader whose clock stands a day ahead would expire every key of the
 * ledger at once, and the keys' calls would be granted a second time. A gap
 * without any leader isn't counted, which only lengthens retention.
 */

/** Reads and advances replicated time. */
export class ReplicatedTime {
  #timeMs = 0;
  /** Local monotonic time when `#timeMs` last rose. */
  #advancedAt: number | undefined;

  /** @returns the time of the last applied command */
  get timeMs(): number {
    return this.#timeMs;
  }

  /**
   * @param now local monotonic time
   * @returns the time to put into a command proposed now
   */
  stamp(now: number): number {
    this.#advancedAt ??= now;
    return this.#timeMs + Math.max(0, Math.floor(now - this.#advancedAt));
  }

  /**
   * Takes the time of a command that is applied. It never falls: a command
   * stamped by a former leader changes nothing.
   *
   * @param timeMs the command's time
   * @param now local monotonic time; undefined while the log is replayed
   * @returns the replicated time that the command runs at
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
