/**
 * Queues requests that arrive before the configuration and the server list.
 *
 * After a restart both arrive within some hundred milliseconds, and the caller
 * of a rejected request would retry only later than that. A request therefore
 * waits for a small fraction of the time until its deadline before it is
 * rejected.
 */

/**
 * Longest wait, milliseconds. If control has not responded by then, it is
 * probably unavailable for much longer.
 */
const MAX_WAIT_MS = 600;

/** Longest wait as a fraction of the time until the request's deadline. */
const MAX_WAIT_FRACTION = 0.2;

/** Queue limit; further requests are rejected. */
const MAX_QUEUED = 2_000;

interface QueuedRequest {
  readonly timer: NodeJS.Timeout;
  readonly retry: () => void;
  readonly refuse: () => void;
}

/** Holds requests until they can be admitted, or for a limited time. */
export class StartupQueue {
  readonly #queued = new Set<QueuedRequest>();

  /**
   * @param timeLeftMs time until the request's deadline, milliseconds
   * @param retry attempts the admission of the request
   * @param refuse rejects the request when its wait is over
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

  /** Attempts the admission of all queued requests, in order of arrival. */
  retryAll(): void {
    for (const {retry} of this.#takeAll()) retry();
  }

  /** Rejects all queued requests. */
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
