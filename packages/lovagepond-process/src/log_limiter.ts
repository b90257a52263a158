/**
 * Drops log lines while the reader of standard output is slow.
 *
 * The output stream buffers unread lines in memory. Without a limit, a stalled
 * log collector would make each process grow until it is killed: by 0.1 MB per
 * second at 400 lines per second.
 */
import {type LogLevel} from './process_logger.js';

/**
 * Buffered bytes at which lines of a level are dropped. The lower limit holds
 * some seconds of routine lines. The higher one leaves as much room again for
 * warnings and errors, which show why requests failed.
 */
const MAX_BUFFERED_BYTES: Readonly<Record<LogLevel, number>> = {
  debug: 512 * 1024,
  info: 512 * 1024,
  warn: 1024 * 1024,
  error: 1024 * 1024,
};

export type DroppedLines = Readonly<Record<LogLevel, number>>;

const NO_DROPPED_LINES: DroppedLines = Object.freeze({
  debug: 0,
  info: 0,
  warn: 0,
  error: 0,
});

/** Decides on each line whether it is written, and counts the dropped ones. */
export class LogLimiter {
  #dropped = NO_DROPPED_LINES;

  /**
   * @param level the line's level
   * @param bufferedBytes bytes that the reader has not consumed yet
   * @returns false when the line must be dropped; it is then counted
   */
  accepts(level: LogLevel, bufferedBytes: number): boolean {
    if (bufferedBytes < MAX_BUFFERED_BYTES[level]) return true;
    this.#dropped = {...this.#dropped, [level]: this.#dropped[level] + 1};
    return false;
  }

  /** @returns lines dropped since the last call; undefined when none were */
  takeDropped(): DroppedLines | undefined {
    const dropped = this.#dropped;
    this.#dropped = NO_DROPPED_LINES;
    return dropped === NO_DROPPED_LINES ? undefined : dropped;
  }
}
