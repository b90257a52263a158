/**
 * Attempts that count as work of the engine: dispatched, or waiting for their
 * claim.
 */
import {type SidecarAdmission} from './sidecar_admission.js';
import {type Offer} from './sidecar_types.js';

/** One attempt that counts as running. */
export interface Run {
  readonly offer: Offer;
  readonly heldAt: number;
  readonly startedAt: number;
}

/** Tracks running attempts and updates the admission's token count. */
export class SidecarRuns {
  readonly #admission: SidecarAdmission;
  readonly #runs = new Map<string, Run>();

  /** @param admission updated at each start and end of a run */
  constructor(admission: SidecarAdmission) {
    this.#admission = admission;
  }

  /** @returns number of running attempts */
  get size(): number {
    return this.#runs.size;
  }

  /**
   * @param attemptId an attempt
   * @returns its run, or undefined
   */
  find(attemptId: string): Run | undefined {
    return this.#runs.get(attemptId);
  }

  /** @returns all running attempts */
  all(): readonly Run[] {
    return [...this.#runs.values()];
  }

  /**
   * @param offer the attempt
   * @param heldAt when it was queued
   * @param now current time
   */
  start(offer: Offer, heldAt: number, now: number): void {
    this.#runs.set(offer.attemptId, {offer, heldAt, startedAt: now});
    this.#admission.start(offer.tokens, now);
  }

  /**
   * @param attemptId an attempt whose run has ended
   * @param now current time
   * @returns the run; undefined when the attempt is not running
   */
  end(attemptId: string, now: number): Run | undefined {
    const run = this.#runs.get(attemptId);
    if (!run) return undefined;
    this.#runs.delete(attemptId);
    this.#admission.finish(run.offer.tokens, now);
    this.#admission.recordRunTime(now - run.startedAt);
    return run;
  }

  /**
   * @param workspace a workspace's name
   * @returns its running tokens
   */
  tokensOf(workspace: string): number {
    let tokens = 0;
    for (const {offer} of this.#runs.values()) {
      if (offer.workspace === workspace) tokens += offer.tokens;
    }
    return tokens;
  }
}
