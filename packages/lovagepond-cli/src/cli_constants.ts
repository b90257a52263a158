/**
 * Name, version and roles of the program.
 */

/** The program's name on the command line. */
export const PROGRAM_NAME = 'lovagepond';

/** The program's version. */
export const VERSION = '0.1.0';

/** The roles that a process can run. */
export const ROLE_NAMES = ['router', 'sidecar', 'control', 'gateway'] as const;

/** One of {@link ROLE_NAMES}. */
export type RoleName = (typeof ROLE_NAMES)[number];
