/**
 * Updates to one router about the demand of all other routers.
 */
import {type PoolDemand} from './reading_report_log.js';
import {toUint32} from './wire_utils.js';
import {
  type PoolSums,
  type RouterDemand,
  type WorkspaceDemandTotals,
} from './workspace_demand_totals.js';

/** Time between two updates, milliseconds. */
const INTERVAL_MS = 500;

/** Workspaces listed by pool. */
const MAX_WORKSPACES = 32;

/**
 * Workspaces listed in all, unless there are many pools. With names of 13 bytes,
 * a router receives some 2 KB/s.
 */
const MAX_LISTED = 48;

/** Workspaces listed by pool when there are many pools. */
const MIN_WORKSPACES = 8;

/**
 * Part of the list for the workspaces with the largest demand, in a pool with
 * more workspaces. The others are own ones of the router: otherwise it couldn't
 * tell whether it is the only one with such a workspace.
 */
const LARGEST_PART = 3 / 4;

/** Updates since one that listed a workspace, for one that none has listed. */
const NEVER_LISTED_AGE = 12;

/** Demand of all other routers in a pool. */
export interface OthersDemand extends PoolDemand {
  /** Other routers that report the pool. */
  readonly routers: number;
  /** Work offered by workspaces that are not listed, in the same unit. */
  readonly unlisted: number;
  readonly unlistedWorkspaces: number;
}

type Workspace = OthersDemand['workspaces'][number];

const NO_DEMAND: RouterDemand = Object.freeze({
  served: 0,
  offered: new Map(),
  reportedAt: 0,
});

/** Determines what one router is sent. */
export class WorkspaceDemandFeed {
  readonly #node: string;
  #lastSentAt = -Infinity;
  /** Own workspaces that were listed, with the update's number, by pool. */
  readonly #listed = new Map<string, ReadonlyMap<string, number>>();
  #updates = 0;

  /** @param node name of the router */
  constructor(node: string) {
    this.#node = node;
  }

  /**
   * @param totals demand of all routers
   * @param now monotonic milliseconds
   * @returns the demand of the others in each pool that the router reports;
   *     empty when nothing is due
   */
  next(totals: WorkspaceDemandTotals, now: number): readonly OthersDemand[] {
    if (now - this.#lastSentAt < INTERVAL_MS) return [];
    const pools = new Map(totals.poolsOf(this.#node));
    for (const pool of this.#listed.keys()) {
      if (!pools.has(pool)) this.#listed.delete(pool);
    }
    if (pools.size === 0) return [];
    this.#lastSentAt = now;
    this.#updates += 1;
    const limit = Math.max(
      MIN_WORKSPACES,
      Math.min(MAX_WORKSPACES, Math.floor(MAX_LISTED / pools.size)),
    );
    return [...pools].map(([pool, sums]) =>
      this.#subtractOwn(pool, sums, limit),
    );
  }

  #subtractOwn(pool: string, sums: PoolSums, limit: number): OthersDemand {
    const own = sums.routers.get(this.#node) ?? NO_DEMAND;
    const {largest, count, total} = rankOthers(sums, own, limit);
    const workspaces =
      count > limit ? this.#select(pool, sums, own, largest) : largest;
    const unlisted = total - sumOf(workspaces);
    const listed = workspaces.filter(({offered}) => offered > 0).length;
    return {
      pool,
      served: toUint32(sums.served - own.served),
      workspaces: workspaces.map(({workspace, offered}) => ({
        workspace,
        offered: toUint32(offered),
      })),
      routers: sums.routers.size - 1,
      unlisted: toUint32(unlisted),
      unlistedWorkspaces: count - listed,
    };
  }

  /** @returns the largest ones, and some of the router's own */
  #select(
    pool: string,
    sums: PoolSums,
    own: RouterDemand,
    largest: readonly Workspace[],
  ): readonly Workspace[] {
    const selected = largest.slice(0, largest.length * LARGEST_PART);
    const isLargest = new Set(selected.map(({workspace}) => workspace));
    const rest = [...own.offered].filter(([name]) => !isLargest.has(name));
    const room = largest.length - selected.length;
    for (const workspace of this.#selectOwn(pool, rest, room)) {
      const offered = othersOf(workspace, sums, own);
      selected.push({workspace, offered});
    }
    return selected;
  }

  /**
   * Prefers workspaces with much work at this router, then those that were not
   * listed for long. In turn alone, a workspace would be skipped for seconds,
   * as the small ones of a router change all the time.
   */
  #selectOwn(
    pool: string,
    own: readonly (readonly [string, number])[],
    room: number,
  ): readonly string[] {
    const listed = this.#listed.get(pool);
    const never = this.#updates - NEVER_LISTED_AGE;
    const selected = own
      .map(([workspace, offered]) => {
        const age = this.#updates - (listed?.get(workspace) ?? never);
        return {workspace, urgency: offered * age};
      })
      .sort((a, b) => b.urgency - a.urgency)
      .slice(0, room)
      .map(({workspace}) => workspace);
    const current = new Map<string, number>();
    for (const [workspace] of own) {
      const update = listed?.get(workspace);
      if (update !== undefined) current.set(workspace, update);
    }
    for (const workspace of selected) current.set(workspace, this.#updates);
    this.#listed.set(pool, current);
    return selected;
  }
}

function othersOf(
  workspace: string,
  sums: PoolSums,
  own: RouterDemand,
): number {
  const sum = sums.offered.get(workspace) ?? 0;
  return sum - (own.offered.get(workspace) ?? 0);
}

/**
 * Ranks in one pass, as a member does this for each of its routers.
 *
 * @returns the workspaces with the largest demand of the other routers, the
 *     number of workspaces with any, and their demand in all
 */
function rankOthers(
  sums: PoolSums,
  own: RouterDemand,
  limit: number,
): {
  readonly largest: readonly Workspace[];
  readonly count: number;
  readonly total: number;
} {
  const largest: Workspace[] = [];
  let count = 0;
  let total = 0;
  for (const workspace of sums.offered.keys()) {
    const offered = othersOf(workspace, sums, own);
    if (offered <= 0) continue;
    count += 1;
    total += offered;
    const isFull = largest.length >= limit;
    if (isFull && offered <= (largest.at(-1)?.offered ?? 0)) continue;
    if (isFull) largest.pop();
    const at = largest.findIndex(one => one.offered < offered);
    largest.splice(at < 0 ? largest.length : at, 0, {workspace, offered});
  }
  return {largest, count, total};
}

function sumOf(workspaces: readonly Workspace[]): number {
  return workspaces.reduce((sum, {offered}) => sum + offered, 0);
}
