/**
 * Counts events within sliding seconds.
 */

const SECOND_MS = 1_000;

/**
 * @param times of events, in order, milliseconds
 * @returns the most of them within any second
 */
export function mostInASecond(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  for (const [at, time] of times.entries()) {
    while (time - (times[first] ?? 0) >= SECOND_MS) first += 1;
    most = Math.max(most, at - first + 1);
  }
  return most;
}
