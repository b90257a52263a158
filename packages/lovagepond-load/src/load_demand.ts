/**
 * Demand that gateways exchange, and the plausible range of its values.
 */

/** Sums of the demand of all other gateways in one pool. */
export interface DemandSums {
  /** Work sent to servers, milliseconds of server time per second. */
  readonly servedMsPerS: number;
  /** The other gateways that report the pool. */
  readonly gateways: number;
  /** Work offered, by workspace, in the same unit; only the largest ones. */
  readonly offered: ReadonlyMap<string, number>;
  /** Work offered by all workspaces that are not listed. */
  readonly unlistedMsPerS: number;
  /** Number of workspaces that are not listed. */
  readonly unlistedWorkspaces: number;
}

/** Work of one request, milliseconds: an hour exceeds every deadline. */
const MAX_WORK_MS = 3_600_000;

/**
 * Work per second at one gateway: that of 100,000 servers. A single larger
 * value would make the demand of all other gateways insignificant.
 */
const MAX_DEMAND_MS_PER_S = 100_000_000;

/** @returns true for the work of a request, in ms, that can be counted */
export function isPlausibleWork(workMs: number): boolean {
  return workMs > 0 && workMs <= MAX_WORK_MS;
}

/** @returns true for one gateway's demand, in ms per s, that can be summed */
export function isPlausibleDemand(msPerS: number): boolean {
  return msPerS >= 0 && msPerS <= MAX_DEMAND_MS_PER_S;
}
