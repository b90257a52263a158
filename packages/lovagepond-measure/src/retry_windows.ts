/**
 * Compares the arrivals of retries at a pool with what its budget allows, in
 * every window.
 */

import {type RetryAllowance} from '@lovagepond/core';

/** Retries of one window. */
export interface RetryWindow {
  /** Start, in the times' unit. */
  readonly from: number;
  readonly retries: number;
  readonly allowed: number;
}

/** @returns the first index whose time isn't before the given one */
function indexFrom(times: readonly number[], from: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((times[middle] ?? 0) < from) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** @returns the number of times within `[from, to)` */
export function countWithin(
  times: readonly number[],
  from: number,
  to: number,
): number {
  return indexFrom(times, to) - indexFrom(times, from);
}

/**
 * @param requests when callers sent their requests, in order, milliseconds
 * @param retries when requests arrived at servers beyond their first arrival, in
 *     order, milliseconds
 * @param allowance the budget. The requests that count are those of the window,
 *     of the one before, or of the one half a window before, whichever are most
 * @returns each window that begins with a retry
 */
export function retryWindows(
  requests: readonly number[],
  retries: readonly number[],
  allowance: RetryAllowance,
): RetryWindow[] {
  return windowsFrom(retries, requests, retries, allowance);
}

/**
 * @param starts where windows begin, milliseconds
 * @param requests when callers sent their requests, in order, milliseconds
 * @param retries when retries arrived at servers, in order, milliseconds
 * @param allowance the budget
 * @returns these windows
 */
export function windowsFrom(
  starts: readonly number[],
  requests: readonly number[],
  retries: readonly number[],
  {fraction, windowMs, slack}: RetryAllowance,
): RetryWindow[] {
  return starts.map(from => {
    const counted = [0, windowMs / 2, windowMs].map(back =>
      countWithin(requests, from - back, from - back + windowMs),
    );
    return {
      from,
      retries: countWithin(retries, from, from + windowMs),
      allowed: Math.floor(Math.max(...counted) * fraction + slack),
    };
  });
}

/**
 * @param windows some windows
 * @returns the one that lies furthest over what is allowed, or least under
 */
export function worstWindow(
  windows: readonly RetryWindow[],
): RetryWindow | undefined {
  let worst: RetryWindow | undefined;
  const excess = (one: RetryWindow): number => one.retries - one.allowed;
  for (const one of windows) {
    if (!worst || excess(one) > excess(worst)) worst = one;
  }
  return worst;
}
