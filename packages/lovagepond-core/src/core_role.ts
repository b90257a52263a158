/**
 * Interfaces between a role (router, sidecar, control) and the program that
 * runs it.
 */

/**
 * Source of the current time. Code that makes decisions doesn't read a clock: it
 * takes the time as an argument.
 */
export interface Clock {
  /** @returns monotonic milliseconds; only differences are meaningful */
  now(): number;
  /** @returns milliseconds since the Unix epoch */
  wallTime(): number;
}

/** Fields of a log line: ids and numbers, never request bodies. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Structured log, implemented over a library by the process package. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** A process's state as versioned JSON, bounded in size and without secrets. */
export interface StateDump {
  readonly version: number;
  readonly role: string;
  readonly state: Readonly<Record<string, unknown>>;
}

/** How a drain ended. */
export interface DrainResult {
  /** Requests that were still open at the limit; 0 when all work ended. */
  readonly unfinished: number;
}

/**
 * @param results results of roles or servers that drained together
 * @returns their result as a whole
 */
export function sumDrainResults(results: readonly DrainResult[]): DrainResult {
  return {
    unfinished: results.reduce((sum, {unfinished}) => sum + unfinished, 0),
  };
}

/** A service that a process runs, such as a router or a member of control. */
export interface Role {
  /** Binds its addresses and starts; resolves once it accepts connections. */
  start(): Promise<void>;
  /** @returns true when the platform's load balancer may send it requests */
  isReady(): boolean;
  /**
   * Shuts down gracefully: withdraws readiness, then waits for the requests in
   * flight.
   *
   * @param limitMs longest time to wait for those requests, milliseconds
   * @returns the number of requests that `stop` would abort
   */
  drain(limitMs: number): Promise<DrainResult>;
  /**
   * Stops at once and aborts the requests in flight. A graceful shutdown calls
   * `drain` first.
   */
  stop(): Promise<void>;
  /** @returns the role's state, for operators */
  dump(): StateDump;
}
