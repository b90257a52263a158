/**
 * Clock, log and waiting of the measures that run real parts in real time.
 */
import {type Clock, type Logger} from '@lovagepond/core';

const POLL_MS = 20;

/** Present time of this process. */
export const MEASURE_CLOCK: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
};

/** Drops every line. */
export const NO_LOG: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** @param isMet says whether the wait is over */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise(resolve => setTimeout(resolve, POLL_MS));
}
