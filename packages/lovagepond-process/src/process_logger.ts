/**
 * Structured logs: one JSON line per message on standard output.
 *
 * Fields are ids and numbers. The type of the fields excludes request bodies,
 * and the logger has no access to bodies or tokens.
 */
import './roarr_environment.js';
import {type LogFields, type Logger} from '@lovagepond/core';
import {Roarr} from 'roarr';
import {LogLimiter} from './log_limiter.js';

/** Log levels in ascending severity. */
export const LOG_LEVEL = {
  DEBUG: 'debug',
  INFO: 'info',
  WARN: 'warn',
  ERROR: 'error',
} as const;

export type LogLevel = (typeof LOG_LEVEL)[keyof typeof LOG_LEVEL];

const LEVEL_ORDER: Readonly<Record<LogLevel, number>> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

/** Writes one message; by default with roarr. */
export type LogWriter = (
  level: LogLevel,
  fields: LogFields,
  message: string,
) => void;

const limiter = new LogLimiter();

const writeWithRoarr: LogWriter = (level, fields, message) => {
  if (!limiter.accepts(level, process.stdout.writableLength)) return;
  const dropped = limiter.takeDropped();
  if (dropped) Roarr.warn({...dropped}, 'log lines dropped');
  Roarr[level]({...fields}, message);
};

export class RoarrLogger implements Logger {
  readonly #context: LogFields;
  readonly #write: LogWriter;
  #level: LogLevel;

  /**
   * @param level the lowest level that is written
   * @param context fields added to each line, such as role and name
   * @param write writes the lines; tests pass their own function
   */
  constructor(
    level: LogLevel,
    context: LogFields = {},
    write: LogWriter = writeWithRoarr,
  ) {
    this.#level = level;
    this.#context = context;
    this.#write = write;
  }

  /** @param level the lowest level that is written from now on */
  setLevel(level: LogLevel): void {
    this.#level = level;
  }

  debug(message: string, fields?: LogFields): void {
    this.#log('debug', message, fields);
  }

  info(message: string, fields?: LogFields): void {
    this.#log('info', message, fields);
  }

  warn(message: string, fields?: LogFields): void {
    this.#log('warn', message, fields);
  }

  error(message: string, fields?: LogFields): void {
    this.#log('error', message, fields);
  }

  #log(level: LogLevel, message: string, fields: LogFields = {}): void {
    if (LEVEL_ORDER[level] < LEVEL_ORDER[this.#level]) return;
    this.#write(level, {...this.#context, ...fields}, message);
  }
}
