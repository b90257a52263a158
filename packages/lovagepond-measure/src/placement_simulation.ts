/**
 * Discrete-event simulation of placement: routers, backend servers and a stub
 * of control.
 */
import {encodeLoad, Random} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {
  type KeyHasher,
  PLACEMENT_POLICIES,
  type PlacementPolicy,
  type PlacementPolicyName,
} from '@lovagepond/router';
import {scheduleChurn} from './placement_churn.js';
import {OraclePolicy} from './placement_oracle.js';
import {PlacementOutcomes, SkewSampler} from './placement_outcomes.js';
import {
  HOP_MS,
  type PlacementSimulationSettings,
  type PlacementVariant,
} from './placement_simulation_types.js';
import {type Arrival} from './placement_workload.js';
import {SimulatedRouter} from './simulated_router.js';
import {
  SimulatedServer,
  type SimulatedServerDependencies,
} from './simulated_server.js';
import {VirtualTime} from './virtual_time.js';

const ANNOUNCE_INTERVAL_MS = 1_000;
const DIGEST_INTERVAL_MS = 1_000;
const DRAIN_LIMIT_MS = 15_000;
/** Up to this many servers, skew is sampled on each change of a load. */
const SAMPLE_EACH_CHANGE_UP_TO = 64;
const SAMPLE_INTERVAL_MS = 50;
/** HTTP/2 frame header and gRPC message prefix. */
const FRAME_BYTES = 14;
/** Encoded size of a member's name, labels, address and state. */
const MEMBER_BYTES = 120;
/** Offset of the seed of churn, which is the same for all variants. */
const CHURN_SEED_STEP = 7_919;
const CACHE_MOVE_TOKENS_PER_SECOND = 40_000;

/** The last announcement of a server. */
interface LastAnnouncement {
  readonly runningTokens: number;
  readonly queuedTokens: number;
  readonly at: number;
}

export interface PlacementResult {
  readonly outcomes: PlacementOutcomes;
  readonly skew: SkewSampler;
  /** Mean over the routers. */
  readonly controlBytesPerSecond: number;
  readonly events: number;
}

export class PlacementSimulation implements SimulatedServerDependencies {
  readonly time = new VirtualTime();
  readonly settings: PlacementSimulationSettings;
  readonly variant: PlacementVariant;
  readonly #hasher: KeyHasher;
  readonly #outcomes: PlacementOutcomes;
  readonly #skew: SkewSampler;
  readonly #random: Random;
  readonly #servers = new Map<string, SimulatedServer>();
  readonly #ready = new Set<SimulatedServer>();
  readonly #announced = new Map<SimulatedServer, LastAnnouncement>();
  readonly #routers: SimulatedRouter[];
  #slots = 0;
  /**
   * One byte of load per slot. A delisted server keeps its byte: if cleared, it
   * would mean an idle server to routers that still list the server, and they
   * would send it all of their requests.
   */
  #digest = new Uint8Array(0);
  #controlBytes = 0;
  #refreshScheduled = false;

