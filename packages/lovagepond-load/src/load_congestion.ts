/**
 * Since when a pool is congested, and how long late requests may wait for it.
 */
import {type AdmissionRequest} from './load_types.js';

/**
 * Late requests wait until the pool has been congested for this part of their
 * time from arrival to deadline. Served under a longer overload, they would
 * displace requests that can be in target.
 */
const LATE_CONGESTION_PART = 0.5;

/** Congestion of one pool as one gateway sees it. */
export class Congestion {
  #since: number | undefined;

  /** @returns true while the pool is congested */
  get active(): boolean {
    return this.#since !== undefined;
  }

  /**
   * @param congested whether requests wait or a window limits what is sent
   * @param now current time
   */
  note(congested: boolean, now: number): void {
    if (congested) this.#since ??= now;
    else this.#since = undefined;
  }

  /**
   * @param req a late request
   * @returns until when it may wait; Infinity without congestion
   */
  lateUntil({arrivedAt, deadlineAt}: AdmissionRequest): number {
    if (this.#since === undefined) return Infinity;
    return this.#since + LATE_CONGESTION_PART * (deadlineAt - arrivedAt);
  }
}
