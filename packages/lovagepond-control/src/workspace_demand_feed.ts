/**
 * Updates to one router about the demand of all other routers.
 */
import {type PoolDemand} from './reading_report_log.js';
import {
  type PoolSums,
  type WorkspaceDemandTotals,
} from './workspace_demand_totals.js';

/** Time between two updates, milliseconds. */
const INTERVAL_MS = 500;

/** Workspaces listed by pool. They bound the bytes that a router receives. */
const MAX_WORKSPACES = 32;

/**
 * Those of them with the largest demand in a pool with more workspaces. The
 * others of a message are the router's own remaining ones in turn: it can't
 * tell whether it is the only one with such a workspace.
 */
const LARGEST_WORKSPACES = 24;

/** Largest number in a message. */
const MAX_UINT32 = 0xffff_ffff;

/** Demand of all other routers in a pool. */
export interface OthersDemand extends PoolDemand {
  /** Other routers that report the pool. */
  readonly routers: number;
  readonly unlistedWorkspaces: number;
}

type Workspace = OthersDemand['workspaces'][number];

/** Determines what one router is sent. */
export class WorkspaceDemandFeed {
  readonly #node: string;
  #lastSentAt = -Infinity;
  /** Position in the turn of the smaller workspaces, by pool. */
  #turns = new Map<string, number>();

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
    const turns = new Map<string, number>();
    const due: OthersDemand[] = [];
    for (const [pool, sums] of totals.poolsOf(this.#node)) {
      const turn = this.#turns.get(pool) ?? 0;
      turns.set(pool, turn + 1);
      due.push(this.#subtractOwn(pool, sums, turn));
    }
    this.#turns = turns;
    if (due.length > 0) this.#lastSentAt = now;
    return due;
  }

  #subtractOwn(pool: string, sums: PoolSums, turn: number): OthersDemand {
    const own = sums.routers.get(this.#node);
    const others: Workspace[] = [];
    for (const [workspace, sum] of sums.offered) {
      const offered = sum - (own?.offered.get(workspace) ?? 0);
      if (offered > 0) others.push({workspace, offered});
    }
    const ownNames = own?.offered.keys() ?? [];
    const workspaces = select(others, ownNames, turn);
    const unlisted =
      sums.unlisted - (own?.unlisted ?? 0) + sumOf(others) - sumOf(workspaces);
    const listed = workspaces.filter(({offered}) => offered > 0).length;
    return {
      pool,
      served: toUint32(sums.served - (own?.served ?? 0)),
      workspaces: workspaces.map(({workspace, offered}) => ({
        workspace,
        offered: toUint32(offered),
      })),
      routers: sums.routers.size - 1,
      unlisted: toUint32(unlisted),
      // What routers don't list belongs to workspaces that others list.
      unlistedWorkspaces: Math.max(
        others.length - listed,
        unlisted > 0 ? 1 : 0,
      ),
    };
  }
}

/** @returns the largest ones, and some of the router's own in turn */
function select(
  others: Workspace[],
  ownNames: Iterable<string>,
  turn: number,
): readonly Workspace[] {
  if (others.length <= MAX_WORKSPACES) return others;
  others.sort((a, b) => b.offered - a.offered);
  const largest = others.slice(0, LARGEST_WORKSPACES);
  const listed = new Set(largest.map(({workspace}) => workspace));
  const rest = [...ownNames].filter(name => !listed.has(name)).sort();
  const offeredOf = new Map(
    others.map(({workspace, offered}) => [workspace, offered]),
  );
  const inTurn = takeTurn(rest, MAX_WORKSPACES - LARGEST_WORKSPACES, turn);
  for (const workspace of inTurn) {
    largest.push({workspace, offered: offeredOf.get(workspace) ?? 0});
  }
  return largest;
}

/** @returns the items of a turn; the last turn of a round may be shorter */
function takeTurn<Item>(
  items: readonly Item[],
  count: number,
  turn: number,
): readonly Item[] {
  const turns = Math.max(1, Math.ceil(items.length / count));
  const start = (turn % turns) * count;
  return items.slice(start, start + count);
}

function sumOf(workspaces: readonly Workspace[]): number {
  return workspaces.reduce((sum, {offered}) => sum + offered, 0);
}

function toUint32(value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, value));
}
