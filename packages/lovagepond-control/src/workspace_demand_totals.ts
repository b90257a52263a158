/**
 * Sums of all routers' demand by pool and workspace.
 *
 * Each router divides a congested pool by the demand of all routers. The sums
 * are soft state: after a change of the leader, each router's next report
 * restores them.
 */
import {isPlausibleDemand} from '@lovagepond/load';
import {type PoolDemand, type ReadingReport} from './reading_report_log.js';

/** Validity of a router's report, milliseconds; six are due by then. */
const REPORT_VALID_MS = 3_000;

/** Limits of what is kept of one report, beyond what routers send. */
const MAX_POOLS = 256;
const MAX_WORKSPACES = 256;

/** Demand of one router in a pool, in milliseconds of server time per second. */
export interface RouterDemand {
  readonly served: number;
  readonly offered: ReadonlyMap<string, number>;
  readonly reportedAt: number;
}

/** Demand of all routers in a pool, in the same unit. */
export interface PoolSums {
  readonly served: number;
  readonly offered: ReadonlyMap<string, number>;
  readonly routers: ReadonlyMap<string, RouterDemand>;
}

class PoolTotals implements PoolSums {
  served = 0;
  readonly offered = new Map<string, number>();
  readonly routers = new Map<string, RouterDemand>();

  set(node: string, demand: RouterDemand): void {
    this.delete(node);
    this.routers.set(node, demand);
    this.#add(demand, 1);
  }

  delete(node: string): void {
    const former = this.routers.get(node);
    if (!former) return;
    this.routers.delete(node);
    this.#add(former, -1);
  }

  /** The sums are of integers, so that subtracting restores them exactly. */
  #add({served, offered}: RouterDemand, sign: 1 | -1): void {
    this.served += sign * served;
    for (const [workspace, one] of offered) {
      const sum = (this.offered.get(workspace) ?? 0) + sign * one;
      if (sum > 0) this.offered.set(workspace, sum);
      else this.offered.delete(workspace);
    }
  }
}

/** Sums by pool, from the reports that this member has received. */
export class WorkspaceDemandTotals {
  readonly #pools = new Map<string, PoolTotals>();

  /**
   * Replaces a router's former demand in each pool that it reports. Implausible
   * values are ignored.
   *
   * @param report the router's report
   * @param now monotonic milliseconds
   */
  record({node, demand}: ReadingReport, now: number): void {
    if (node === '' || !demand) return;
    for (const one of demand.slice(0, MAX_POOLS)) {
      const totals = this.#pools.get(one.pool) ?? new PoolTotals();
      this.#pools.set(one.pool, totals);
      totals.set(node, toRouterDemand(one, now));
    }
  }

  /**
   * Subtracts the demand of routers without a recent report: they have stopped,
   * or the pool isn't congested for them any more.
   *
   * @param now monotonic milliseconds
   */
  expireReports(now: number): void {
    for (const [pool, totals] of this.#pools) {
      for (const [node, {reportedAt}] of totals.routers) {
        if (now - reportedAt > REPORT_VALID_MS) totals.delete(node);
      }
      if (totals.routers.size === 0) this.#pools.delete(pool);
    }
  }

  /**
   * @param node a router
   * @returns the sums of each pool that the router has reported recently
   */
  *poolsOf(node: string): Iterable<readonly [string, PoolSums]> {
    for (const entry of this.#pools) {
      if (entry[1].routers.has(node)) yield entry;
    }
  }
}

function toRouterDemand(reported: PoolDemand, now: number): RouterDemand {
  const offered = new Map<string, number>();
  for (const one of reported.workspaces.slice(0, MAX_WORKSPACES)) {
    const amount = plausible(one.offered);
    if (amount > 0) offered.set(one.workspace, amount);
  }
  const served = plausible(reported.served);
  return {served, offered, reportedAt: now};
}

function plausible(msPerS: number): number {
  return isPlausibleDemand(msPerS) ? Math.round(msPerS) : 0;
}
