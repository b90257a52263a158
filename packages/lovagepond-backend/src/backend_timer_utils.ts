/**
 * Timers for deadlines that may lie far ahead, and timers that end together.
 */

/** Node fires a longer timer at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * @param delayMs milliseconds until the action, however many
 * @param action what to do then
 * @returns the timer
 */
export function startTimer(
  delayMs: number,
  action: () => void,
): NodeJS.Timeout {
  return setTimeout(action, Math.min(delayMs, MAX_TIMER_MS));
}

/** Timers that are still to fire. */
export class TimerSet {
  readonly #timers = new Set<NodeJS.Timeout>();

  /**
   * @param delayMs milliseconds until the action
   * @param action what to do then
   */
  start(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, delayMs);
    this.#timers.add(timer);
  }

  /** Ends all of them without their actions. */
  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }
}
