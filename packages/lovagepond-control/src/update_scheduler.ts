/**
 * When subscribers are sent what they lack: at once, or soon and all together.
 */

/** Runs one function, however often it is asked for meanwhile. */
export class UpdateScheduler {
  readonly #run: () => void;
  #immediate: NodeJS.Immediate | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** @param run sends every subscriber what it lacks */
  constructor(run: () => void) {
    this.#run = run;
  }

  /** Runs once what is being handled now is done. */
  runSoon(): void {
    this.#immediate ??= setImmediate(() => {
      this.#immediate = undefined;
      this.#run();
    });
  }

  /** @param delayMs longest wait for others, milliseconds */
  runWithin(delayMs: number): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#run();
    }, delayMs);
  }

  /** Runs no more. */
  stop(): void {
    clearImmediate(this.#immediate);
    clearTimeout(this.#timer);
  }
}
