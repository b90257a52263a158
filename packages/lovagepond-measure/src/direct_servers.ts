/**
 * Simulated engines and plain services that gateways reach without a sidecar.
 * Engines have serial prefill, parallel decoding and an LRU cache of shared
 * prompt parts, and fetch contexts from each other.
 */
import {type PromptPart} from '@lovagepond/gateway/deciders';
import {type GatewaySimulationStatistics} from './gateway_simulation_statistics.js';
import {type EngineProfile} from './gateway_simulation_types.js';
import {type VirtualTime} from './virtual_time.js';

/** One request at an engine. */
export interface EngineRequest {
  /** Shared parts, then the request's own. */
  readonly parts: readonly PromptPart[];
  readonly events: number;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  readonly source: DirectEngine | undefined;
  onFirst(): void;
  onEnd(): void;
  /** Called when the request fails or the engine crashes. */
  onBroken(): void;
  /** Called when the engine's queue is full. */
  onRefused(): void;
}

interface QueuedRequest {
  readonly run: EngineRequest;
  readonly order: number;
}

function tokensOf(run: EngineRequest): number {
  return run.parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

export class DirectEngine {
  readonly #profile: EngineProfile;
  readonly #time: VirtualTime;
  readonly #statistics: GatewaySimulationStatistics;
  readonly #running = new Set<EngineRequest>();
  #waiting: QueuedRequest[] = [];
  /** Tokens of cached shared parts by prefix, least recently used first. */
  readonly #cached = new Map<string, number>();
  #cachedTokens = 0;
  #runningTokens = 0;
  #readsUntil = 0;
  #isUp = true;
  #lastOrder = 0;
  /** Share of requests that the engine fails. */
  failureShare = 0;
  /** Virtual time at which it is warm. */
  coldUntil = 0;
  readonly #draw: () => number;

  /**
   * @param profile speed and capacity
   * @param time virtual clock
   * @param statistics records the use of shared parts
   * @param draw returns random numbers from 0 to 1, for failures
   */
  constructor(
    profile: EngineProfile,
    time: VirtualTime,
    statistics: GatewaySimulationStatistics,
    draw: () => number,
  ) {
    this.#profile = profile;
    this.#time = time;
    this.#statistics = statistics;
    this.#draw = draw;
  }

  /** Numbers of running and queued requests. */
  get load(): {readonly running: number; readonly waiting: number} {
    return {running: this.#running.size, waiting: this.#waiting.length};
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /** @returns true when the engine caches this prefix */
  holds(prefix: string): boolean {
    return this.#isUp && this.#cached.has(prefix);
  }

  /** @param run a request that arrives now */
  start(run: EngineRequest): void {
    if (!this.#isUp) {
      run.onBroken();
      return;
    }
    if (this.failureShare > 0 && this.#draw() < this.failureShare) {
      this.#time.after(this.#profile.stepMs, () => {
        run.onBroken();
      });
      return;
    }
    if (this.#waiting.length >= this.#profile.queue) {
      run.onRefused();
      return;
    }
    this.#lastOrder += 1;
    this.#waiting.push({run, order: this.#lastOrder});
    this.#waiting.sort(
      (left, right) =>
        right.run.priority - left.run.priority || left.order - right.order,
    );
    this.#admit();
  }

  /** Crashes: breaks all requests and loses the cache. */
  crash(): void {
    this.#isUp = false;
    const lost = [...this.#running, ...this.#waiting.map(({run}) => run)];
    this.#running.clear();
    this.#waiting = [];
    for (const run of lost) run.onBroken();
  }

  #admit(): void {
    while (this.#running.size < this.#profile.slots) {
      const next = this.#waiting.shift();
      if (!next) return;
      this.#begin(next.run);
    }
  }

  #begin(run: EngineRequest): void {
    const {readTokensPerMs, fetchTokensPerMs, firstMs} = this.#profile;
    const now = this.#time.now;
    this.#running.add(run);
    this.#runningTokens += tokensOf(run);
    const {unread, fetched} = this.#loadParts(run, now);
    const workMs = firstMs + unread / readTokensPerMs;
    this.#readsUntil = Math.max(now, this.#readsUntil) + workMs;
    const readAt = this.#readsUntil + fetched / fetchTokensPerMs;
    this.#time.at(readAt, () => {
      if (!this.#running.has(run)) return;
      this.#storeParts(run);
      run.onFirst();
      this.#generate(run);
    });
  }

  #loadParts(
    {parts, source}: EngineRequest,
    now: number,
  ): {readonly unread: number; readonly fetched: number} {
    let prefix = '';
    let unread = parts.at(-1)?.tokens ?? 0;
    let fetched = 0;
    let isCached = true;
    let isAtSource = source !== undefined;
    for (const {id, tokens} of parts.slice(0, -1)) {
      prefix += `/${id}`;
      isCached &&= this.#cached.has(prefix);
      isAtSource &&= source?.holds(prefix) ?? false;
      const how = isCached ? 'held' : isAtSource ? 'fetched' : 'read';
      if (how === 'read') unread += tokens;
      if (how === 'fetched') fetched += tokens;
      this.#statistics.recordSharedPart(prefix, tokens, how, now);
    }
    return {unread, fetched};
  }

  /** Caches the shared parts and evicts the least recently used ones. */
  #storeParts({parts}: EngineRequest): void {
    let prefix = '';
    for (const {id, tokens} of parts.slice(0, -1)) {
      prefix += `/${id}`;
      if (!this.#cached.delete(prefix)) this.#cachedTokens += tokens;
      this.#cached.set(prefix, tokens);
    }
    const {memoryTokens} = this.#profile;
    for (const [oldest, tokens] of this.#cached) {
      if (this.#cachedTokens + this.#runningTokens <= memoryTokens) return;
      this.#cached.delete(oldest);
      this.#cachedTokens -= tokens;
    }
  }

  #generate(run: EngineRequest): void {
    const {tokensPerEvent, stepMs, stepMsPerRequest} = this.#profile;
    const perToken = stepMs + stepMsPerRequest * this.#running.size;
    const lengthMs = (run.events - 1) * tokensPerEvent * perToken;
    this.#time.after(Math.max(0, lengthMs), () => {
      if (!this.#running.delete(run)) return;
      this.#runningTokens -= tokensOf(run);
      run.onEnd();
      this.#admit();
    });
  }
}

