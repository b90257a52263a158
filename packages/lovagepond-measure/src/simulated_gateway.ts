/**
 * One simulated gateway: the production decision classes, with virtual-time
 * events in place of connections.
 */
import {type Membership, type Pool, type Random} from '@lovagepond/core';
import {
  ENGINE_WEIGHTS,
  GatewayChoice,
  GatewayFleet,
  GatewayLoadReports,
  GatewayPermits,
  GatewayRetries,
  GatewayWarmUp,
  LoadLimits,
  PeerAddresses,
  PrefillRate,
  type PromptPart,
} from '@lovagepond/gateway/deciders';
import {type KeyHasher} from '@lovagepond/router';
import {type DirectEngine, type DirectService} from './direct_servers.js';
import {type GatewaySimulationStatistics} from './gateway_simulation_statistics.js';
import {
  type GatewayVariant,
  type SimulatedRequestKind,
} from './gateway_simulation_types.js';
import {SimulatedExchange} from './simulated_exchange.js';
import {type SimulatedRetryLeader} from './simulated_retry_leader.js';
import {type VirtualTime} from './virtual_time.js';

/** One request of the generated workload. */
export interface SimulatedRequest {
  readonly kind: SimulatedRequestKind;
  readonly at: number;
  readonly parts: readonly PromptPart[];
  readonly events: number;
  readonly workMs: number;
}

/** A server of either kind. */
export type SimulatedServer = DirectEngine | DirectService;

/** Finds servers by name or kind. */
export interface ServerLookup {
  engine(name: string): DirectEngine | undefined;
  service(name: string): DirectService | undefined;
  engines(): Iterable<DirectEngine>;
  services(): Iterable<DirectService>;
}

export interface SimulatedGatewayDependencies {
  readonly name: string;
  readonly zone: string;
  readonly pools: {readonly engines: Pool; readonly services: Pool};
  readonly variant: GatewayVariant;
  readonly hasher: KeyHasher;
  readonly random: Random;
  readonly time: VirtualTime;
  readonly servers: ServerLookup;
  readonly statistics: GatewaySimulationStatistics;
  readonly retryLeader: SimulatedRetryLeader;
  /** Sends a datagram to another gateway. */
  readonly send: (from: string, to: string, bytes: Uint8Array) => void;
}

/** Assumed prefill rate before any observation, tokens per millisecond. */
const INITIAL_PREFILL_RATE = 40;

/** What the gateways of a simulation may retry in each pool. */
export const RETRY_ALLOWANCE = {fraction: 0.2, windowMs: 10_000, slack: 64};

export class SimulatedGateway {
  readonly #deps: SimulatedGatewayDependencies;
  fleet = new GatewayFleet();
  readings!: GatewayLoadReports;
  #choice!: GatewayChoice;
  #limits!: LoadLimits;
  #rate!: PrefillRate;
  retries!: GatewayRetries;
  addresses!: PeerAddresses;
  permits!: GatewayPermits;
  warmUp!: GatewayWarmUp;
  /** Requests are refused before this virtual time. */
  readyAt = Number.NEGATIVE_INFINITY;

  constructor(deps: SimulatedGatewayDependencies) {
    this.#deps = deps;
    this.restart();
  }

  /** Restarts with empty state. */
  restart(): void {
    const {name, zone, variant, hasher, random} = this.#deps;
    this.fleet = new GatewayFleet();
    this.#rate = new PrefillRate(INITIAL_PREFILL_RATE);
    this.readings = new GatewayLoadReports(name, this.fleet, this.#rate);
    const weights = {...ENGINE_WEIGHTS, ...variant.weights};
    const limits = new LoadLimits();
    this.#limits = limits;
    const settings = {
      availabilityZone: zone,
      rate: this.#rate,
      weights,
      limits,
    };
    this.#choice = new GatewayChoice(settings, hasher, random);
    this.retries = this.#makeRetries();
    this.addresses = new PeerAddresses(name, hasher);
    const {engines} = this.#deps.pools;
    const shared = {
      hasher,
      random,
      peers: this.addresses,
      send: (to: string, bytes: Uint8Array) => {
        this.#deps.send(name, to, bytes);
      },
      onPending: () => {},
      findPool: (pool: string) => (pool === engines.name ? engines : undefined),
    };
    this.permits = new GatewayPermits({
      ...shared,
      reportedLoad: server => this.fleet.find(server)?.requests ?? 0,
      findServer: server => this.fleet.find(server),
    });
    this.warmUp = new GatewayWarmUp(
      {name, startedAt: this.readyAt},
      {
        ...shared,
        findServer: server => this.fleet.find(server),
      },
    );
  }

  /** Must be called every 100 ms, as by the real gateway. */
  tick(now: number): void {
    this.fleet.expire(now);
    this.permits.refresh(now);
    const requests = this.retries.takeReport(now);
    if (requests) this.#deps.retryLeader.note(requests, now);
    for (const pool of this.fleet.pools()) {
      this.#limits.sample(this.fleet.listed(pool), pool, now);
    }
  }

  /**
   * @param membership the list that control publishes
   * @param now virtual time, milliseconds
   */
  useMembership(membership: Membership, now: number): void {
    this.permits.useListed(this.fleet.useMembership(membership));
    this.warmUp.useListed(this.fleet.all(), now);
  }

  /** @param req a request that arrives now */
  serve(req: SimulatedRequest): void {
    new SimulatedExchange(req, this.#deps, this).offer();
  }

  get choice(): GatewayChoice {
    return this.#choice;
  }

  get rate(): PrefillRate {
    return this.#rate;
  }

  #makeRetries(): GatewayRetries {
    const {time, retryLeader} = this.#deps;
    return new GatewayRetries(RETRY_ALLOWANCE, {
      process: retryLeader.nextProcess(),
      readClock: () => ({now: time.now, wallTime: time.now}),
      ask: (req, onAnswer) => {
        retryLeader.ask(req, onAnswer);
      },
      schedule: (delayMs, callback) => {
        time.after(delayMs, callback);
      },
    });
  }
}
