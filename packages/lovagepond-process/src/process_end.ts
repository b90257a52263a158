/**
 * Keeps a stalled reader of standard output from blocking a process's exit.
 */

/** Time that the reader has to consume the remaining output, milliseconds. */
const STALLED_OUTPUT_MS = 500;

/**
 * Exits the process if its output is still unread after a short time. Call it
 * when all work is done and the exit code is set.
 *
 * Node exits by itself once the output is written. With a stalled reader, the
 * process would stay until it is killed, and its exit code would be lost. When
 * the output has been read, the process is left to close other open handles in
 * order, since `process.exit` doesn't wait for them.
 */
export function exitOnStalledOutput(): void {
  setTimeout(() => {
    if (process.stdout.writableLength > 0) process.exit();
  }, STALLED_OUTPUT_MS).unref();
}
