/**
 * Decides how many retries routers may send, so that in every window the servers
 * of a pool get no more than the pool's allowance.
 */
import {
  REQUEST_SPAN_MS,
  RETRY_ANSWER_MS,
  RETRY_ARRIVAL_MS,
  type RetryAllowance,
} from '@lovagepond/core';
import {type RetryGrant} from './retry_grants.js';

/**
 * Part of the slack that nobody is granted. It is for gateways that control
 * doesn't answer: each may have saved a retry before the window.
 */
const RESERVED_PART = 1 / 16;

/** Counts the requests of a pool between two times, monotonic milliseconds. */
export type RequestCounter = (fromMs: number, toMs: number) => number;

/**
 * @param allowance the allowance
 * @returns time for which grants count, milliseconds
 */
export function grantKeptMs({windowMs}: RetryAllowance): number {
  return windowMs + RETRY_ARRIVAL_MS + RETRY_ANSWER_MS + REQUEST_SPAN_MS;
}

/**
 * @param allowance the allowance
 * @returns time for which requests count, milliseconds
 */
export function requestKeptMs(allowance: RetryAllowance): number {
  return grantKeptMs(allowance) + allowance.windowMs;
}

/**
 * A retry arrives up to {@link RETRY_ARRIVAL_MS} after its grant, so a window
 * gets the grants from so long before it. The requests that count are those of
 * the window, of the one before, or of the one half a window before, whichever
 * are most. Windows that begin a little later than now matter as well: requests
 * may end, and with them what they allow.
 *
 * @param allowance what the pool's servers may get in a window
 * @param requests the pool's requests
 * @param grants the pool's retries that were granted, the oldest first
 * @param now current time, monotonic milliseconds
 * @returns retries that may be granted now, and be sent
 */
export function retriesLeft(
  {fraction, windowMs, slack}: RetryAllowance,
  requests: RequestCounter,
  grants: readonly RetryGrant[],
  now: number,
): number {
  const grantable = slack * (1 - RESERVED_PART);
  const end = now + RETRY_ARRIVAL_MS + RETRY_ANSWER_MS;
  let from = Math.floor((now - windowMs) / REQUEST_SPAN_MS) * REQUEST_SPAN_MS;
  let granted = grants.reduce((sum, {count}) => sum + count, 0);
  let next = 0;
  let left = Infinity;
  for (; from <= end; from += REQUEST_SPAN_MS) {
    for (; next < grants.length; next += 1) {
      const {at, count} = grants[next] as RetryGrant;
      if (at > from - RETRY_ARRIVAL_MS) break;
      granted -= count;
    }
    const counted = [0, windowMs / 2, windowMs].map(back =>
      requests(from - back, from - back + windowMs),
    );
    const allowed = Math.floor(Math.max(...counted) * fraction + grantable);
    left = Math.min(left, allowed - granted);
  }
  return Math.max(0, left);
}

/** Retries that a router asks for, by pool. */
export type WantedRetries = ReadonlyMap<string, number>;

/**
 * Shares out what is left: one retry to each router by turns, so that none gets
 * more than it would if all asked for as many.
 *
 * @param questions what each router wants
 * @param leftOf retries that are left in a pool
 * @returns what each router gets, in the order of the questions
 */
export function shareRetries(
  questions: readonly WantedRetries[],
  leftOf: (pool: string) => number,
): Map<string, number>[] {
  const granted = questions.map(() => new Map<string, number>());
  const pools = new Set(questions.flatMap(wanted => [...wanted.keys()]));
  for (const pool of pools) {
    let left = leftOf(pool);
    let isWanted = true;
    while (left > 0 && isWanted) {
      isWanted = false;
      for (const [at, wanted] of questions.entries()) {
        const got = granted[at]?.get(pool) ?? 0;
        if (left === 0 || got >= (wanted.get(pool) ?? 0)) continue;
        granted[at]?.set(pool, got + 1);
        left -= 1;
        isWanted = true;
      }
    }
  }
  return granted;
}

/**
 * @param granted retries by pool, with pools that occur several times
 * @returns the sum of each pool
 */
export function sumByPool(
  granted: readonly (readonly [pool: string, count: number])[],
): (readonly [pool: string, count: number])[] {
  const sums = new Map<string, number>();
  for (const [pool, count] of granted) {
    sums.set(pool, (sums.get(pool) ?? 0) + count);
  }
  return [...sums];
}
