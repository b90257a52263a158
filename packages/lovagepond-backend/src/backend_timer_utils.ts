/**
 * Timers for deadlines that may lie far ahead.
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
