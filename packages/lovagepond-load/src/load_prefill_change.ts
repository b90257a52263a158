/**
 * Decides which changes of pending prompt tokens are worth a message.
 */

/**
 * Changes of the pending tokens at one server that are too small for a message:
 * fewer tokens than this are computed before a report arrives.
 */
const MIN_CHANGE_TOKENS = 256;

/** Smallest change of larger numbers, as a fraction of the number sent. */
const MIN_CHANGE_PART = 0.25;

/**
 * @param sent pending tokens that were last sent
 * @param current pending tokens now
 * @returns true if the change alone is reason enough for a message
 */
export function hasPrefillChanged(sent: number, current: number): boolean {
  const least = Math.max(MIN_CHANGE_TOKENS, sent * MIN_CHANGE_PART);
  return Math.abs(current - sent) > least;
}
