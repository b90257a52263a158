/**
 * Requests that came before this process knew enough to decide on them.
 *
 * After a restart the configuration and the list of servers arrive within some
 * hundred milliseconds. Refused, a request would come back only later than
 * that; it waits a small part of its time instead, and is then refused.
 */

/** Longest wait, milliseconds: control is there by then, or not for long. */
const MAX_WAIT_MS = 600;

/** Part of its time that a request may wait here. */
const MAX_WAIT_FRACTION = 0.2;

/** Requests that may wait at once; further ones are refused. */
const MAX_QUEUED = 2_000;

interface QueuedRequest {
  readonly timer: NodeJS.Timeout;
  readonly retry: () => void;
  readonly refuse: () => void;
}

/** Holds requests for a short time. */
export class StartupQueue {
  readonly #queued = new Set<QueuedRequest>();

  /**
   * @param timeLeftMs the request's time
   * @param retry decides on the request once more
   * @param refuse answers the request when its wait has been in vain
   */
  add(timeLeftMs: number, retry: () => void, refuse: () => void): void {
    if (this.#queued.size >= MAX_QUEUED) {
      refuse();
      return;
    }
    const waitMs = Math.min(MAX_WAIT_MS, timeLeftMs * MAX_WAIT_FRACTION);
    const timer = setTimeout(() => {
      this.#queued.delete(queued);
      refuse();
    }, waitMs);
    const queued = {timer, retry, refuse};
    this.#queued.add(queued);
  }

  /** Decides on all that wait, in the order of their arrival. */
  retryAll(): void {
    for (const {retry} of this.#takeAll()) retry();
  }

  /** Answers all that wait, as nothing will be decided here any more. */
  refuseAll(): void {
    for (const {refuse} of this.#takeAll()) refuse();
  }

  #takeAll(): readonly QueuedRequest[] {
    const queued = [...this.#queued];
    this.#queued.clear();
    for (const {timer} of queued) clearTimeout(timer);
    return queued;
  }
}
