/**
 * Discrete-event simulation of a fleet of gateways: the workload, the reports
 * that control relays between gateways, membership changes, and disturbances.
 */
import {type BackendServer, Random, SERVER_STATE} from '@lovagepond/core';
import {
  chooseWarmUpRouters,
  DirectServerTable,
  type JoiningServer,
  readReadings,
  type ReadingReport,
  RunningRequestFeed,
  RunningRequestTotals,
  toWireDigest,
} from '@lovagepond/control/deciders';
import {type KeyHasher} from '@lovagepond/router';
import {DirectEngine, DirectService} from './direct_servers.js';
import {
  type GatewaySimulationResult,
  GatewaySimulationStatistics,
} from './gateway_simulation_statistics.js';
import {
  type Disturbance,
  type GatewaySimulationSettings,
  type SimulatedRequestKind,
} from './gateway_simulation_types.js';
import {drawItems} from './simulated_draws.js';
import {SimulatedDatagrams} from './simulated_datagrams.js';
import {RETRY_ALLOWANCE, SimulatedGateway} from './simulated_gateway.js';
import {SimulatedRetryLeader} from './simulated_retry_leader.js';
import {ENGINES, makePools, SERVICES} from './simulated_pools.js';
import {SimulatedRequests} from './simulated_requests.js';
import {VirtualTime} from './virtual_time.js';

/** Delay until gateways receive a membership change, milliseconds. */
const MEMBERSHIP_DELAY_MS = 50;
/** Delay until control relays a report that a gateway sent, milliseconds. */
const REPORT_DELAY_MS = 25;
const REPORT_INTERVAL_MS = 20;

/** Interval at which control publishes changed totals, milliseconds. */
const TOTALS_INTERVAL_MS = 20;
const TICK_MS = 100;
/** Interval at which gateways look for datagrams without a reply, ms. */
const PEER_TICK_MS = 10;

/** Time from when a server is marked as leaving until it stops, ms. */
const DRAIN_MS = 3_000;
/** Time from a replacement's start until the old server is leaving, ms. */
const OVERLAP_MS = 500;
/** Time for which a crashed server stays listed, milliseconds. */
const LEASE_MS = 6_000;

const MS_PER_SECOND = 1_000;

type DisturbanceOf<Kind extends Disturbance['kind']> = Extract<
  Disturbance,
  {kind: Kind}
>;

type DisturbanceHandlers = {
  readonly [Kind in Disturbance['kind']]: (event: DisturbanceOf<Kind>) => void;
};

export class GatewaySimulation {
  readonly #settings: GatewaySimulationSettings;
  readonly #time = new VirtualTime();
  readonly #random: Random;
  readonly #statistics = new GatewaySimulationStatistics();
  readonly #table = new DirectServerTable();
  readonly #engines = new Map<string, DirectEngine>();
  readonly #services = new Map<string, DirectService>();
  readonly #gateways: readonly SimulatedGateway[];
  readonly #datagrams: SimulatedDatagrams;
  readonly #totals = new RunningRequestTotals();
  readonly #feeds: readonly RunningRequestFeed[];
  readonly #requests: SimulatedRequests;
  #version = 0;
  #lastId = 0;
  #rateFactor = 1;
  readonly #retryLeader = new SimulatedRetryLeader(RETRY_ALLOWANCE, this.#time);

