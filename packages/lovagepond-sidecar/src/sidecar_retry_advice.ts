/**
 * Tells refused callers when to come back.
 *
 * All that were refused lately of one workspace form a line that is worked off
 * at the server's rate, and each is told the time of its place in it. Told the
 * same short time, a surge would come back at once, be refused again, and
 * double itself. The lines are apart, so that a quiet workspace is not told to
 * stay away for another's surge.
 */
import {type Random} from '@lovagepond/core';
import {type Offer} from './sidecar_types.js';
import {type SidecarWaitEstimate} from './sidecar_wait_estimate.js';

const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 60_000;
/** Lines above this number are looked through for those worked off. */
const MAX_WORKSPACES = 1_024;
/** Share of the time by which callers of one instant are spread. */
const JITTER_SHARE = 0.5;

/** Spreads the return of refused callers over the work that they bring. */
export class SidecarRetryAdvice {
  readonly #estimate: SidecarWaitEstimate;
  readonly #random: Random;
  /** When the work of those refused so far would be done, by workspace. */
  readonly #doneAt = new Map<string, number>();

  /**
   * @param estimate how fast the server works
   * @param random spreads callers of one instant
   */
  constructor(estimate: SidecarWaitEstimate, random: Random) {
    this.#estimate = estimate;
    this.#random = random;
  }

  /**
   * @param offer the refused request
   * @param missingMs time after which it would have been taken
   * @param now present time
   * @returns when to come back, milliseconds
   */
  retryAfterMs(offer: Offer, missingMs: number, now: number): number {
    const {workspace, tokens} = offer;
    const backlogEndsAt = Math.max(this.#doneAt.get(workspace) ?? now, now);
    const uncappedDoneAt = backlogEndsAt + this.#estimate.waitMs(tokens);
    const doneAt = Math.min(uncappedDoneAt, now + MAX_RETRY_MS);
    this.#put(workspace, doneAt, now);
    const waitMs = missingMs + doneAt - now;
    const base = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
    return Math.round(base * (1 + JITTER_SHARE * this.#random.next()));
  }

  #put(workspace: string, doneAt: number, now: number): void {
    this.#doneAt.set(workspace, doneAt);
    if (this.#doneAt.size <= MAX_WORKSPACES) return;
    for (const [name, time] of this.#doneAt) {
      if (time <= now) this.#doneAt.delete(name);
    }
  }
}
