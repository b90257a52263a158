/**
 * One question for all who ask at the same time.
 *
 * Whoever asks gets an answer to a question that began after it asked: an earlier
 * one may have been answered by a leader that a partition has cut off since.
 */

/** Asks once for many. */
export class CoalescedCall<Result> {
  readonly #call: () => Promise<Result>;
  #running: Promise<Result> | undefined;
  #next: Promise<Result> | undefined;

  /** @param call asks anew */
  constructor(call: () => Promise<Result>) {
    this.#call = call;
  }

  /**
   * @returns the answer to a question that begins now, or as soon as the one under
   *     way has ended
   */
  get(): Promise<Result> {
    if (!this.#running) return this.#start();
    this.#next ??= this.#afterRunning(this.#running);
    return this.#next;
  }

  async #afterRunning(running: Promise<Result>): Promise<Result> {
    await running.catch(() => undefined);
    this.#next = undefined;
    return this.#start();
  }

  #start(): Promise<Result> {
    const result = this.#call();
    this.#running = result;
    const end = (): void => {
      if (this.#running === result) this.#running = undefined;
    };
    result.then(end, end);
    return result;
  }
}
