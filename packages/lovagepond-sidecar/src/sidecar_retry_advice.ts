/**
 * Computes when refused callers should retry.
 *
 * The recently refused requests of a workspace form a virtual queue that drains
 * at the server's rate, and each caller receives the time of its position in
 * it. With one short time for all, the requests of a surge would return
 * together, be refused again, and double the surge. The queues are separate, so
 * that a quiet workspace is not delayed by the surge of another.
 */
import {type Random} from '@lovagepond/core';
import {type Offer} from './sidecar_types.js';
import {type SidecarWaitEstimate} from './sidecar_wait_estimate.js';

const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 60_000;
/** Number of workspaces above which drained queues are removed. */
const CLEANUP_THRESHOLD = 1_024;
/** Maximum jitter as a share of the retry time. */
const JITTER_SHARE = 0.5;

/** Spreads retries over the time that the refused work takes. */
export class SidecarRetryAdvice {
  readonly #estimate: SidecarWaitEstimate;
  readonly #random: Random;
  /** When the refused work would be done, by workspace. */
  readonly #doneAt = new Map<string, number>();

  /**
   * @param estimate processing rate of the server
   * @param random adds jitter to callers refused at the same time
   */
  constructor(estimate: SidecarWaitEstimate, random: Random) {
    this.#estimate = estimate;
    this.#random = random;
  }

  /**
   * @param offer the refused request
   * @param missingMs time by which its expected wait exceeds the limit,
   *     milliseconds
   * @param now current time
   * @returns time until the caller should retry, milliseconds
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
    if (this.#doneAt.size <= CLEANUP_THRESHOLD) return;
    for (const [name, time] of this.#doneAt) {
      if (time <= now) this.#doneAt.delete(name);
    }
  }
}
