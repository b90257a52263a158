/**
 * Counters of one pool's admission control, for operators.
 */
import {type QueuedRequest} from './load_admission_queue.js';
import {
  type AdmissionRefusalReason,
  type AdmissionRequest,
} from './load_types.js';

/** Workspaces counted by name; the others are counted together. */
const MAX_WORKSPACES = 64;
const OTHER = 'other';

/** Counts by name. */
export type Counts = Readonly<Record<string, number>>;

/** State of one pool's admission control, as plain JSON. */
export interface AdmissionState {
  readonly congested: boolean;
  readonly waiting: number;
  readonly late: number;
  readonly bytes: number;
  readonly waitingByWorkspace: Counts;
  readonly bytesByWorkspace: Counts;
  readonly waitingByPriority: Counts;
  readonly refusedByReason: Counts;
  readonly refusedByWorkspace: Counts;
  /** Sum and number of the waits of requests that left the queue to start. */
  readonly waitMsSum: number;
  readonly waitCount: number;
  readonly engagedServers: number;
  readonly windows: Readonly<
    Record<string, Readonly<Record<string, number | boolean>>>
  >;
}

/** Adds to a count; names beyond the limit are counted as "other". */
function addBounded(
  counts: Map<string, number>,
  name: string,
  amount: number,
): void {
  const known = counts.has(name) || counts.size < MAX_WORKSPACES;
  const key = known ? name : OTHER;
  counts.set(key, (counts.get(key) ?? 0) + amount);
}

/** Refusals and waits since the start. */
export class AdmissionCounts {
  readonly #refusedByReason = new Map<AdmissionRefusalReason, number>();
  readonly #refusedByWorkspace = new Map<string, number>();
  #waitMsSum = 0;
  #waitCount = 0;

  /**
   * @param reason why a request was refused
   * @param workspace its workspace
   */
  noteRefused(reason: AdmissionRefusalReason, workspace: string): void {
    const count = this.#refusedByReason.get(reason) ?? 0;
    this.#refusedByReason.set(reason, count + 1);
    addBounded(this.#refusedByWorkspace, workspace, 1);
  }

  /** @param waitMs how long a request waited that starts now, milliseconds */
  noteWait(waitMs: number): void {
    this.#waitMsSum += waitMs;
    this.#waitCount += 1;
  }

  /**
   * @param waiting the waiting requests
   * @returns counts of them, and of refusals and waits since the start
   */
  describe<R extends AdmissionRequest>(
    waiting: Iterable<QueuedRequest<R>>,
  ): Pick<
    AdmissionState,
    | 'waitingByWorkspace'
    | 'bytesByWorkspace'
    | 'waitingByPriority'
    | 'refusedByReason'
    | 'refusedByWorkspace'
    | 'waitMsSum'
    | 'waitCount'
  > {
    const byWorkspace = new Map<string, number>();
    const bytes = new Map<string, number>();
    const byPriority = new Map<string, number>();
    for (const {workspace, priority, req} of waiting) {
      addBounded(byWorkspace, workspace, 1);
      addBounded(bytes, workspace, req.bytes);
      addBounded(byPriority, String(priority), 1);
    }
    return {
      waitingByWorkspace: Object.fromEntries(byWorkspace),
      bytesByWorkspace: Object.fromEntries(bytes),
      waitingByPriority: Object.fromEntries(byPriority),
      refusedByReason: Object.fromEntries(this.#refusedByReason),
      refusedByWorkspace: Object.fromEntries(this.#refusedByWorkspace),
      waitMsSum: Math.round(this.#waitMsSum),
      waitCount: this.#waitCount,
    };
  }
}
