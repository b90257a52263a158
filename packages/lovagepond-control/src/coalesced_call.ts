/**
 * Coalesces concurrent calls into one.
 *
 * A caller never gets the result of a call that started before its own request:
 * the leader that answered that call may have been partitioned since.
 */

/** Runs one call for all concurrent callers. */
export class CoalescedCall<Result> {
  readonly #call: () => Promise<Result>;
  #running: Promise<Result> | undefined;
  #next: Promise<Result> | undefined;

  /** @param call starts a call */
  constructor(call: () => Promise<Result>) {
    this.#call = call;
  }

  /**
   * @returns the result of a call that starts now or, if one is running, when
   *     that one has ended
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
