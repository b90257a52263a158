/**
 * The shares of workspaces and of this gateway, by pool.
 */
import {type ConfigurationContent} from '@lovagepond/core';
import {
  DemandMeter,
  type DemandSums,
  type ShareView,
  type ShareWeights,
  WorkspaceShares,
  type WorkspaceShareView,
  WorkspaceWork,
} from '@lovagepond/load';
import {type DemandSource, type OwnDemand} from './gateway_demand.js';

/** Workspaces that the state dump lists by pool. */
const DESCRIBED_WORKSPACES = 8;

/** Limit of workspaces whose sent work is measured for the state dump. */
const MAX_SENT_WORKSPACES = 1_024;

interface PoolState {
  readonly meter: DemandMeter;
  readonly sent: WorkspaceWork;
  readonly shares: WorkspaceShares;
  isCongested: boolean;
}

/** The shares of one pool in the state dump. */
export interface PoolShareView extends Omit<ShareView, 'workspaces'> {
  readonly pool: string;
  readonly congested: boolean;
  /** The workspaces with the largest demand. */
  readonly workspaces: readonly (WorkspaceShareView & {
    /** Work that this gateway sent, milliseconds of server time per second. */
    readonly ownSentMsPerS: number;
  })[];
}

/** Measures the demand by pool, and computes the shares of congested pools. */
export class GatewayShares implements DemandSource {
  readonly #pools = new Map<string, PoolState>();
  #weights: ReadonlyMap<string, number> = new Map();

  /**
   * Uses the workspaces' weights of a configuration, and drops the state of
   * pools that it doesn't have.
   *
   * @param content the configuration in force
   */
  useWorkspaces({workspaces, pools}: ConfigurationContent): void {
    this.#weights = new Map(workspaces.map(({name, weight}) => [name, weight]));
    for (const {shares} of this.#pools.values()) {
      shares.useWeights(this.#weights);
    }
    const names = new Set(pools.map(({name}) => name));
    for (const pool of this.#pools.keys()) {
      if (!names.has(pool)) this.#pools.delete(pool);
    }
  }

  /**
   * Counts a request on its arrival, whether it will be served or not.
   *
   * @param pool the pool that it is routed to
   * @param workspace its workspace; empty on public routes
   * @param workMs its work, milliseconds of server time
   * @param now current time, monotonic milliseconds
   */
  noteOffered(
    pool: string,
    workspace: string,
    workMs: number,
    now: number,
  ): void {
    this.#stateOf(pool).meter.noteOffered(workspace, workMs, now);
  }

  /**
   * Counts a request that is sent to a server of a pool.
   *
   * @param pool the pool
   * @param workspace its workspace
   * @param workMs its work, milliseconds of server time
   * @param now current time, monotonic milliseconds
   */
  noteSent(pool: string, workspace: string, workMs: number, now: number): void {
    const {meter, sent} = this.#stateOf(pool);
    meter.noteSent(workMs, now);
    sent.add(workspace, workMs, now);
  }

  /**
   * Demand is reported while a pool is congested; otherwise the configured
   * weights are in use.
   *
   * @param pool a pool
   * @param isCongested whether it is congested at this gateway
   * @param now current time, monotonic milliseconds
   */
  setCongested(pool: string, isCongested: boolean, now: number): void {
    const state = this.#stateOf(pool);
    if (state.isCongested === isCongested) return;
    state.isCongested = isCongested;
    if (isCongested) state.shares.useOwn(state.meter.read(now), now);
    else state.shares.clear();
  }

  /**
   * @param pool a pool
   * @returns its weights; undefined for a pool without any request so far
   */
  weightsOf(pool: string): ShareWeights | undefined {
    return this.#pools.get(pool)?.shares;
  }

  /** @inheritDoc */
  takeDemand(now: number): readonly OwnDemand[] {
    const demand: OwnDemand[] = [];
    for (const [pool, {meter, shares, isCongested}] of this.#pools) {
      if (!isCongested) continue;
      const own = meter.read(now);
      shares.useOwn(own, now);
      demand.push({pool, ...own});
    }
    return demand;
  }

  /** @inheritDoc */
  applyDemand(sums: ReadonlyMap<string, DemandSums>, now: number): void {
    for (const [pool, one] of sums) {
      const state = this.#pools.get(pool);
      if (state?.isCongested) state.shares.useOthers(one, now);
    }
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the shares by pool for operators; work in ms of server time per s
   */
  describe(now: number): readonly PoolShareView[] {
    return [...this.#pools].map(([pool, state]) => {
      const {meter, shares, isCongested} = state;
      // Also drops sums that have become too old.
      if (isCongested) shares.useOwn(meter.read(now), now);
      const sent = state.sent.read(now);
      const {workspaces, ...rest} = shares.describe(DESCRIBED_WORKSPACES);
      return {
        pool,
        congested: isCongested,
        ...rest,
        workspaces: workspaces.map(one => ({
          ...one,
          ownSentMsPerS: Math.round(sent.get(one.workspace) ?? 0),
        })),
      };
    });
  }

  #stateOf(pool: string): PoolState {
    const known = this.#pools.get(pool);
    if (known) return known;
    const state = {
      meter: new DemandMeter(),
      sent: new WorkspaceWork(MAX_SENT_WORKSPACES),
      shares: new WorkspaceShares(),
      isCongested: false,
    };
    state.shares.useWeights(this.#weights);
    this.#pools.set(pool, state);
    return state;
  }
}
