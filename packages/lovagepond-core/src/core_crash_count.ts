/**
 * Counts crashes of servers, so that a power failure is not taken for several.
 */

/** A crash that counts against a subject. */
export interface CountedCrash {
  /** Identifies one run of the server. */
  readonly server: string;
  /** Milliseconds. */
  readonly at: number;
}

/**
 * This many crashes within this time (milliseconds) are assumed to have a
 * common cause, such as a power failure, and count as one.
 */
const COMMON_CAUSE_CRASHES = 3;
const COMMON_CAUSE_MS = 200;

/**
 * @param crashes crashes of different servers
 * @returns their number; those with a common cause count as one
 */
export function countCrashes(crashes: readonly CountedCrash[]): number {
  const times = crashes.map(({at}) => at).sort((a, b) => a - b);
  let count = 0;
  for (let from = 0; from < times.length;) {
    const first = times[from] ?? 0;
    const together = times.filter(
      time => time >= first && time - first <= COMMON_CAUSE_MS,
    ).length;
    count += together >= COMMON_CAUSE_CRASHES ? 1 : together;
    from += together;
  }
  return count;
}
