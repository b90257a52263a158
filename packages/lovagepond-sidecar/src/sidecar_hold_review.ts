/**
 * Finds waiting requests that by now can't be served in time. They are
 * answered at once: kept until their time is up, they would hold a place that
 * others need, and their callers would learn the same later.
 */
import {type SidecarDrain} from './sidecar_drain.js';
import {type HeldRequest, type SidecarFairQueue} from './sidecar_fair_queue.js';
import {type SidecarWaitEstimate} from './sidecar_wait_estimate.js';

/** A wait estimated this much longer than the time left is given up. */
const GIVE_UP_MARGIN = 1.25;

/** What the review looks at. */
export interface HoldReviewView {
  readonly queue: SidecarFairQueue;
  readonly estimate: SidecarWaitEstimate;
  readonly drain: SidecarDrain;
  /** Room at the engine now. */
  readonly roomTokens: number;
}

/** Waiting requests that should go, still in the queue. */
export interface HoldReview {
  /** They don't fit before the end of the planned leave. */
  readonly leaving: readonly HeldRequest[];
  /** They would be served too late. */
  readonly late: readonly HeldRequest[];
}

/**
 * @param view the queue and what is expected of it
 * @param now present time
 * @returns the requests to answer now
 */
export function reviewHeld(view: HoldReviewView, now: number): HoldReview {
  const leaving: HeldRequest[] = [];
  const late: HeldRequest[] = [];
  const {queue, estimate, drain, roomTokens} = view;
  queue.forEachWithTokensAhead((held, tokensAhead) => {
    const {tokens} = held.offer;
    const waitMs = estimate.waitMs(tokensAhead + tokens - roomTokens);
    if (!drain.mayServe(waitMs + estimate.serviceMs(tokens), now)) {
      leaving.push(held);
      return false;
    }
    if (waitMs <= (held.giveUpAt - now) * GIVE_UP_MARGIN) return true;
    late.push(held);
    return false;
  });
  return {leaving, late};
}
