/**
 * Finds held requests that can no longer be served in time. They are refused at
 * once: kept until their deadline, they would occupy places in the queue that
 * others need, and their callers could retry only later.
 */
import {type HeldQueue, type HeldRequest} from './sidecar_held_queue.js';
import {type Offer} from './sidecar_types.js';
import {type SidecarWaitEstimate} from './sidecar_wait_estimate.js';

/** Ratio of estimated wait to time left above which a request is refused. */
const GIVE_UP_MARGIN = 1.25;

export interface HoldReviewView {
  readonly queue: HeldQueue;
  readonly estimate: SidecarWaitEstimate;
  /** False when a request ends only after the drain limit. */
  readonly mayServe: (offer: Offer, waitMs: number) => boolean;
  /** Free capacity of the engine, tokens. */
  readonly roomTokens: number;
}

/** Held requests that should be refused, still in the queue. */
export interface HoldReview {
  /** They can't be served before the drain limit. */
  readonly leaving: readonly HeldRequest[];
  /** They can't be served before their deadline or hold limit. */
  readonly late: readonly HeldRequest[];
}

/**
 * @param view the queue, its estimates and the draining state
 * @param now current time
 * @returns the requests to refuse now
 */
export function reviewHeld(view: HoldReviewView, now: number): HoldReview {
  const leaving: HeldRequest[] = [];
  const late: HeldRequest[] = [];
  const {queue, estimate, mayServe, roomTokens} = view;
  queue.forEachWithCostAhead((held, tokensAhead) => {
    const {tokens} = held.offer;
    const waitMs = estimate.waitMs(tokensAhead + tokens - roomTokens);
    if (!mayServe(held.offer, waitMs)) {
      leaving.push(held);
      return false;
    }
    if (waitMs <= (held.giveUpAt - now) * GIVE_UP_MARGIN) return true;
    late.push(held);
    return false;
  });
  return {leaving, late};
}
