/**
 * The shares of workspaces and of this gateway, by pool.
 */
import {type ConfigurationContent} from '@lovagepond/core';
import {
  DemandMeter,
  type DemandSums,
  type MeasuredDemand,
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

/** Called with the name of a pool whose shares have changed. */
type SharesListener = (pool: string) => void;

/** Measures the demand by pool, and computes the shares of congested pools. */
export class GatewayShares implements DemandSource {
  readonly #pools = new Map<string, PoolState>();
  #weights: ReadonlyMap<string, number> = new Map();
  #onChange: SharesListener = () => {};

  /** @param onChange called when the shares of a pool were computed anew */
  listen(onChange: SharesListener): void {
    this.#onChange = onChange;
  }

  /**
   * Uses the workspaces' weights of a configuration, and drops the state of
   * pools for which it has no admission control.
   *
   * @param content the configuration in force
   */
  useWorkspaces({workspaces, pools}: ConfigurationContent): void {
    this.#weights = new Map(workspaces.map(({name, weight}) => [name, weight]));
    const controlled = pools.filter(({admission}) => admission);
    const names = new Set(controlled.map(({name}) => name));
    for (const pool of this.#pools.keys()) {
      if (!names.has(pool)) this.#pools.delete(pool);
    }
    for (const pool of names) {
      this.#stateOf(pool).shares.useWeights(this.#weights);
      this.#onChange(pool);
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
    if (isCongested) {
      this.#useOwn(pool, state, now);
      return;
    }
    state.shares.clear();
    this.#onChange(pool);
  }

  /**
   * Computes the shares of a congested pool with the present demand, and without
   * sums that have become too old.
   *
   * @param pool a pool
   * @param now current time, monotonic milliseconds
   */
  refresh(pool: string, now: number): void {
    const state = this.#pools.get(pool);
    if (state?.isCongested) this.#useOwn(pool, state, now);
  }

  /**
   * @param pool a pool
   * @returns its weights; undefined for a pool without admission control and
   *     without any request so far
   */
  weightsOf(pool: string): ShareWeights | undefined {
    return this.#pools.get(pool)?.shares;
  }

  /** @inheritDoc */
  takeDemand(now: number): readonly OwnDemand[] {
    const demand: OwnDemand[] = [];
    for (const [pool, state] of this.#pools) {
      if (!state.isCongested) continue;
      demand.push({pool, ...this.#useOwn(pool, state, now)});
    }
    return demand;
  }

  /** @inheritDoc */
  applyDemand(sums: ReadonlyMap<string, DemandSums>, now: number): void {
    for (const [pool, one] of sums) {
      const state = this.#pools.get(pool);
      if (!state?.isCongested) continue;
      state.shares.useOthers(one, now);
      this.#onChange(pool);
    }
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the shares by pool for operators; work in ms of server time per s
   */
  describe(now: number): readonly PoolShareView[] {
    return [...this.#pools].map(([pool, state]) => {
      const {shares, isCongested} = state;
      // Also drops sums that have become too old.
      if (isCongested) this.#useOwn(pool, state, now);
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

  #useOwn(
    pool: string,
    {meter, shares}: PoolState,
    now: number,
  ): MeasuredDemand {
    const own = meter.read(now);
    shares.useOwn(own, now);
    this.#onChange(pool);
    return own;
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
