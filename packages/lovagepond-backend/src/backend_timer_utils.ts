/**
 * Timers for deadlines in the far future, and sets of timers.
 */

/** Maximum delay of a Node timer; Node fires a longer one at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * @param delayMs milliseconds until the action; any value
 * @param action called after the delay
 * @returns the timer
 */
export function startTimer(
  delayMs: number,
  action: () => void,
): NodeJS.Timeout {
  return setTimeout(action, Math.min(delayMs, MAX_TIMER_MS));
}

/** A set of pending timers that can be stopped together. */
export class TimerSet {
  readonly #timers = new Set<NodeJS.Timeout>();

  /**
   * @param delayMs milliseconds until the action
   * @param action called after the delay
   */
  start(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, delayMs);
    this.#timers.add(timer);
  }

  /** Stops all pending timers without calling their actions. */
  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }
}