  /**
   * @param settings the load, the variant, the disturbances and the seed
   * @param hasher hash function that assigns prompts to places
   */
  constructor(settings: GatewaySimulationSettings, hasher: KeyHasher) {
    this.#settings = settings;
    this.#random = new Random(settings.seed);
    this.#requests = new SimulatedRequests(this.#random, () => {
      this.#lastId += 1;
      return this.#lastId;
    });
    const pools = makePools(settings);
    this.#datagrams = new SimulatedDatagrams(
      this.#time,
      new Random(settings.seed + 1),
      settings.variant.datagramLoss ?? 0,
    );
    const {load, variant} = settings;
    this.#gateways = Array.from(
      {length: load.gateways},
      (_, at) =>
        new SimulatedGateway({
          name: `gateway-${at}`,
          zone: `zone-${at % load.zones}`,
          pools,
          variant,
          hasher,
          random: new Random(this.#random.below(2 ** 31)),
          time: this.#time,
          servers: {
            engine: name => this.#engines.get(name),
            service: name => this.#services.get(name),
            engines: () => this.#engines.values(),
            services: () => this.#services.values(),
          },
          statistics: this.#statistics,
          retryLeader: this.#retryLeader,
          send: (from, to, bytes) => {
            this.#datagrams.send(from, to, bytes);
          },
        }),
    );
    this.#datagrams.connect(this.#gateways);
    this.#feeds = this.#gateways.map(
      (_, at) => new RunningRequestFeed(`gateway-${at}`),
    );
  }

  /** Datagrams between gateways and their bytes so far, without headers. */
  get datagrams(): {readonly sent: number; readonly bytes: number} {
    const {sent, bytes} = this.#datagrams;
    return {sent, bytes};
  }

  /** @returns the results */
  run(): GatewaySimulationResult {
    const {load, disturbances, endMs} = this.#settings;
    for (let at = 0; at < load.engines.count; at += 1) this.#addEngine();
    for (let at = 0; at < load.services.count; at += 1) this.#addService();
    this.#time.every(REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, () => {
      this.#sendReports();
    });
    this.#time.every(TOTALS_INTERVAL_MS, TOTALS_INTERVAL_MS, () => {
      this.#sendTotals();
    });
    this.#time.every(TICK_MS, TICK_MS, () => {
      this.#tick();
    });
    this.#time.every(PEER_TICK_MS, PEER_TICK_MS, () => {
      for (const {permits, warmUp} of this.#gateways) {
        permits.tick(this.#time.now);
        warmUp.tick(this.#time.now);
      }
    });
    for (const disturbance of disturbances) this.#schedule(disturbance);
    for (const kind of load.kinds) this.#scheduleArrival(kind);
    const longest = Math.max(...load.kinds.map(kind => kind.deadlineMs));
    this.#time.runUntil(MEMBERSHIP_DELAY_MS + endMs + longest);
    return this.#statistics.result();
  }

  readonly #handlers: DisturbanceHandlers = {
    release: ({share, gapMs}) => {
      const old = this.#drawEngines(share);
      for (const [at, name] of old.entries()) {
        this.#time.after(at * gapMs, () => {
          this.#replace(name);
        });
      }
    },
    crash: ({share, forMs}) => {
      for (const name of this.#drawEngines(share)) {
        this.#engines.get(name)?.crash();
        this.#time.after(LEASE_MS, () => {
          this.#deregister(name);
        });
        this.#time.after(forMs, () => {
          this.#addEngine();
        });
      }
    },
    failing: ({share, forMs, part}) => {
      const failing = [
        ...this.#drawEngines(share).map(name => this.#engines.get(name)),
        ...drawItems(this.#random, [...this.#services.values()], share),
      ];
      for (const server of failing) if (server) server.failureShare = part;
      this.#time.after(forMs, () => {
        for (const server of failing) if (server) server.failureShare = 0;
      });
    },
    slow: ({share, forMs, times}) => {
      const slow = drawItems(this.#random, [...this.#services.values()], share);
      for (const server of slow) server.slowness = times;
      this.#time.after(forMs, () => {
        for (const server of slow) server.slowness = 1;
      });
    },
    burst: ({times, forMs}) => {
      this.#rateFactor = times;
      this.#time.after(forMs, () => {
        this.#rateFactor = 1;
      });
    },
    hotKey: ({share, forMs}) => {
      this.#requests.hotShare = share;
      this.#time.after(forMs, () => {
        this.#requests.hotShare = 0;
      });
    },
    coldReturn: ({zone, downMs, coldMs}) => {
      for (const {server} of this.#table.list()) {
        const {name, pool, availabilityZone} = server;
        if (pool !== ENGINES || availabilityZone !== `zone-${zone}`) continue;
        this.#engines.get(name)?.crash();
        this.#time.after(downMs, () => {
          this.#deregister(name);
          this.#addEngine(coldMs);
        });
      }
    },
    scaleOut: ({share}) => {
      const added = Math.round(share * this.#engines.size);
      for (let at = 0; at < added; at += 1) this.#addEngine();
    },
    controlSilence: ({forMs}) => {
      this.#retryLeader.silence(this.#time.now + forMs);
    },
    restart: ({downMs}) => {
      for (const gateway of this.#gateways) {
        gateway.restart();
        gateway.readyAt = this.#time.now + downMs;
      }
      this.#datagrams.connect(this.#gateways);
      this.#publishList();
    },
  };

  #schedule(event: Disturbance): void {
    const handle = this.#handlers[event.kind] as (one: Disturbance) => void;
    this.#time.at(event.atMs, () => {
      handle(event);
    });
  }

  /** @returns names of random engines that are up and not leaving */
  #drawEngines(share: number): readonly string[] {
    const staying = this.#table
      .list()
      .filter(({server, leaving}) => server.pool === ENGINES && !leaving)
      .map(({server}) => server.name)
      .filter(name => this.#engines.get(name)?.isUp);
    return drawItems(this.#random, staying, share);
  }

  #replace(name: string): void {
    this.#addEngine();
    this.#time.after(OVERLAP_MS, () => {
      this.#table.leave(name, this.#time.now);
      this.#publishList();
    });
    this.#time.after(OVERLAP_MS + DRAIN_MS, () => {
      this.#engines.get(name)?.crash();
      this.#deregister(name);
    });
  }

  #deregister(name: string): void {
    this.#table.end(name, this.#time.now);
    this.#engines.delete(name);
    this.#publishList();
  }

  /** @param coldMs how long the engine is cold, milliseconds */
  #addEngine(coldMs = 0): void {
    const {load} = this.#settings;
    const name = this.#register(ENGINES, load.engines.slots);
    const draw = (): number => this.#random.next();
    const {engines: profile} = load;
    const engine = new DirectEngine(
      profile,
      this.#time,
      this.#statistics,
      draw,
    );
    this.#engines.set(name, engine);
    if (coldMs > 0) {
      engine.coldUntil = this.#time.now + coldMs;
      this.#statistics.coldServers.add(engine, coldMs);
      this.#time.after(coldMs, () => {
        this.#publishList();
      });
    }
    this.#publishList();
  }

  #warmUpOf({name}: JoiningServer): Pick<BackendServer, 'warmUp'> {
    const {coldUntil = 0} = this.#engines.get(name) ?? {};
    if (coldUntil <= this.#time.now) return {};
    const known = this.#gateways.map((_, at) => `gateway-${at}`);
    return {warmUp: {routers: chooseWarmUpRouters(known, name)}};
  }

  #addService(): void {
    const {slots, queue} = this.#settings.load.services;
    const name = this.#register(SERVICES, slots);
    const draw = (): number => this.#random.next();
    this.#services.set(name, new DirectService(slots, queue, this.#time, draw));
    this.#publishList();
  }

  #register(pool: string, slots: number): string {
    this.#lastId += 1;
    const name = `${pool}-${this.#lastId}`;
    const zone = this.#lastId % this.#settings.load.zones;
    const server: JoiningServer = {
      name,
      incarnation: name,
      pool,
      labels: {},
      availabilityZone: `zone-${zone}`,
      region: 'region',
      address: `${name}:1`,
      capacityTokens: 0,
      models: [],
      directSlots: slots,
    };
    this.#table.join(server, this.#time.now);
    return name;
  }

  #publishList(): void {
    this.#version += 1;
    const version = this.#version;
    const servers = new Map(
      this.#table.list().map(({server, leaving, place}, slot) => {
        const state = leaving ? SERVER_STATE.DRAINING : SERVER_STATE.READY;
        const warmUp = this.#warmUpOf(server);
        const listed = {...server, state, place, slot, ...warmUp};
        return [server.name, listed satisfies BackendServer] as const;
      }),
    );
    this.#time.after(MEMBERSHIP_DELAY_MS, () => {
      for (const gateway of this.#gateways) {
        gateway.useMembership({version, servers}, this.#time.now);
      }
    });
  }

  #tick(): void {
    const {now} = this.#time;
    if (this.#table.hasPlacesToOpen(now)) {
      this.#table.openPlaces(now);
      this.#publishList();
    }
    for (const gateway of this.#gateways) gateway.tick(now);
  }

  #sendReports(): void {
    const {variant} = this.#settings;
    for (const [at, {readings}] of this.#gateways.entries()) {
      const report = readings.takeReport(this.#time.now);
      if (!report) continue;
      const sentReport: ReadingReport = readReadings({
        ...report,
        node: `gateway-${at}`,
        ...(variant.noReadingReports && {readings: []}),
        ...(variant.noRunningReports && {running: []}),
      });
      this.#time.after(REPORT_DELAY_MS, () => {
        this.#relayReport(sentReport);
      });
    }
  }

  /** Adds a report to the totals and relays it, as a control member does. */
  #relayReport(sentReport: ReadingReport): void {
    const {now} = this.#time;
    const {variant} = this.#settings;
    if (this.#retryLeader.isSilent(now)) return;
    this.#totals.record(sentReport, now);
    const report = variant.individualReports
      ? sentReport
      : {...sentReport, running: []};
    if (report.readings.length + report.running.length === 0) return;
    for (const {readings} of this.#gateways) {
      readings.apply(toWireDigest([report]), now);
    }
  }

  #sendTotals(): void {
    const {now} = this.#time;
    if (this.#settings.variant.individualReports) return;
    if (this.#retryLeader.isSilent(now)) return;
    this.#totals.expireReports(now);
    this.#gateways.forEach(({readings}, at) => {
      const running = this.#feeds[at]?.next(this.#totals, now) ?? [];
      if (running.length === 0) return;
      readings.apply(toWireDigest([{node: '', readings: [], running}]), now);
    });
  }

  #scheduleArrival(kind: SimulatedRequestKind): void {
    const perMs = (kind.perSecond * this.#rateFactor) / MS_PER_SECOND;
    const {clump = 1} = this.#settings.load;
    this.#time.after(this.#random.exponential(clump / perMs), () => {
      if (this.#time.now >= this.#settings.endMs) return;
      this.#scheduleArrival(kind);
      const {clumpsAtOneGateway = false} = this.#settings.load;
      const gateway = clumpsAtOneGateway
        ? this.#random.pick(this.#gateways)
        : undefined;
      for (let nth = 0; nth < clump; nth += 1) this.#arrive(kind, gateway);
    });
  }

  #arrive(kind: SimulatedRequestKind, gateway?: SimulatedGateway): void {
    const req = this.#requests.draw(kind, this.#time.now);
    this.#statistics.recordRequest(kind, this.#time.now);
    (gateway ?? this.#random.pick(this.#gateways)).serve(req);
  }
}
