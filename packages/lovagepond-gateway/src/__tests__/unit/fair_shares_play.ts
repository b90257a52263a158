import {WorkspaceDemandFeed} from '@lovagepond/control/deciders';
import {Random} from '@lovagepond/core';
import {maxMinLevel} from '@lovagepond/load';
import {GatewayFleet} from '../../gateway_fleet.js';
import {GatewayLoadReports} from '../../gateway_load_reports.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {GatewayShares} from '../../gateway_shares.js';
import {DemandExchange} from './demand_exchange.js';

export const POOL = 'pool';

/** Interval at which gateways take their reports, milliseconds. */
const STEP_MS = 20;

/** Work of one request, milliseconds of server time. */
const REQUEST_MS = 10;

/** Work that waits per workspace before more is refused, in seconds of it. */
const QUEUE_S = 0.2;

/** Offered work of a workspace at one gateway, ms of server time per s. */
export type Offer = (gateway: number, now: number) => number;

interface Flow {
  /** Offered work that isn't a whole request yet. */
  pending: number;
  queued: number;
}

class PlayGateway {
  readonly shares = new GatewayShares();
  readonly reports: GatewayLoadReports;
  readonly feed: WorkspaceDemandFeed;
  readonly flows = new Map<string, Flow>();
  readonly #random: Random;
  isRunning = true;

  constructor(
    readonly name: string,
    seed: number,
  ) {
    this.#random = new Random(seed);
    this.reports = new GatewayLoadReports(
      name,
      new GatewayFleet(),
      new PrefillRate(40),
      this.shares,
    );
    this.feed = new WorkspaceDemandFeed(name);
  }

  get queued(): number {
    return [...this.flows.values()].reduce((sum, {queued}) => sum + queued, 0);
  }

  get weight(): number {
    return this.shares.weightsOf(POOL)?.gatewayWeight ?? 1;
  }

  offer(workspace: string, msPerS: number, now: number): void {
    const flow = this.flows.get(workspace) ?? this.#makeFlow();
    this.flows.set(workspace, flow);
    flow.pending += (msPerS * STEP_MS) / 1_000;
    while (flow.pending >= REQUEST_MS) {
      flow.pending -= REQUEST_MS;
      this.shares.noteOffered(POOL, workspace, REQUEST_MS, now);
      const limit = Math.max(2 * REQUEST_MS, msPerS * QUEUE_S);
      if (flow.queued + REQUEST_MS <= limit) flow.queued += REQUEST_MS;
    }
  }

  /** Flows of the same rate must not offer their requests at the same time. */
  #makeFlow(): Flow {
    return {pending: this.#random.below(REQUEST_MS), queued: 0};
  }

  /** Round robin between workspaces by their weights, as a fluid. */
  serve(workMs: number, now: number): ReadonlyMap<string, number> {
    const weights = this.shares.weightsOf(POOL);
    const demands = [...this.flows].map(([workspace, flow]) => ({
      workspace,
      flow,
      offered: flow.queued,
      weight: weights?.weightOf(workspace) ?? 1,
    }));
    const level = maxMinLevel(demands, workMs);
    const served = new Map<string, number>();
    for (const {workspace, flow, offered, weight} of demands) {
      const sent =
        level === Infinity ? offered : Math.min(offered, level * weight);
      flow.queued -= sent;
      this.shares.noteSent(POOL, workspace, sent, now);
      served.set(workspace, sent);
    }
    return served;
  }
}

/**
 * Gateways with real meters, reports and shares, and one member of control with
 * its real sums, in virtual time. Servers and queues are fluids: a gateway's
 * part of the capacity is in proportion to its weight, as with windows that grow
 * by it.
 */
export class FairSharesPlay {
  readonly gateways: readonly PlayGateway[];
  readonly #capacity: number;
  readonly #offers: Readonly<Record<string, Offer>>;
  #exchange = new DemandExchange();
  #served = new Map<string, number>();
  #now = 10_000;
  #markedAt = this.#now;
  hasControl = true;

  /**
   * @param gateways number of gateways
   * @param capacity the pool's capacity, ms of server time per s
   * @param offers by workspace
   */
  constructor(
    gateways: number,
    capacity: number,
    offers: Readonly<Record<string, Offer>>,
  ) {
    this.gateways = Array.from(
      {length: gateways},
      (_, at) => new PlayGateway(`gateway-${at}`, at + 1),
    );
    this.#capacity = capacity;
    this.#offers = offers;
  }

  /** Replaces control's member by one without any state. */
  restartControl(): void {
    this.#exchange = new DemandExchange();
  }

  /** @returns work served since the last call, by workspace, in ms per s */
  takeServed(): Readonly<Record<string, number>> {
    const seconds = (this.#now - this.#markedAt) / 1_000;
    const served = [...this.#served].map(
      ([workspace, sum]) => [workspace, sum / seconds] as const,
    );
    this.#served = new Map();
    this.#markedAt = this.#now;
    return Object.fromEntries(served);
  }

  /** @param ms virtual time to run */
  run(ms: number): void {
    const end = this.#now + ms;
    for (; this.#now < end; this.#now += STEP_MS) this.#step(this.#now);
  }

  #step(now: number): void {
    const running = this.gateways.filter(({isRunning}) => isRunning);
    for (const [workspace, offer] of Object.entries(this.#offers)) {
      this.gateways.forEach((gateway, at) => {
        if (gateway.isRunning) gateway.offer(workspace, offer(at, now), now);
      });
    }
    const demands = running.map(gateway => ({
      gateway,
      offered: gateway.queued,
      weight: gateway.weight,
    }));
    const level = maxMinLevel(demands, (this.#capacity * STEP_MS) / 1_000);
    for (const {gateway, offered, weight} of demands) {
      const part =
        level === Infinity ? offered : Math.min(offered, level * weight);
      for (const [workspace, sent] of gateway.serve(part, now)) {
        this.#served.set(workspace, sent + (this.#served.get(workspace) ?? 0));
      }
      gateway.shares.setCongested(POOL, gateway.queued > 0, now);
    }
    this.#exchange.run(running, this.hasControl, now);
  }
}
