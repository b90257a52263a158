/**
 * What every role (router, sidecar, control) offers the program that runs it,
 * and what it is given.
 */

/** Present time. Deciders never read it: shells pass it in. */
export interface Clock {
  /** @returns monotonic milliseconds; only differences have a meaning */
  now(): number;
  /** @returns milliseconds since the Unix epoch */
  wallTime(): number;
}

/** Values that may stand in a log line: ids and numbers, never bodies. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Structured log, implemented over a library by the platform package. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** A process's state as versioned JSON: bounded in size, without secrets. */
export interface StateDump {
  readonly version: number;
  readonly role: string;
  readonly state: Readonly<Record<string, unknown>>;
}

/** One running role. */
export interface Role {
  /** Binds its addresses and starts; resolves when it can be reached. */
  start(): Promise<void>;
  /** @returns true when the platform's balancer may send it work */
  isReady(): boolean;
  /**
   * Graceful shutdown: readiness goes first, then requests in flight finish.
   *
   * @param limitMs longest time to wait for them, milliseconds
   */
  drain(limitMs: number): Promise<void>;
  /** Ends at once; drain first to cut nothing. */
  stop(): Promise<void>;
  /** @returns its state for an operator */
  dump(): StateDump;
}
