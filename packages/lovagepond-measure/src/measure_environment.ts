/**
 * Clock, logger and polling for measurements that run in real time.
 */
import {type Clock, type Logger} from '@lovagepond/core';

const POLL_MS = 20;

/** The real clock of this process. */
export const MEASURE_CLOCK: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
};

/** Discards every log entry. */
export const NO_LOG: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** @param isMet polled until it returns true */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise(resolve => setTimeout(resolve, POLL_MS));
}
