/**
 * Admission control of this gateway: one queue for each pool whose configuration
 * asks for it. Requests of the other pools are sent at once.
 */
import {
  type Clock,
  type ConfigurationContent,
  type Logger,
  type Random,
} from '@lovagepond/core';
import {OverloadCounters} from './gateway_overload_counters.js';
import {PoolOverload} from './gateway_pool_overload.js';
import {type GatewayShares} from './gateway_shares.js';

/**
 * Longest time between checks while requests wait, milliseconds. The end of a
 * pause or of a backoff, a warm-up limit, and the requests of other gateways
 * may open a server without an event at this gateway.
 */
const RECHECK_MS = 25;

/** Shortest time between checks without an event, milliseconds. */
const MIN_CHECK_MS = 1;

/** Interval of checks for the end of congestion, milliseconds. */
const CALM_CHECK_MS = 250;

export interface OverloadDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  /** The shares of the pools with admission control. */
  readonly shares: GatewayShares;
}

export class GatewayOverload {
  readonly #deps: OverloadDependencies;
  readonly #counters = new OverloadCounters();
  readonly #pools = new Map<string, PoolOverload>();
  /** Pools with an event since they were last pumped. */
  readonly #changed = new Set<PoolOverload>();
  #lastId = 0;
  #timer: NodeJS.Timeout | undefined;
  #timerAt = Infinity;
  #isDraining = false;
  #isStopped = false;

  constructor(deps: OverloadDependencies) {
    this.#deps = deps;
    const {shares} = deps;
    shares.listen(name => {
      this.#pools.get(name)?.useWeights(shares.weightsOf(name));
    });
  }

  /** True while a pool has admission control. */
  get isActive(): boolean {
    return this.#pools.size > 0;
  }

  /** @returns an id that no other request of this gateway has */
  takeId(): string {
    this.#lastId += 1;
    return String(this.#lastId);
  }

  /** True once a request that would have to wait is refused instead. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /**
   * @param pool a pool's name
   * @returns its admission control; undefined if requests are sent at once
   */
  find(pool: string): PoolOverload | undefined {
    return this.#pools.get(pool);
  }

  /**
   * Applies to queued requests, too: those of a pool without admission control
   * are sent at once.
   *
   * @param content the installed configuration
   */
  useConfiguration(content: ConfigurationContent): void {
    const {shares} = this.#deps;
    shares.useWorkspaces(content);
    const kept = new Set<string>();
    for (const {name, admission: settings} of content.pools) {
      if (!settings) continue;
      kept.add(name);
      const pool = this.#pools.get(name) ?? this.#add(name, settings);
      pool.configure(settings, shares.weightsOf(name));
    }
    for (const [name, pool] of this.#pools) {
      if (kept.has(name)) continue;
      this.#pools.delete(name);
      pool.releaseAll(this.#now());
    }
    this.pumpAll();
  }

  #add(
    name: string,
    settings: ConstructorParameters<typeof PoolOverload>[1],
  ): PoolOverload {
    const {log, random, shares} = this.#deps;
    const pool = new PoolOverload(name, settings, {
      log,
      random,
      shares,
      counters: this.#counters,
    });
    this.#pools.set(name, pool);
    return pool;
  }

  /**
   * Called when the list of servers has changed.
   *
   * @param listed names of the servers that control lists
   */
  keepOnly(listed: ReadonlySet<string>): void {
    for (const pool of this.#pools.values()) pool.keepOnly(listed);
    this.noteServersChanged();
  }

  /** Called when a server accepts requests no longer, or again. */
  noteServersChanged(): void {
    const now = this.#now();
    for (const pool of this.#pools.values()) pool.refuseWithoutServer(now);
    this.pumpAll();
  }

  /**
   * Answers the queued requests, so that callers turn to another gateway. From
   * now on, a request that would have to wait is refused.
   */
  beginDraining(): void {
    this.#isDraining = true;
    for (const pool of this.#pools.values()) pool.refuseAll();
  }

  /** Answers the queued requests; no checks follow. */
  stop(): void {
    this.beginDraining();
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Starts and refuses what can be in all pools. */
  pumpAll(): void {
    const now = this.#now();
    for (const pool of this.#pools.values()) pool.pump(now);
    this.#schedule(now);
  }

  /**
   * Starts and refuses what can be once the present event is dealt with: the
   * failure of a server is known by then.
   *
   * @param pool the pool that the event concerns
   */
  pumpSoon(pool: PoolOverload): void {
    const isScheduled = this.#changed.size > 0;
    this.#changed.add(pool);
    if (isScheduled) return;
    queueMicrotask(() => {
      const now = this.#now();
      const changed = [...this.#changed];
      this.#changed.clear();
      for (const one of changed) one.pump(now);
      this.#schedule(now);
    });
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns queues, windows and counters, for the state dump and metrics
   */
  describe(now: number): Record<string, unknown> {
    const pools: Record<string, unknown> = {};
    const waitingByPool: Record<string, number> = {};
    const engagedByPool: Record<string, number> = {};
    const shares = new Map(
      this.#deps.shares.describe(now).map(({pool, ...view}) => [pool, view]),
    );
    for (const [name, pool] of this.#pools) {
      const state = pool.describe(now);
      pools[name] = {...state, shares: shares.get(name)};
      waitingByPool[name] = state.waiting;
      engagedByPool[name] = state.engagedServers;
    }
    return {pools, waitingByPool, engagedByPool, ...this.#counters.read()};
  }

  #now(): number {
    return this.#deps.clock.now();
  }

  /** Sets the only timer to the earliest check that any pool needs. */
  #schedule(now: number): void {
    if (this.#isStopped) return;
    let at = Infinity;
    for (const pool of this.#pools.values()) {
      if (pool.waiting > 0) {
        const checkAt = pool.nextCheckAt(now) ?? Infinity;
        at = Math.min(at, checkAt, now + RECHECK_MS);
      } else if (pool.isCongested) at = Math.min(at, now + CALM_CHECK_MS);
    }
    if (at === Infinity) return;
    // A timer that fires too early finds nothing to do and is set again.
    if (this.#timerAt <= at) return;
    clearTimeout(this.#timer);
    this.#timerAt = at;
    this.#timer = setTimeout(
      () => {
        this.#timerAt = Infinity;
        this.pumpAll();
      },
      Math.max(MIN_CHECK_MS, at - now),
    );
  }
}
