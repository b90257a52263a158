/**
 * Bounds the age of the list of backend servers that routers act on.
 *
 * A server that leaves serves on for its drain time after control has confirmed
 * it. All that a router's list may lag behind adds up to less than that: the age
 * at which the list counts as stale, and the time to get it from another member.
 */

/** Part of the drain time after which the list counts as stale. */
const LIST_AGE_PART = 0.6;

/**
 * Lowest limit, milliseconds. Below it the checks and heartbeats themselves would
 * make each list stale; a shorter drain time can't be kept.
 */
const MIN_LIST_AGE_MS = 500;

/** Heartbeats of control in the time in which the list becomes stale. */
const HEARTBEATS_PER_AGE = 3;

/**
 * @param drainTimeoutMs drain time of backend servers, milliseconds
 * @param defaultMs the limit where the drain time allows more, milliseconds
 * @returns age at which the list of servers counts as stale, milliseconds
 */
export function listAgeLimitMs(
  drainTimeoutMs: number,
  defaultMs: number,
): number {
  const allowedMs = Math.max(MIN_LIST_AGE_MS, drainTimeoutMs * LIST_AGE_PART);
  return Math.min(defaultMs, allowedMs);
}

/**
 * @param ageLimitMs age at which the list of servers counts as stale, ms
 * @param defaultMs the interval where the limit allows more, milliseconds
 * @returns interval of control's heartbeats, milliseconds
 */
export function heartbeatIntervalMs(
  ageLimitMs: number,
  defaultMs: number,
): number {
  return Math.min(defaultMs, ageLimitMs / HEARTBEATS_PER_AGE);
}
