/**
 * One question for all who ask at the same time.
 *
 * Whoever asks gets an answer to a question that began after it asked: an earlier
 * one may have been answered by a leader that a partition has cut off since.
 */

/** Asks once for many. */
export class SharedAnswer<Answer> {
  readonly #ask: () => Promise<Answer>;
  #running: Promise<Answer> | undefined;
  #next: Promise<Answer> | undefined;

  /** @param ask asks anew */
  constructor(ask: () => Promise<Answer>) {
    this.#ask = ask;
  }

  /**
   * @returns the answer to a question that begins now, or as soon as the one under
   *     way has ended
   */
  get(): Promise<Answer> {
    if (!this.#running) return this.#begin();
    this.#next ??= this.#afterRunning(this.#running);
    return this.#next;
  }

  async #afterRunning(running: Promise<Answer>): Promise<Answer> {
    await running.catch(() => undefined);
    this.#next = undefined;
    return this.#begin();
  }

  #begin(): Promise<Answer> {
    const answer = this.#ask();
    this.#running = answer;
    const end = (): void => {
      if (this.#running === answer) this.#running = undefined;
    };
    answer.then(end, end);
    return answer;
  }
}
