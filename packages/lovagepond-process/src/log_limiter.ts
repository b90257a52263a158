/**
 * Decides which log lines are dropped while their reader is slow.
 *
 * Lines that nobody reads are kept in memory by the stream. Without a bound, a
 * log collector that stalls would make each process grow until it is ended for it:
 * at 400 lines a second by 0.1 MB a second.
 */
import {type LogLevel} from './process_logger.js';

/**
 * Bytes that may wait for the reader before routine lines are dropped, and before
 * all are: some seconds of lines, and room for as many warnings, which tell why
 * requests failed.
 */
const MAX_BUFFERED_BYTES: Readonly<Record<LogLevel, number>> = {
  debug: 512 * 1024,
  info: 512 * 1024,
  warn: 1024 * 1024,
  error: 1024 * 1024,
};

/** Numbers of lines dropped, by level. */
export type DroppedLines = Readonly<Record<LogLevel, number>>;

const NO_DROPPED_LINES: DroppedLines = Object.freeze({
  debug: 0,
  info: 0,
  warn: 0,
  error: 0,
});

/** Counts what it lets pass by. */
export class LogLimiter {
  #dropped = NO_DROPPED_LINES;

  /**
   * @param level a line's level
   * @param bufferedBytes bytes that the reader hasn't taken yet
   * @returns false when the line is to be dropped; it is then counted
   */
  accepts(level: LogLevel, bufferedBytes: number): boolean {
    if (bufferedBytes < MAX_BUFFERED_BYTES[level]) return true;
    this.#dropped = {...this.#dropped, [level]: this.#dropped[level] + 1};
    return false;
  }

  /** @returns what was dropped since the last call; undefined when nothing was */
  takeDropped(): DroppedLines | undefined {
    const dropped = this.#dropped;
    this.#dropped = NO_DROPPED_LINES;
    return dropped === NO_DROPPED_LINES ? undefined : dropped;
  }
}
