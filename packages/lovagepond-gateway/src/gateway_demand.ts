/**
 * The demand that gateways report to each other, and its protocol messages.
 */
import {
  type DemandSums,
  isPlausibleDemand,
  type MeasuredDemand,
} from '@lovagepond/load';
import {type lovagepond} from '@lovagepond/protocol';
import {sampleDemand} from './gateway_demand_sample.js';

type WireDemand = lovagepond.v1.PoolDemand.$Properties;

/**
 * Workspaces that a report lists by pool. Each report goes to the leader and to
 * each other member: with 480 workspaces from each of 370 gateways, members
 * would read 355,000 entries a second.
 */
const MAX_REPORTED_WORKSPACES = 64;

/** Demand of one congested pool at this gateway. */
export interface OwnDemand extends MeasuredDemand {
  readonly pool: string;
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
 * @param phase phase of the sample of many workspaces, 0 to 1
 * @returns the protocol message
 */
export function toWireDemand(demand: OwnDemand, phase: number): WireDemand {
  const offered = [...demand.offered].filter(
    ([, msPerS]) => msPerS > 0 && isPlausibleDemand(msPerS),
  );
  const listed = sampleDemand(offered, MAX_REPORTED_WORKSPACES, phase);
  return {
    pool: demand.pool,
    served: toCount(demand.servedMsPerS),
    workspaces: listed
      .map(([workspace, msPerS]) => ({workspace, offered: toCount(msPerS)}))
      .filter(one => one.offered > 0),
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
