/**
 * The system clock.
 */
import {type Clock} from '@lovagepond/core';

/** Reads the host's clocks; the monotonic one starts with the process. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }
}
