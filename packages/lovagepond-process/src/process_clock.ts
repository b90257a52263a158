/**
 * The process's clock.
 */
import {type Clock} from '@lovagepond/core';

/** Reads the host's clocks; the monotonic one counts from the process's start. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }
}
