/**
 * Ends a process whose last log lines nobody reads.
 */

/** Time that the reader gets to take the last lines, milliseconds. */
const STALLED_OUTPUT_MS = 500;

/**
 * To be called when all work is done and the exit code is set. The process ends by
 * itself once its output is written; a reader that has stalled would else keep it
 * until it is killed, and its exit code with it. Whatever else is still open is left
 * to end in good order: `process.exit` waits for nothing.
 */
export function exitOnStalledOutput(): void {
  setTimeout(() => {
    if (process.stdout.writableLength > 0) process.exit();
  }, STALLED_OUTPUT_MS).unref();
}
