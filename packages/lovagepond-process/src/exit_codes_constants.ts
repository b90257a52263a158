/**
 * The program's exit codes.
 */

/** Exit codes, as reported to the shell or service manager. */
export const EXIT_CODE = {
  OK: 0,
  /** Internal error; the last log line describes it. */
  INTERNAL: 1,
  /** The command line is invalid. */
  USAGE: 2,
  /** The settings are invalid; nothing was started. */
  SETTINGS: 3,
  /** An address or the data folder could not be opened. */
  START: 4,
  /** Requests were still open when the drain limit expired. */
  DRAIN_LIMIT: 5,
  /** A second SIGINT stopped the process at once. */
  FORCED: 6,
  /** `ctl`: control is unreachable or has no leader. */
  UNREACHABLE: 7,
  /** `ctl`: control rejected the request. */
  REFUSED: 8,
  /**
   * `ctl convergence --wait`: some routers or sidecars had not applied the
   * revision within the limit.
   */
  NOT_CONVERGED: 9,
  /** `explain`: no log line mentions the request. */
  NOT_FOUND: 10,
} as const;

export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Meanings of the exit codes, for help texts. */
export const EXIT_CODE_MEANINGS: Readonly<Record<ExitCode, string>> = {
  0: 'success',
  1: 'internal error',
  2: 'the command line is invalid',
  3: 'the settings have faults; nothing was started',
  4: 'an address or the data folder could not be opened',
  5: 'requests were still in flight when the drain limit expired',
  6: 'a second SIGINT stopped the process at once',
  7: 'ctl: control is unreachable or has no leader',
  8: 'ctl: control rejected the request',
  9: 'ctl convergence --wait: not applied everywhere within the limit',
  10: 'explain: no log line mentions the request',
};
