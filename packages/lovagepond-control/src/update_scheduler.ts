/**
 * Schedules updates to subscribers: immediately, or batched after a delay.
 */

/** Runs a function once for all requests that come before the run. */
export class UpdateScheduler {
  readonly #run: () => void;
  #immediate: NodeJS.Immediate | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** @param run sends pending updates to every subscriber */
  constructor(run: () => void) {
    this.#run = run;
  }

  /** Schedules a run after the events that are being handled now. */
  runSoon(): void {
    this.#immediate ??= setImmediate(() => {
      this.#immediate = undefined;
      this.#run();
    });
  }

  /**
   * Schedules a run after a delay, unless one is scheduled already.
   *
   * @param delayMs delay, milliseconds
   */
  runWithin(delayMs: number): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#run();
    }, delayMs);
  }

  /** Cancels scheduled runs. */
  stop(): void {
    clearImmediate(this.#immediate);
    clearTimeout(this.#timer);
  }
}