  constructor(
    settings: PlacementSimulationSettings,
    variant: PlacementVariant,
    hasher: KeyHasher,
  ) {
    this.settings = settings;
    this.variant = variant;
    this.#hasher = hasher;
    this.#random = new Random(settings.seed);
    const {floorTokens, pool, warmUpMs} = settings;
    this.#outcomes = new PlacementOutcomes(warmUpMs);
    this.#skew = new SkewSampler(floorTokens, pool.loadBound, warmUpMs);
    const routerDependencies = {
      time: this.time,
      settings,
      hasher,
      outcomes: this.#outcomes,
    };
    this.#routers = Array.from(
      {length: settings.routers},
      (_, index) =>
        new SimulatedRouter(
          routerDependencies,
          this.#makePolicy(),
          settings.seed + index,
        ),
    );
  }

  /**
   * @param arrivals requests by time; each goes to a random router
   * @returns the results
   */
  run(arrivals: readonly Arrival[]): PlacementResult {
    const {servers, endMs} = this.settings;
    for (let index = 0; index < servers; index++) this.#addServer();
    for (const router of this.#routers) router.setList([...this.#ready]);
    for (const arrival of arrivals) {
      const router = this.#random.pick(this.#routers);
      this.time.at(arrival.at, () => router.dispatch(arrival));
    }
    scheduleChurn(this, new Random(this.settings.seed + CHURN_SEED_STEP));
    this.time.every(DIGEST_INTERVAL_MS, 500, () => this.#publishDigest());
    if (servers > SAMPLE_EACH_CHANGE_UP_TO) {
      this.time.every(SAMPLE_INTERVAL_MS, 0, () => this.#sampleSkew());
    }
    this.time.runUntil(endMs);
    const seconds = endMs / 1000;
    const controlBytesPerSecond =
      this.#controlBytes / this.settings.routers / seconds;
    const outcomes = this.#outcomes;
    const events = this.time.ran;
    return {outcomes, skew: this.#skew, controlBytesPerSecond, events};
  }

  findServer(name: string): SimulatedServer | undefined {
    return this.#servers.get(name);
  }

  /** @returns the servers listed as ready */
  get ready(): readonly SimulatedServer[] {
    return [...this.#ready];
  }

  changed(_server: SimulatedServer): void {
    if (this.settings.servers <= SAMPLE_EACH_CHANGE_UP_TO) this.#sampleSkew();
    if (this.variant.exact && this.variant.gated) this.#scheduleRefresh();
  }

  /** Starts a server under a new name and lists it. */
  join(): void {
    this.#addServer();
    this.#publishList();
  }

  /** @param server crashes and is delisted */
  crash(server: SimulatedServer): void {
    server.crash();
    this.delist(server);
  }

  /** @param server is delisted and finishes its requests */
  drain(server: SimulatedServer): void {
    this.delist(server);
    if (this.variant.moveCache) this.#moveCaches(server);
    server.drain(DRAIN_LIMIT_MS);
    this.time.after(DRAIN_LIMIT_MS, () => {
      server.crash();
    });
  }

  /** @param server is removed from control's list */
  delist(server: SimulatedServer): void {
    this.#ready.delete(server);
    this.#announced.delete(server);
    this.#publishList();
  }

  /** @param server is put back on control's list */
  relist(server: SimulatedServer): void {
    if (!server.alive || server.gate.draining) return;
    this.#ready.add(server);
    this.#publishList();
  }

  #makePolicy(): PlacementPolicy {
    const name = this.variant.policy;
    if (Object.hasOwn(PLACEMENT_POLICIES, name)) {
      return PLACEMENT_POLICIES[name as PlacementPolicyName](this.#hasher);
    }
    return new OraclePolicy(server => this.#servers.get(server)?.engine);
  }

  #addServer(): void {
    const slot = this.#slots++;
    const server = new SimulatedServer(`server-${slot}`, slot, this);
    this.#servers.set(server.name, server);
    this.#ready.add(server);
    const phase = this.#random.below(ANNOUNCE_INTERVAL_MS);
    const first = this.time.now + phase;
    this.time.every(ANNOUNCE_INTERVAL_MS, first, () => this.#announce(server));
  }

  #announce(server: SimulatedServer): void {
    if (!server.alive || !this.#ready.has(server)) return;
    const {now} = this.time;
    const {runningTokens, queuedTokens} = server.gate.load(now);
    this.#announced.set(server, {runningTokens, queuedTokens, at: now});
    let total = 0;
    let ages = 0;
    for (const announced of this.#announced.values()) {
      total += announced.runningTokens;
      ages += now - announced.at;
    }
    const count = this.#announced.size;
    const mean = {
      meanTokens: total / count,
      ageMs: ages / count,
      readyServers: this.#ready.size,
      ownTokens: runningTokens,
    };
    if (this.variant.exact) return;
    this.time.after(2 * HOP_MS, () => {
      server.gate.admission.setPoolMean(mean, this.time.now);
      server.tick();
    });
  }

  #publishDigest(): void {
    const measuredAt = this.time.now;
    const loads = new Uint8Array(this.#slots);
    loads.set(this.#digest);
    this.#digest = loads;
    const peers = [...this.#announced].map(([server, announced]) => {
      const tokens = announced.runningTokens + announced.queuedTokens;
      loads[server.slot] = encodeLoad(tokens);
      return {backendServer: server.name, address: '', tokens};
    });
    const {floorTokens} = this.settings;
    const loaded = peers.filter(({tokens}) => tokens > floorTokens);
    // Only live servers count for traffic: control reuses free slots.
    const live = loads.subarray(0, this.#ready.size);
    const load = {membership_version: 1, loads: live, age_ms: 500};
    const {length} = lovagepond.v1.ControlUpdate.encode({load}).finish();
    this.#controlBytes += (length + FRAME_BYTES) * this.#routers.length;
    this.time.after(HOP_MS, () => {
      for (const router of this.#routers) router.setDigest(loads, measuredAt);
      for (const server of this.#ready) {
        const others = loaded.filter(
          peer => peer.backendServer !== server.name,
        );
        server.setPeers(others);
      }
    });
  }

  /** Sends the list to each router with a random delay. */
  #publishList(): void {
    const {maxListLagMs} = this.settings;
    this.#controlBytes += MEMBER_BYTES * this.#routers.length;
    if (this.variant.exact) this.#scheduleRefresh();
    for (const router of this.#routers) {
      const lag = this.variant.exact ? 0 : this.#random.next() * maxListLagMs;
      this.time.after(lag, () => router.setList([...this.#ready]));
    }
    this.#sampleSkew();
  }

  #sampleSkew(): void {
    const loads: number[] = [];
    for (const server of this.#ready) {
      if (server.alive) loads.push(server.engine.loadTokens);
    }
    this.#skew.change(loads, this.time.now);
  }

  #scheduleRefresh(): void {
    if (this.#refreshScheduled) return;
    this.#refreshScheduled = true;
    this.time.after(0, () => {
      this.#refreshScheduled = false;
      this.#refreshExact();
    });
  }

  /** For exact variants: gives every gate the current mean. */
  #refreshExact(): void {
    const servers = [...this.#ready].filter(server => server.alive);
    const {now} = this.time;
    const loads = servers.map(({gate}) => gate.load(now));
    const total = loads.reduce((sum, load) => sum + load.runningTokens, 0);
    const peers = servers.map((server, index) => ({
      backendServer: server.name,
      address: '',
      tokens: loads[index]?.queuedTokens ?? 0,
    }));
    peers.sort((a, b) => b.tokens - a.tokens);
    servers.forEach((server, index) => {
      const mean = {
        meanTokens: total / servers.length,
        ageMs: 0,
        readyServers: servers.length,
        ownTokens: loads[index]?.runningTokens ?? 0,
      };
      server.gate.admission.setPoolMean(mean, now);
      server.setPeers(peers.slice(0, 1));
      if (server.gate.load(now).queuedRequests > 0) server.tick();
    });
  }

  /** Moves the caches of recent chats, newest first, to their next servers. */
  #moveCaches(leaving: SimulatedServer): void {
    const router = this.#routers[0];
    if (!router) return;
    let delayMs = 0;
    for (const chatKey of leaving.engine.cache.recentChats()) {
      const tokens = leaving.engine.cache.peek(chatKey);
      delayMs += (tokens * 1000) / CACHE_MOVE_TOKENS_PER_SECOND;
      if (delayMs > DRAIN_LIMIT_MS) return;
      this.time.after(delayMs, () => {
        const [workspace = '', chat = ''] = chatKey.split('\u0000');
        const target = router.homeOf(workspace, chat, leaving.name);
        target?.importCache(chatKey, leaving.engine.cache.peek(chatKey));
      });
    }
  }
}
