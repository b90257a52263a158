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
const WAIT_PART = 0.2;

/** Requests that may wait at once; further ones are refused. */
const MAX_WAITING = 2_000;

interface Waiting {
  readonly timer: NodeJS.Timeout;
  readonly retry: () => void;
  readonly refuse: () => void;
}

/** Holds requests for a short time. */
export class WaitingRoom {
  readonly #waiting = new Set<Waiting>();

  /**
   * @param timeLeftMs the request's time
   * @param retry decides on the request once more
   * @param refuse answers the request when its wait has been in vain
   */
  add(timeLeftMs: number, retry: () => void, refuse: () => void): void {
    if (this.#waiting.size >= MAX_WAITING) {
      refuse();
      return;
    }
    const waitMs = Math.min(MAX_WAIT_MS, timeLeftMs * WAIT_PART);
    const timer = setTimeout(() => {
      this.#waiting.delete(waiting);
      refuse();
    }, waitMs);
    const waiting = {timer, retry, refuse};
    this.#waiting.add(waiting);
  }

  /** Decides on all that wait, in the order of their arrival. */
  retryAll(): void {
    for (const {retry} of this.#takeAll()) retry();
  }

  /** Answers all that wait, as nothing will be decided here any more. */
  refuseAll(): void {
    for (const {refuse} of this.#takeAll()) refuse();
  }

  #takeAll(): readonly Waiting[] {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const {timer} of waiting) clearTimeout(timer);
    return waiting;
  }
}
