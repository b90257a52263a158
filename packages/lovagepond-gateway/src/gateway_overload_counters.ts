/**
 * Counters of admission control over all pools, for metrics. The counts of a
 * pool start anew when its admission control is removed and added again.
 */
import {type AdmissionRefusalReason} from '@lovagepond/load';

/** Counts since the start. */
export interface OverloadCounts {
  readonly refusedByReason: Readonly<Record<string, number>>;
  /** Requests that waited and were then sent to a server. */
  readonly waitedRequests: number;
  /** Sum of their waits, seconds. */
  readonly waitSeconds: number;
}

const MS_PER_SECOND = 1_000;

export class OverloadCounters {
  readonly #refused = new Map<AdmissionRefusalReason, number>();
  #waitedRequests = 0;
  #waitMs = 0;

  read(): OverloadCounts {
    return {
      refusedByReason: Object.fromEntries(this.#refused),
      waitedRequests: this.#waitedRequests,
      waitSeconds: this.#waitMs / MS_PER_SECOND,
    };
  }

  /** @param reason why a request was refused */
  noteRefused(reason: AdmissionRefusalReason): void {
    this.#refused.set(reason, (this.#refused.get(reason) ?? 0) + 1);
  }

  /** @param waitMs time that a request waited before it was sent, ms */
  noteWait(waitMs: number): void {
    this.#waitedRequests += 1;
    this.#waitMs += waitMs;
  }
}
