/**
 * Divides a congested pool between workspaces over all gateways.
 *
 * Callers of a workspace may all be connected to one gateway. With equal parts
 * for all gateways, they would get less than callers that are spread.
 */
import {type DemandSums} from './load_demand.js';
import {type MeasuredDemand} from './load_demand_meter.js';
import {maxMinLevel, type WeightedDemand} from './load_max_min.js';
import {type ShareWeights} from './load_types.js';

/** Validity of the other gateways' sums, milliseconds: six are due by then. */
const SUMS_VALID_MS = 3_000;

/**
 * Validity of one workspace's sum, milliseconds. In a pool with more workspaces
 * than a digest lists, control lists the smaller ones by turns.
 */
const WORKSPACE_VALID_MS = 6_000;

/** Limit of this gateway's weight in either direction. */
const MAX_GATEWAY_WEIGHT = 8;

/** Lowest part of its configured weight that a workspace has at a gateway. */
const MIN_WEIGHT_PART = 1 / 64;

/** Weight of a workspace that the configuration doesn't have. */
const DEFAULT_WEIGHT = 1;

const NO_DEMAND: MeasuredDemand = Object.freeze({
  servedMsPerS: 0,
  offered: new Map(),
});

interface ReceivedWorkspace {
  readonly offered: number;
  readonly at: number;
}

interface Received {
  readonly sums: DemandSums;
  readonly at: number;
}

/** One workspace in the state dump; work in ms of server time per second. */
export interface WorkspaceShareView {
  readonly workspace: string;
  /** At all gateways. */
  readonly offeredMsPerS: number;
  readonly ownOfferedMsPerS: number;
  readonly ownShareMsPerS: number;
  readonly weight: number;
}

/** The shares of a pool in the state dump. */
export interface ShareView {
  /** False while the configured weights are in use. */
  readonly shared: boolean;
  /** Gateways that report the pool, including this one. */
  readonly gateways: number;
  readonly capacityMsPerS: number;
  /** Work per weight that each workspace may use; absent without a limit. */
  readonly levelMsPerS?: number;
  readonly gatewayWeight: number;
  /** The workspaces with the largest demand. */
  readonly workspaces: readonly WorkspaceShareView[];
}

/** Weights of the workspaces and of this gateway in one pool. */
export class WorkspaceShares implements ShareWeights {
  #weights: ReadonlyMap<string, number> = new Map();
  #own = NO_DEMAND;
  #received: Received | undefined;
  readonly #others = new Map<string, ReceivedWorkspace>();
  #level = Infinity;
  #gatewayWeight = 1;

  /**
   * @param weights the configured weight by workspace, above 0; 1 for others
   */
  useWeights(weights: ReadonlyMap<string, number>): void {
    this.#weights = weights;
  }

  /**
   * Recomputes the shares, and drops sums that are too old.
   *
   * @param own this gateway's demand
   * @param now current time, monotonic milliseconds
   */
  useOwn(own: MeasuredDemand, now: number): void {
    this.#own = own;
    this.#expire(now);
    this.#compute();
  }

  /**
   * Recomputes the shares with sums that have just arrived.
   *
   * @param sums the demand of the other gateways
   * @param now current time, monotonic milliseconds
   */
  useOthers(sums: DemandSums, now: number): void {
    this.#received = {sums, at: now};
    // A complete list: a workspace that it lacks has no demand elsewhere.
    if (sums.unlistedWorkspaces === 0) this.#others.clear();
    for (const [workspace, offered] of sums.offered) {
      this.#others.set(workspace, {offered, at: now});
    }
    this.#expire(now);
    this.#compute();
  }

  /** Returns to the configured weights: the pool isn't congested. */
  clear(): void {
    this.#own = NO_DEMAND;
    this.#received = undefined;
    this.#expire(Infinity);
    this.#compute();
  }

  get gatewayWeight(): number {
    return this.#gatewayWeight;
  }

