/**
 * The margins between the durations that were seen and those to expect.
 */
import {type RecentValues} from './core_recent_values.js';

export const DURATION_MARGINS = Object.freeze({
  /** Similar responses without which there is no bound. */
  MIN_ANSWERS: 20,
  /** Servers may turn slower by about this factor. */
  SLOWDOWN_FACTOR: 2.1,
  /** Exceeds the slowest of many responses, and of `MIN_ANSWERS` twice. */
  SLOWEST_FACTOR: 1.25,
  FEW_ANSWERS_FACTOR: 0.75,
  /** Streams whose requests don't tell their tokens may have any length. */
  UNTOLD_MIN_ANSWERS: 50,
  UNTOLD_FACTOR: 3,
  /** Time in which long ones would have been seen, milliseconds. */
  UNTOLD_OBSERVED_MS: 30_000,
  /**
   * A bound is known once responses were observed for this many times as long.
   * Of responses that began together, the short ones end first.
   */
  OBSERVED_FACTOR: 2,
});

/**
 * @param usualMs most similar responses take no longer
 * @param slowestMs the longest that was seen of similar responses
 * @param answers number of similar responses
 * @returns bound for servers that turn slower, and for what was not seen yet
 */
export function withMargins(
  usualMs: number,
  slowestMs: number,
  answers: number,
): number {
  const {SLOWDOWN_FACTOR, SLOWEST_FACTOR, FEW_ANSWERS_FACTOR, MIN_ANSWERS} =
    DURATION_MARGINS;
  const few = (FEW_ANSWERS_FACTOR * MIN_ANSWERS) / answers;
  const slowestBoundMs = slowestMs * (SLOWEST_FACTOR + few);
  return Math.max(usualMs * SLOWDOWN_FACTOR, slowestBoundMs);
}

/**
 * @param recent similar responses
 * @param durationMs a duration, milliseconds
 * @param now current time, monotonic milliseconds
 * @returns whether a response of that duration would have been seen
 */
export function isObserved(
  recent: RecentValues,
  durationMs: number,
  now: number,
): boolean {
  const neededMs = durationMs * DURATION_MARGINS.OBSERVED_FACTOR;
  return now - recent.since >= neededMs;
}
