/**
 * The backend servers that this gateway may forward to, by pool.
 */
import {
  type BackendServer,
  isDirect,
  type Membership,
  SERVER_STATE,
  ServerPauses,
} from '@lovagepond/core';
import {type CapacityDescription, PoolMeans} from '@lovagepond/load';
import {type ServerSignals} from './gateway_headers.js';
import {GatewayLeavingServers} from './gateway_leaving_servers.js';
import {type CapacitySettings, ServerState} from './gateway_server_state.js';
import {
  DEFAULT_GATEWAY_SETTINGS,
  type GatewaySettings,
} from './gateway_settings.js';
import {
  isSameOrigin,
  originOf,
  type StreamOrigin,
} from './gateway_stream_origin.js';
import {ServerSuccessors} from './gateway_server_successors.js';
import {faultOf, type RejectedServer} from './gateway_server_validity.js';
import {UnlistedServers} from './gateway_unlisted_servers.js';

type FleetSettings = CapacitySettings & Pick<GatewaySettings, 'drainTimeoutMs'>;

/**
 * Part of its drain time in which a server still gets streams to continue. It
 * began to drain before this gateway was told, and accepts requests to the end.
 */
const CONTINUING_PART = 0.5;

/** States of all servers without a sidecar, kept across membership changes. */
export class GatewayFleet {
  readonly #states = new Map<string, ServerState>();
  readonly #unlisted = new UnlistedServers();
  readonly #successors = new ServerSuccessors();
  readonly #leaving = new GatewayLeavingServers();
  readonly #pauses = new ServerPauses();
  /** When servers were first seen draining, monotonic ms, by name. */
  readonly #drainingSince = new Map<string, number>();
  readonly #settings: FleetSettings;
  readonly #means = new Map<string, PoolMeans>();
  #byPool = new Map<string, readonly ServerState[]>();
  #rejected: readonly RejectedServer[] = [];

  /** @param settings those that concern each server */
  constructor(settings: Partial<FleetSettings> = {}) {
    this.#settings = {...DEFAULT_GATEWAY_SETTINGS, ...settings};
  }

  /** Number of listed servers. */
  get size(): number {
    return this.#states.size;
  }

  /** Listed servers that can't be forwarded to. */
  get rejected(): readonly RejectedServer[] {
    return this.#rejected;
  }

  /** Number of servers that have asked for a pause. */
  get paused(): number {
    return this.#pauses.size;
  }

  /** Number of servers that said that they are about to exit. */
  get leaving(): number {
    return this.#leaving.size;
  }

  /**
   * @param membership the newest list from control
   * @returns names of the listed servers that can be forwarded to
   */
  useMembership(membership: Membership): ReadonlySet<string> {
    const byPool = new Map<string, ServerState[]>();
    const listed = new Set<string>();
    const rejected: RejectedServer[] = [];
    for (const server of membership.servers.values()) {
      if (!isDirect(server)) continue;
      const fault = faultOf(server);
      if (fault) {
        rejected.push({name: server.name, fault});
        continue;
      }
      listed.add(server.name);
      const state = this.#stateOf(server);
      this.#noteFirstSeen(server);
      state.useServer(server, this.#meansOf(server.pool));
      if (this.#successors.isFormer(server)) state.markReplaced();
      this.#states.set(server.name, state);
      byPool.set(server.pool, [...(byPool.get(server.pool) ?? []), state]);
    }
    for (const [name, state] of this.#states) {
      if (listed.has(name)) continue;
      this.#states.delete(name);
      this.#unlisted.add(state);
    }
    this.#byPool = byPool;
    this.#rejected = rejected;
    for (const pool of this.#means.keys()) {
      if (!byPool.has(pool)) this.#means.delete(pool);
    }
    return listed;
  }

  /**
   * A gateway that has just started, or has just got the server listed, can't know
   * how long ago it began to drain.
   */
  #noteFirstSeen({name, state}: BackendServer): void {
    if (this.#states.has(name) || state !== SERVER_STATE.DRAINING) return;
    this.#drainingSince.set(name, Number.NEGATIVE_INFINITY);
  }

  #stateOf(server: BackendServer): ServerState {
    const {name, pool} = server;
    const known = this.#states.get(name) ?? this.#unlisted.take(server);
    if (known) return known;
    return new ServerState(server, this.#settings, this.#meansOf(pool));
  }

  #meansOf(pool: string): PoolMeans {
    const known = this.#means.get(pool);
    if (known) return known;
    const means = new PoolMeans(now =>
      this.listed(pool).map(({capacity}) => capacity.observed(now)),
    );
    this.#means.set(pool, means);
    return means;
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    for (const state of this.#states.values()) {
      state.expireRemoteRequests(now);
      this.#noteDraining(state.server, now);
    }
    for (const name of this.#drainingSince.keys()) {
      if (!this.#states.has(name)) this.#drainingSince.delete(name);
    }
    this.#unlisted.expire(now);
    this.#pauses.expire(now);
    this.#leaving.expire(server => this.#states.has(server), now);
  }

  /**
   * @param state the server of a response
   * @param signals what the response says about the server
   * @param now current time, monotonic milliseconds
   * @returns true if the server has just stopped accepting requests
   */
  noteSignals(
    {server}: ServerState,
    {isLeaving, pauseMs}: ServerSignals,
    now: number,
  ): boolean {
    const leaves = isLeaving && this.#leaving.note(server.name, now);
    const pauses = pauseMs > 0 && this.#pauses.note(server.name, pauseMs, now);
    return leaves || pauses;
  }

  /**
   * @param state a server
   * @param now current time, monotonic milliseconds
   * @returns true if new requests may be sent to the server
   */
  accepts(state: ServerState, now: number): boolean {
    return (
      this.#isReady(state) && this.#pauses.leftMs(state.server.name, now) === 0
    );
  }

  /**
   * @param state a server
   * @param now current time, monotonic milliseconds
   * @returns true if the server may continue a stream: it accepts requests, or
   *     has begun to drain a short time ago
   */
  mayContinue(state: ServerState, now: number): boolean {
    return this.accepts(state, now) || this.#isDraining(state, now);
  }

  #isDraining(state: ServerState, now: number): boolean {
    const {server} = state;
    if (this.#hasLeft(state) || server.state !== SERVER_STATE.DRAINING) {
      return false;
    }
    const since = this.#drainingSince.get(server.name) ?? now;
    const isInTime =
      now - since < this.#settings.drainTimeoutMs * CONTINUING_PART;
    return isInTime && this.#pauses.leftMs(server.name, now) === 0;
  }

  #noteDraining({name, state}: BackendServer, now: number): void {
    if (state !== SERVER_STATE.DRAINING) this.#drainingSince.delete(name);
    else if (!this.#drainingSince.has(name)) this.#drainingSince.set(name, now);
  }

  #isReady(state: ServerState): boolean {
    return state.server.state === SERVER_STATE.READY && !this.#hasLeft(state);
  }

