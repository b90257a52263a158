/**
 * Exit codes of the program.
 */

/** What each exit code says to the shell or service manager that reads it. */
export const EXIT_CODE = {
  OK: 0,
  /** A fault of the program; the log's last line tells. */
  INTERNAL: 1,
  /** The command line could not be read. */
  USAGE: 2,
  /** The settings have faults; nothing was started. */
  SETTINGS: 3,
  /** An address or the data folder could not be opened. */
  START: 4,
  /** The shutdown limit passed with requests still in flight. */
  DRAIN_LIMIT: 5,
  /** A second signal ended the process at once. */
  FORCED: 6,
  /** `ctl`: control could not be reached or has no leader. */
  UNREACHABLE: 7,
  /** `ctl`: control refused the request. */
  REFUSED: 8,
  /** `ctl convergence --wait`: not in force everywhere within the limit. */
  NOT_CONVERGED: 9,
  /** `explain`: no line names the request. */
  NOT_FOUND: 10,
} as const;

/** One of the values of {@link EXIT_CODE}. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Exit codes with their meaning, for help texts. */
export const EXIT_CODE_MEANINGS: Readonly<Record<ExitCode, string>> = {
  0: 'success',
  1: 'a fault of the program',
  2: 'the command line could not be read',
  3: 'the settings have faults; nothing was started',
  4: 'an address or the data folder could not be opened',
  5: 'the shutdown limit passed with requests still in flight',
  6: 'a second signal ended the process at once',
  7: 'ctl: control could not be reached or has no leader',
  8: 'ctl: control refused the request',
  9: 'ctl convergence --wait: not in force everywhere within the limit',
  10: 'explain: no line names the request',
};