  /**
   * The configured weight, times this gateway's part of the workspace's demand
   * relative to the mean gateway. Round robin with it gives workspaces above
   * the level their own shares in proportion. One below the level gets all it
   * asks for, with room for bursts: a weight equal to its demand would make it
   * wait like a server that is used to the full.
   *
   * @param workspace a workspace
   * @returns its weight in round robin, above 0
   */
  weightOf(workspace: string): number {
    const weight = this.#configuredWeight(workspace);
    const own = this.#own.offered.get(workspace) ?? 0;
    if (!this.#received || own <= 0) return weight;
    if (!this.#isKnown(workspace, this.#received)) return weight;
    const part = own / (own + this.#othersOf(workspace));
    return weight * Math.max(MIN_WEIGHT_PART, part * this.gateways);
  }

  /**
   * @param workspace a workspace
   * @returns its share of the capacity at this gateway, ms of server time per s
   */
  ownShareOf(workspace: string): number {
    const own = this.#own.offered.get(workspace) ?? 0;
    if (own <= 0 || this.#level === Infinity) return own;
    const total = this.#estimateTotal(workspace, own);
    const fair = this.#level * this.#configuredWeight(workspace);
    return own * Math.min(1, fair / total);
  }

  /**
   * @param limit number of workspaces to list
   * @returns the shares for operators
   */
  describe(limit: number): ShareView {
    const largest = [...this.#totals()]
      .sort(([, a], [, b]) => b - a)
      .slice(0, limit);
    return {
      shared: this.#received !== undefined,
      gateways: this.gateways,
      capacityMsPerS: Math.round(this.#capacity),
      ...(this.#level !== Infinity && {levelMsPerS: Math.round(this.#level)}),
      gatewayWeight: this.#gatewayWeight,
      workspaces: largest.map(([workspace, offered]) => ({
        workspace,
        offeredMsPerS: Math.round(offered),
        ownOfferedMsPerS: Math.round(this.#own.offered.get(workspace) ?? 0),
        ownShareMsPerS: Math.round(this.ownShareOf(workspace)),
        weight: this.weightOf(workspace),
      })),
    };
  }

  /** Gateways that report the pool, this one included. */
  get gateways(): number {
    return 1 + (this.#received?.sums.gateways ?? 0);
  }

  get #capacity(): number {
    return this.#own.servedMsPerS + (this.#received?.sums.servedMsPerS ?? 0);
  }

  #configuredWeight(workspace: string): number {
    const weight = this.#weights.get(workspace) ?? DEFAULT_WEIGHT;
    return weight > 0 && weight < Infinity ? weight : DEFAULT_WEIGHT;
  }

  /** @returns false when no recent digest has the workspace's other demand */
  #isKnown(workspace: string, {sums}: Received): boolean {
    return sums.unlistedWorkspaces === 0 || this.#others.has(workspace);
  }

  /** A workspace that isn't listed counts as a mean one of those. */
  #estimateTotal(workspace: string, own: number): number {
    if (!this.#received || this.#isKnown(workspace, this.#received)) {
      return own + this.#othersOf(workspace);
    }
    const {unlistedMsPerS, unlistedWorkspaces} = this.#received.sums;
    return Math.max(own, unlistedMsPerS / unlistedWorkspaces);
  }

  #othersOf(workspace: string): number {
    return this.#others.get(workspace)?.offered ?? 0;
  }

  #expire(now: number): void {
    const {at = 0} = this.#received ?? {};
    if (now - at > SUMS_VALID_MS) this.#received = undefined;
    for (const [workspace, {at: receivedAt}] of this.#others) {
      const isOld = now - receivedAt > WORKSPACE_VALID_MS;
      if (isOld || !this.#received) this.#others.delete(workspace);
    }
  }

  /** @returns the work offered at all gateways, by workspace */
  #totals(): Map<string, number> {
    const totals = new Map(this.#own.offered);
    for (const [workspace, {offered}] of this.#others) {
      totals.set(workspace, offered + (totals.get(workspace) ?? 0));
    }
    return totals;
  }

  #compute(): void {
    this.#level = Infinity;
    this.#gatewayWeight = 1;
    // Without work sent there is no capacity to divide: the pool has just
    // become congested, or all of its servers are gone.
    if (!this.#received || this.#capacity <= 0) return;
    const demands: WeightedDemand[] = [];
    for (const [workspace, offered] of this.#totals()) {
      demands.push({offered, weight: this.#configuredWeight(workspace)});
    }
    demands.push(this.#unlisted(this.#received.sums));
    this.#level = maxMinLevel(demands, this.#capacity);
    const offered = demands.reduce((sum, one) => sum + one.offered, 0);
    const mean = Math.min(offered, this.#capacity) / this.gateways;
    let own = 0;
    for (const workspace of this.#own.offered.keys()) {
      own += this.ownShareOf(workspace);
    }
    if (mean > 0) this.#gatewayWeight = limitWeight(own / mean);
  }

  /**
   * Workspaces that the last digest doesn't list count as equal ones with the
   * default weight, except those that an earlier digest listed.
   */
  #unlisted(sums: DemandSums): WeightedDemand {
    let {unlistedMsPerS: offered, unlistedWorkspaces: count} = sums;
    for (const [workspace, earlier] of this.#others) {
      if (sums.offered.has(workspace)) continue;
      offered -= earlier.offered;
      count -= 1;
    }
    const weight = DEFAULT_WEIGHT * Math.max(1, count);
    return {offered: Math.max(0, offered), weight};
  }
}

function limitWeight(weight: number): number {
  return Math.min(MAX_GATEWAY_WEIGHT, Math.max(1 / MAX_GATEWAY_WEIGHT, weight));
}
