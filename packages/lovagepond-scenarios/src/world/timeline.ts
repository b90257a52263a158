/**
 * Virtual time: events run in the order of their times, and events of the same
 * time in the order in which they were scheduled.
 */

interface TimelineEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Clock and event queue of one scenario; time starts at 0 milliseconds. */
export class Timeline {
  #now = 0;
  #order = 0;
  readonly #events: TimelineEvent[] = [];

  /** Current virtual time, milliseconds. */
  get now(): number {
    return this.#now;
  }

  /**
   * @param delayMs milliseconds from now
   * @param run called at that time
   */
  schedule(delayMs: number, run: () => void): void {
    const at = this.#now + delayMs;
    const event = {at, order: this.#order++, run};
    const index = this.#events.findLastIndex(other => other.at <= at);
    this.#events.splice(index + 1, 0, event);
  }

  /**
   * @param intervalMs milliseconds between two runs
   * @param run called each time, until the scenario ends
   */
  repeat(intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run();
      this.repeat(intervalMs, run);
    });
  }

  /** @param durationMs milliseconds by which the time advances */
  advance(durationMs: number): void {
    const until = this.#now + durationMs;
    for (;;) {
      const next = this.#events[0];
      if (!next || next.at > until) break;
      this.#events.shift();
      this.#now = next.at;
      next.run();
    }
    this.#now = until;
  }
}
