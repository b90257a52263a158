/**
 * Samples the demand of many workspaces, so that the sums over all gateways stay
 * right although each gateway lists only some workspaces.
 *
 * With only the largest ones listed, a workspace that is small at each of 370
 * gateways would be missing from most reports, and its sum far too low.
 */

/** A workspace and its demand, in ms of server time per second. */
export type DemandEntry = readonly [workspace: string, msPerS: number];

/** Its multiples modulo 1 cover the range from 0 to 1 evenly. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/**
 * Systematic sampling: a workspace above a threshold is listed as it is. One
 * below it is listed with the threshold in as many phases as its demand is a
 * part of it, so that its mean over all phases is its demand.
 *
 * @param offered demand by workspace, each above 0
 * @param limit number of entries
 * @param phase 0 to 1
 * @returns at most `limit` entries, with the sum of all demand
 */
export function sampleDemand(
  offered: readonly DemandEntry[],
  limit: number,
  phase: number,
): readonly DemandEntry[] {
  if (offered.length <= limit) return offered;
  const descending = [...offered].sort(([, a], [, b]) => b - a);
  let rest = descending.reduce((sum, [, msPerS]) => sum + msPerS, 0);
  let large = 0;
  for (const [, msPerS] of descending) {
    if (large >= limit - 1 || msPerS * (limit - large) < rest) break;
    rest -= msPerS;
    large += 1;
  }
  const listed = descending.slice(0, large);
  const threshold = rest / (limit - large);
  let until = phase * threshold;
  for (const [workspace, msPerS] of descending.slice(large)) {
    until -= msPerS;
    if (until >= 0 || listed.length >= limit) continue;
    listed.push([workspace, threshold]);
    until += threshold;
  }
  return listed;
}

/**
 * @param node the gateway's name: gateways must not sample in the same phase
 * @param report number of the report
 * @returns the phase of its sample, 0 to 1
 */
export function samplePhase(node: string, report: number): number {
  let hash = 0;
  for (const char of node) {
    hash = (hash * 31 + (char.codePointAt(0) ?? 0)) % 9_973;
  }
  return ((hash + report) * GOLDEN_RATIO) % 1;
}
