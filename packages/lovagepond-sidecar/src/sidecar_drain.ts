/**
 * Draining: running requests finish, new ones are refused, and held ones are
 * served only if they end within the limit.
 */
import {DrainBound, type ResponseWork} from '@lovagepond/core';
import {type Offer} from './sidecar_types.js';

/** A server works more slowly at times than its mean rate says. */
const MEAN_RATE_FACTOR = 2;

function workOf({tokens}: Offer): ResponseWork {
  return {pool: '', isStream: true, outputTokens: tokens};
}

/** Draining state of the sidecar, and how long runs at its server take. */
export class SidecarDrain {
  readonly #bound = new DrainBound();

  /** @returns true while draining */
  get draining(): boolean {
    return this.#bound.isDraining;
  }

  /**
   * @param now current time
   * @param limitMs longest time for requests in flight, milliseconds
   */
  start(now: number, limitMs: number): void {
    this.#bound.begin(now + limitMs);
  }

  /** Cancels draining. */
  resume(): void {
    this.#bound.cancel();
  }

  /**
   * @param offer a request that was run to its end
   * @param totalMs its run time, milliseconds
   * @param now current time
   */
  noteRun(offer: Offer, totalMs: number, now: number): void {
    const times = {firstMs: 0, totalMs, events: undefined};
    this.#bound.noteAnswered(workOf(offer), times, now);
  }

  /**
   * @param offer a request that was not dispatched
   * @param waitMs expected wait until its dispatch, milliseconds
   * @param meanMs time that the server needs for it and for all running work at
   *     its mean rate, milliseconds; Infinity if that must not be relied on
   * @param now current time
   * @returns true when the request ends within the limit
   */
  mayServe(offer: Offer, waitMs: number, meanMs: number, now: number): boolean {
    const latestAt = this.#bound.latestRunAt(
      workOf(offer),
      offer.deadlineAt,
      now,
      meanMs * MEAN_RATE_FACTOR,
    );
    return now + waitMs <= latestAt;
  }
}
