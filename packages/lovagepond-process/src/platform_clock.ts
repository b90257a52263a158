/**
 * The process's clock.
 */
import {type Clock} from '@lovagepond/core';

/** Reads the host's monotonic and wall clocks. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }
}