/** A simulated plain service with parallel slots and a queue. */
export class DirectService {
  readonly #slots: number;
  readonly #queue: number;
  readonly #time: VirtualTime;
  readonly #waiting: (() => void)[] = [];
  readonly #draw: () => number;
  #running = 0;
  /** Injected share of failing calls; applies if above the usual share. */
  failureShare = 0;
  /** Multiple of the usual processing time. */
  slowness = 1;
  #isUp = true;

  /**
   * @param slots limit of running calls
   * @param queue limit of queued calls
   * @param time virtual clock
   * @param draw returns random numbers from 0 to 1, for failures
   */
  constructor(
    slots: number,
    queue: number,
    time: VirtualTime,
    draw: () => number,
  ) {
    this.#slots = slots;
    this.#queue = queue;
    this.#time = time;
    this.#draw = draw;
  }

  get load(): {readonly running: number; readonly waiting: number} {
    return {running: this.#running, waiting: this.#waiting.length};
  }

  /** Crashes: running, queued and new calls end as broken. */
  crash(): void {
    this.#isUp = false;
  }

  /**
   * @param workMs usual processing time, milliseconds
   * @param usualFailures share of calls that a healthy service fails
   * @param onEnd called with the outcome
   */
  start(
    workMs: number,
    usualFailures: number,
    onEnd: (outcome: 'ok' | 'failed' | 'broken' | 'refused') => void,
  ): void {
    if (!this.#isUp) onEnd('broken');
    else if (this.#running < this.#slots) {
      this.#run(workMs, usualFailures, onEnd);
    } else if (this.#waiting.length < this.#queue) {
      this.#waiting.push(() => {
        this.#run(workMs, usualFailures, onEnd);
      });
    } else onEnd('refused');
  }

  #run(
    workMs: number,
    usualFailures: number,
    onEnd: (outcome: 'ok' | 'failed' | 'broken') => void,
  ): void {
    this.#running += 1;
    this.#time.after(workMs * this.slowness, () => {
      this.#running -= 1;
      this.#waiting.shift()?.();
      const part = Math.max(this.failureShare, usualFailures);
      if (!this.#isUp) onEnd('broken');
      else onEnd(this.#draw() < part ? 'failed' : 'ok');
    });
  }
}