  #hasLeft({isReplaced, server}: ServerState): boolean {
    return isReplaced || this.#leaving.has(server.name);
  }

  /** @returns the names of all pools with servers */
  pools(): Iterable<string> {
    return this.#byPool.keys();
  }

  /** @returns all servers of all pools */
  all(): Iterable<ServerState> {
    return this.#states.values();
  }

  /**
   * @param name a server
   * @returns its state while it is listed
   */
  find(name: string): ServerState | undefined {
    return this.#states.get(name);
  }

  /**
   * @param pool a pool's name
   * @param now current time, monotonic milliseconds
   * @returns its servers that accept new requests
   */
  ready(pool: string, now: number): readonly ServerState[] {
    return this.listed(pool).filter(state => this.accepts(state, now));
  }

  /**
   * @param pool a pool's name
   * @param now current time, monotonic milliseconds
   * @returns its servers that have begun to drain a short time ago
   */
  draining(pool: string, now: number): readonly ServerState[] {
    return this.listed(pool).filter(state => this.#isDraining(state, now));
  }

  /**
   * @param servers servers of a pool
   * @param now current time, monotonic milliseconds
   * @returns time until the first of them accepts requests again, milliseconds;
   *     0 when it is unknown or one of them accepts requests
   */
  pauseLeftMs(servers: readonly ServerState[], now: number): number {
    const ready = servers.filter(state => this.#isReady(state));
    if (ready.length === 0) return 0;
    return Math.min(
      ...ready.map(({server}) => this.#pauses.leftMs(server.name, now)),
    );
  }

  /**
   * @param pool a pool's name
   * @returns all its servers, draining ones included
   */
  listed(pool: string): readonly ServerState[] {
    return this.#byPool.get(pool) ?? [];
  }

  /**
   * @param origin servers of one version
   * @returns true if their pool has servers of another version, or had some until
   *     lately, as far as this gateway knows
   */
  hasOtherVersions(origin: StreamOrigin): boolean {
    return [...this.listed(origin.pool), ...this.#unlisted.list()]
      .filter(({server}) => server.pool === origin.pool)
      .some(({server}) => !isSameOrigin(originOf(server), origin));
  }

  /** @returns the number of listed servers, by pool and version */
  countByVersion(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const {server} of this.#states.values()) {
      const {pool, version} = originOf(server);
      const name = `${pool} ${version}`;
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }

  /** @returns every server's load by its name, for the state dump */
  describe(now: number): Record<string, number> {
    const states = [...this.#states.values()];
    return Object.fromEntries(
      states.map(state => [state.server.name, Math.round(state.load(now))]),
    );
  }

  /** @returns every server's estimates by its name, for the state dump */
  describeCapacity(now: number): Record<string, CapacityDescription> {
    const states = [...this.#states.values()];
    return Object.fromEntries(
      states.map(({server, capacity}) => [server.name, capacity.describe(now)]),
    );
  }
}
