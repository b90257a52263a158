/**
 * Computes when refused callers should retry.
 *
 * The recently refused requests of a workspace form a virtual queue that drains
 * at the rate at which its requests are served, and each caller receives the
 * time of its position in it. With one short time for all, the requests of a
 * surge would return together, be refused again, and double the surge. The
 * queues are separate, so that a quiet workspace is not delayed by the surge of
 * another.
 */
import {type Random} from '@lovagepond/core';

const MAX_RETRY_MS = 60_000;
/** Number of workspaces above which drained queues are removed. */
const CLEANUP_THRESHOLD = 1_024;
/** Maximum jitter as a share of the retry time. */
const JITTER_SHARE = 0.5;

/** Spreads retries over the time that the refused work takes. */
export class RetryAdvice {
  readonly #minRetryMs: number;
  readonly #random: Random;
  /** When the refused work would be done, by workspace. */
  readonly #doneAt = new Map<string, number>();

  /**
   * @param minRetryMs shortest retry time before jitter, milliseconds
   * @param random adds jitter to callers refused at the same time
   */
  constructor(minRetryMs: number, random: Random) {
    this.#minRetryMs = minRetryMs;
    this.#random = random;
  }

  /**
   * @param workspace workspace of the refused request
   * @param drainMs time in which the workspace's queue drains by this request,
   *     milliseconds
   * @param missingMs time by which its expected wait exceeds the limit,
   *     milliseconds
   * @param now current time
   * @returns time until the caller should retry, milliseconds
   */
  retryAfterMs(
    workspace: string,
    drainMs: number,
    missingMs: number,
    now: number,
  ): number {
    const backlogEndsAt = Math.max(this.#doneAt.get(workspace) ?? now, now);
    const doneAt = Math.min(backlogEndsAt + drainMs, now + MAX_RETRY_MS);
    this.#put(workspace, doneAt, now);
    const waitMs = missingMs + doneAt - now;
    const base = Math.min(MAX_RETRY_MS, Math.max(this.#minRetryMs, waitMs));
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
