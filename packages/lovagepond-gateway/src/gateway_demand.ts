/**
 * The demand that gateways report to each other, and its protocol messages.
 */
import {type DemandSums, isPlausibleDemand} from '@lovagepond/load';
import {type lovagepond} from '@lovagepond/protocol';

type WireDemand = lovagepond.v1.PoolDemand.$Properties;

/**
 * Workspaces that a report lists by pool. Each report goes to the leader and to
 * each other member: with 480 workspaces from each of 370 gateways, members
 * would read 355,000 entries a second.
 */
const MAX_REPORTED_WORKSPACES = 64;

/** Demand of one congested pool at this gateway. */
export interface OwnDemand {
  readonly pool: string;
  /** Work sent to servers, milliseconds of server time per second. */
  readonly servedMsPerS: number;
  /** Work offered, served or not, by workspace; in the same unit. */
  readonly offered: ReadonlyMap<string, number>;
}

/** Measures this gateway's demand, and uses that of the other gateways. */
export interface DemandSource {
  /**
   * @param now current time, monotonic milliseconds
   * @returns the demand in each congested pool
   */
  takeDemand(now: number): readonly OwnDemand[];
  /**
   * @param sums demand of the other gateways by pool
   * @param now current time, monotonic milliseconds
   */
  applyDemand(sums: ReadonlyMap<string, DemandSums>, now: number): void;
}

/**
 * @param demand this gateway's demand in a pool; implausible values are left out
 * @returns the protocol message, with the largest workspaces
 */
export function toWireDemand(demand: OwnDemand): WireDemand {
  const descending = [...demand.offered]
    .map(([workspace, offered]) => ({workspace, offered: toCount(offered)}))
    .filter(({offered}) => offered > 0)
    .sort((a, b) => b.offered - a.offered);
  return {
    pool: demand.pool,
    served: toCount(demand.servedMsPerS),
    workspaces: descending.slice(0, MAX_REPORTED_WORKSPACES),
    unlisted: descending
      .slice(MAX_REPORTED_WORKSPACES)
      .reduce((sum, {offered}) => sum + offered, 0),
  };
}

/**
 * @param digest the demand of the other gateways, by pool
 * @returns the sums by pool
 */
export function readSums(
  digest: readonly WireDemand[],
): ReadonlyMap<string, DemandSums> {
  return new Map(digest.map(one => [one.pool ?? '', readPool(one)]));
}

function readPool(demand: WireDemand): DemandSums {
  const offered = (demand.workspaces ?? []).map(
    one => [one.workspace ?? '', one.offered ?? 0] as const,
  );
  return {
    servedMsPerS: demand.served ?? 0,
    gateways: demand.routers ?? 0,
    offered: new Map(offered),
    unlistedMsPerS: demand.unlisted ?? 0,
    unlistedWorkspaces: demand.unlistedWorkspaces ?? 0,
  };
}

/** A value that doesn't fit in a uint32 would be truncated by the encoder. */
function toCount(msPerS: number): number {
  return isPlausibleDemand(msPerS) ? Math.round(msPerS) : 0;
}
