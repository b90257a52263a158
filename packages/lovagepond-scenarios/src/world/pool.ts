/**
 * A pool of gated servers that receive the pool's mean load once a second, as
 * control sends it, with a configurable age.
 */
import {Random} from '@lovagepond/core';
import {type Offer} from '@lovagepond/sidecar';
import {GatedServer, type RefusalRecord} from './gated_server.js';
import {type Timeline} from './timeline.js';

const SEED = 20_261_202;
const MEAN_INTERVAL_MS = 1_000;
const TAKE_INTERVAL_MS = 20;
const RESERVATION_MS = 250;
const ROUTER_RETRY_MS = 2;

/** Fixed properties of a pool. */
export interface PoolOptions {
  readonly size: number;
  readonly loadBound: number;
  readonly floorTokens: number;
  /** Age of the mean when it arrives, milliseconds. */
  readonly meanAgeMs: number;
}

/** The load of an engine that was highest relative to the engine's bound. */
export interface HighestLoad {
  readonly server: string;
  readonly tokens: number;
  readonly allowedTokens: number;
}

/** Servers, control's mean load, and routers that retry elsewhere. */
export class Pool {
  readonly servers: readonly GatedServer[];
  /** Request id to retry time in ms, of requests refused by all servers. */
  readonly refusedRequests = new Map<string, number>();
  highestLoad: HighestLoad = {server: '', tokens: 0, allowedTokens: Infinity};
  readonly #options: PoolOptions;
  readonly #timeline: Timeline;
  readonly #random = new Random(SEED);
  readonly #offers = new Map<string, {offer: Offer; tried: string[]}>();
  /** Running tokens of each server at the last three announcements. */
  #announcedLoads: (readonly number[])[] = [];

  constructor(options: PoolOptions, timeline: Timeline) {
    this.#options = options;
    this.#timeline = timeline;
    this.servers = Array.from({length: options.size}, (_, index) =>
      this.#makeServer(`engine-${index + 1}`, SEED + index),
    );
    this.#sendMean(0);
    timeline.repeat(MEAN_INTERVAL_MS, () => {
      this.#sendMean(options.meanAgeMs);
    });
  }

  /**
   * @param name a backend server's name
   * @returns the server
   */
  server(name: string): GatedServer {
    const found = this.servers.find(server => server.name === name);
    if (!found) throw new Error(`no backend server is named ${name}`);
    return found;
  }

  /**
   * Sends one request as a router does: to its server, then to the server named
   * by a refusal, then to the others. When all refuse, the caller is refused.
   *
   * @param offer the first attempt
   * @param server the first target
   */
  send(offer: Offer, server: string): void {
    this.#offers.set(offer.requestId, {offer, tried: [server]});
    this.server(server).offer(offer);
  }

  /** Makes servers with room take held requests from other servers. */
  startTakingWork(): void {
    this.#timeline.repeat(TAKE_INTERVAL_MS, () => {
      for (const taker of this.servers) this.#takeWork(taker);
    });
  }

  /** Current mean of the running tokens, without any delay. */
  get meanTokens(): number {
    const total = this.servers.reduce(
      (sum, server) => sum + server.runningTokens,
      0,
    );
    return total / this.servers.length;
  }

  #makeServer(name: string, seed: number): GatedServer {
    const {floorTokens, loadBound} = this.#options;
    const options = {name, floorTokens, tokensPerSecond: 500, seed};
    const server = new GatedServer(options, this.#timeline);
    server.gate.configure({...POLICY, loadBound}, 0);
    server.gate.cache.reset();
    server.onRefuse = refusal => {
      this.#retryElsewhere(server, refusal);
    };
    server.onDispatch = () => {
      this.#recordLoad(server);
    };
    return server;
  }

  /** Sends the current mean, which arrives after `meanAgeMs`. */
  #sendMean(meanAgeMs: number): void {
    const loads = this.servers.map(server => server.runningTokens);
    const meanTokens = this.meanTokens;
    this.#announcedLoads = [...this.#announcedLoads.slice(-2), loads];
    this.#timeline.schedule(meanAgeMs, () => {
      this.servers.forEach((server, index) => {
        server.gate.admission.setPoolMean(
          {
            meanTokens,
            ageMs: meanAgeMs,
            readyServers: this.servers.length,
            ownTokens: loads[index] ?? 0,
          },
          this.#timeline.now,
        );
      });
    });
  }

  /**
   * Compares the load with the bound at the highest mean that the server may
   * have used: its own load is current, the others may be the announced ones.
   */
  #recordLoad(server: GatedServer): void {
    const {loadBound, floorTokens, size} = this.#options;
    const tokens = server.runningTokens;
    const own = this.servers.indexOf(server);
    const currentLoads = this.servers.map(member => member.runningTokens);
    const totals = [...this.#announcedLoads, currentLoads].map(loads =>
      loads.reduce((sum, load, index) => sum + (index === own ? 0 : load), 0),
    );
    const mean = (Math.max(...totals) + tokens) / size;
    const allowedTokens = Math.max(floorTokens, loadBound * mean);
    const highestRatio =
      this.highestLoad.tokens / this.highestLoad.allowedTokens;
    if (tokens / allowedTokens <= highestRatio) return;
    this.highestLoad = {server: server.name, tokens, allowedTokens};
  }

  #retryElsewhere(server: GatedServer, refusal: RefusalRecord): void {
    const {attemptId, failure, pointer} = refusal;
    const requestId = attemptId.split('/')[0] ?? '';
    const entry = this.#offers.get(requestId);
    if (!entry) return;
    const others = this.servers
      .map(other => other.name)
      .filter(name => !entry.tried.includes(name));
    const next = pointer || others[this.#random.below(others.length || 1)];
    if (next === undefined) {
      this.refusedRequests.set(requestId, failure.retryAfterMs);
      return;
    }
    const tried = [...entry.tried, next];
    const handOvers =
      entry.offer.handOvers + (failure.kind === 'handedOver' ? 1 : 0);
    const offer: Offer = {
      ...entry.offer,
      attemptId: `${requestId}/${tried.length}`,
      incarnation: `${next}-1`,
      firstChoice: entry.offer.firstChoice || server.name,
      handOvers,
    };
    this.#offers.set(requestId, {offer, tried});
    this.#timeline.schedule(ROUTER_RETRY_MS, () => {
      this.server(next).offer(offer);
    });
  }

  #takeWork(taker: GatedServer): void {
    const {now} = this.#timeline;
    const roomTokens = taker.gate.roomForTake(now);
    if (roomTokens === 0) return;
    const victim = this.#random.pick(this.servers);
    if (victim === taker) return;
    taker.gate.reserve(victim.name, roomTokens, now + RESERVATION_MS);
    const {attemptIds, actions} = victim.gate.handOver(
      taker.name,
      roomTokens,
      now,
    );
    if (attemptIds.length === 0) taker.gate.reserve(victim.name, 0, now);
    victim.perform(actions);
  }
}

const POLICY = {
  maxHoldMs: 8_000,
  prefillTokensPerSecond: 8_000,
  decodeTokensPerSecond: 2_400,
  workspaces: new Map(),
};
