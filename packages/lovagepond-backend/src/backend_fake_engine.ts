/**
 * A fake model engine without I/O. Callers pass requests and the current time
 * and get the engine's outputs. It runs in virtual time or behind HTTP.
 */
import {
  FakeBatch,
  type FakeBatchSettings,
  type FakeJob,
} from './backend_fake_batch.js';
import {
  type CacheChange,
  type CacheEntry,
  FakePrefixCache,
} from './backend_fake_cache.js';
import {type FakeFaults} from './backend_fake_faults.js';
import {
  type CacheKey,
  type EngineOrder,
  type EngineOrderOutcome,
  type EngineUsage,
  type LoadReport,
  ORDER_ACTION,
  type OrderAction,
} from './backend_model_engine.js';

/** Speed, size and behavior of a fake engine. */
export interface FakeEngineSettings extends FakeBatchSettings {
  /** Size of the prefix cache, tokens. */
  readonly cacheTokens: number;
  /** Age of the load report. */
  readonly loadLagMs: number;
  /** Delay of cache events. */
  readonly cacheEventLagMs: number;
  /** Whether to reject orders with a fencing token below one seen before. */
  readonly obeysFencing: boolean;
  readonly models: readonly string[];
}

/** Values similar to those of a small model on one accelerator. */
export const DEFAULT_FAKE_ENGINE_SETTINGS: FakeEngineSettings = Object.freeze({
  capacityTokens: 64_000,
  maxRequests: 64,
  prefillTokensPerSecond: 8_000,
  decodeTokensPerSecond: 2_400,
  stepMs: 20,
  prefillTokensPerStep: 512,
  cacheTokens: 200_000,
  loadLagMs: 500,
  cacheEventLagMs: 200,
  obeysFencing: true,
  models: ['small'],
});

/** Output of the engine; `at` is the time, monotonic milliseconds. */
export type FakeEngineOutput =
  | {
      readonly kind: 'started';
      readonly requestId: string;
      readonly at: number;
      readonly cachedTokens: number;
    }
  | {
      readonly kind: 'token';
      readonly requestId: string;
      readonly at: number;
      readonly index: number;
    }
  | {
      readonly kind: 'finished';
      readonly requestId: string;
      readonly at: number;
      readonly usage: EngineUsage;
    };

/** A cache change and the time from which subscribers can get it. */
interface PublishedChange {
  readonly change: CacheChange;
  readonly publishAt: number;
}

const MAX_CACHE_CHANGES = 4_096;
const LOAD_RETENTION_MS = 5_000;
const LOAD_REPORTS_PER_TRIM = 64;
const NO_LOAD = {runningTokens: 0, waitingTokens: 0, runningRequests: 0};

export class FakeEngine {
  readonly #settings: FakeEngineSettings;
  #batch: FakeBatch;
  #cache: FakePrefixCache;
  #startCount = 1;
  #stepEndsAt: number | undefined;
  #changes: PublishedChange[] = [];
  #reports: LoadReport[] = [];
  #fencingFloor = 0;
  #models: readonly string[];
  #role = '';
  #faults: FakeFaults = {};

  /** @param settings speed, size and behavior */
  constructor(settings: FakeEngineSettings) {
    this.#settings = settings;
    this.#batch = new FakeBatch(settings);
    this.#cache = new FakePrefixCache(settings.cacheTokens);
    this.#models = settings.models;
  }

  /** Changes with each restart. */
  get incarnation(): string {
    return `engine-${this.#startCount}`;
  }

  /** The role set by the last order; empty before the first. */
  get role(): string {
    return this.#role;
  }

  get models(): readonly string[] {
    return this.#models;
  }

  /** Current number of tokens of all running and waiting requests. */
  get outstandingTokens(): number {
    return this.#batch.runningTokens + this.#batch.waitingTokens;
  }

  /** @param faults the faults to inject from now on */
  setFaults(faults: FakeFaults): void {
    this.#faults = faults;
  }

  /**
   * @param job a request whose id is not in use
   * @param now current time, monotonic milliseconds
   * @returns the immediate outputs
   */
  submit(job: FakeJob, now: number): FakeEngineOutput[] {
    this.#batch.add(job);
    const outputs = this.#stepEndsAt === undefined ? this.#admit(now) : [];
    this.#recordLoad(now);
    return outputs;
  }

  /**
   * @param requestId id of a waiting or running request
   * @param now current time, monotonic milliseconds
   * @returns true when the request was found and removed
   */
  cancel(requestId: string, now: number): boolean {
    const removed = this.#batch.remove(requestId);
    this.#recordLoad(now);
    return removed;
  }

  /** @returns the time of the engine's next step, undefined when idle */
  nextAt(): number | undefined {
    return this.#stepEndsAt;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns all outputs up to now, in order
   */
  advance(now: number): FakeEngineOutput[] {
    const outputs: FakeEngineOutput[] = [];
    while (this.#stepEndsAt !== undefined && this.#stepEndsAt <= now) {
      const at = this.#stepEndsAt;
      this.#finishStep(at, outputs);
      outputs.push(...this.#admit(at));
      this.#recordLoad(at);
    }
    return outputs;
  }

  /**
   * @param after sequence number of the last received event
   * @param now current time, monotonic milliseconds
   * @returns the changes published since, without those lost by a fault
   */
  cacheChangesAfter(after: number, now: number): CacheChange[] {
    const every = this.#faults.dropCacheEventEvery ?? 0;
    const extra = this.#faults.cacheEventLagMs ?? 0;
    return this.#changes
      .filter(({change, publishAt}) => {
        if (change.sequence <= after || publishAt + extra > now) return false;
        return every === 0 || change.sequence % every !== 0;
      })
      .map(({change}) => change);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns sequence number of the last published change, lost or not
   */
  cachePosition(now: number): number {
    const extra = this.#faults.cacheEventLagMs ?? 0;
    const out = this.#changes.findLast(item => item.publishAt + extra <= now);
    return out?.change.sequence ?? 0;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the load as it was before the configured lag
   */
  loadReport(now: number): LoadReport {
    const lag = Math.max(this.#settings.loadLagMs, this.#faults.loadLagMs ?? 0);
    const old = this.#reports.findLast(item => item.measuredAt <= now - lag);
    return old ?? {...this.#makeReport(now - lag), ...NO_LOAD};
  }

  /** @returns cached chats, the most recently used first */
  listCache(): CacheEntry[] {
    return this.#cache.list();
  }

  /**
   * @param key a chat
   * @returns the number of currently cached tokens of its context
   */
  cachedTokens(key: CacheKey): number {
    return this.#cache.peek(key);
  }

  /**
   * @param key a chat whose context was exported by another engine
   * @param tokens length of the context
   * @param now current time, monotonic milliseconds
   * @returns false when it doesn't fit
   */
  importCache(key: CacheKey, tokens: number, now: number): boolean {
    if (tokens > this.#settings.cacheTokens) return false;
    if (tokens > this.#cache.peek(key)) this.#store(key, tokens, now);
    return true;
  }

  /**
   * @param order the order to execute
   * @returns the outcome
   */
  order(order: EngineOrder): EngineOrderOutcome {
    const checks = this.#settings.obeysFencing && !this.#faults.ignoreFencing;
    if (checks && order.fencingToken < this.#fencingFloor) {
      const message = `the floor is ${this.#fencingFloor}`;
      return {outcome: 'fenced', message};
    }
    this.#fencingFloor = Math.max(this.#fencingFloor, order.fencingToken);
    const message = this.#orderHandlers[order.action](order.arguments);
    return {outcome: message === '' ? 'done' : 'failed', message};
  }

  /**
   * Restarts the engine: all requests, the cache, models loaded by order and
   * the last fencing token are lost.
   */
  restart(): void {
    this.#startCount += 1;
    this.#batch = new FakeBatch(this.#settings);
    this.#cache = new FakePrefixCache(this.#settings.cacheTokens);
    this.#models = this.#settings.models;
    this.#fencingFloor = 0;
    this.#stepEndsAt = undefined;
    this.#changes = [];
    this.#reports = [];
  }

  readonly #orderHandlers: Readonly<
    Record<OrderAction, (args: EngineOrder['arguments']) => string>
  > = {
    [ORDER_ACTION.LOAD_MODEL]: args => {
      const model = args['model'];
      if (!model) return 'no model is named';
      this.#models = [...new Set([...this.#models, model])];
      return '';
    },
    [ORDER_ACTION.UNLOAD_MODEL]: args => {
      const model = args['model'] ?? '';
      if (!this.#models.includes(model)) return 'the model is not loaded';
      this.#models = this.#models.filter(other => other !== model);
      return '';
    },
    [ORDER_ACTION.CHANGE_ROLE]: args => {
      this.#role = args['role'] ?? '';
      return this.#role === '' ? 'no role is named' : '';
    },
  };

  #admit(now: number): FakeEngineOutput[] {
    const taken = this.#batch.admit(job => this.#cache.use(job));
    const duration = this.#batch.stepDuration();
    this.#stepEndsAt = duration === undefined ? undefined : now + duration;
    return taken.map(({job, cachedTokens}) => ({
      kind: 'started',
      requestId: job.requestId,
      at: now,
      cachedTokens,
    }));
  }

  #finishStep(at: number, outputs: FakeEngineOutput[]): void {
    for (const {run, finished} of this.#batch.step()) {
      const {job, cachedTokens, answered} = run;
      const {requestId, promptTokens, answerTokens} = job;
      outputs.push({kind: 'token', requestId, at, index: answered - 1});
      if (!finished) continue;
      this.#store(job, promptTokens + answerTokens, at);
      const usage = {promptTokens, cachedTokens, answerTokens};
      outputs.push({kind: 'finished', requestId, at, usage});
    }
  }

  #store(key: CacheKey, tokens: number, now: number): void {
    const {workspace, chat} = key;
    const publishAt = now + this.#settings.cacheEventLagMs;
    const changes = this.#cache.store({workspace, chat}, tokens);
    for (const change of changes) this.#changes.push({change, publishAt});
    const surplus = this.#changes.length - MAX_CACHE_CHANGES;
    if (surplus > 0) this.#changes.splice(0, surplus);
  }

  #recordLoad(now: number): void {
    this.#reports.push(this.#makeReport(now));
    const lag = Math.max(this.#settings.loadLagMs, this.#faults.loadLagMs ?? 0);
    const oldest = now - Math.max(lag, LOAD_RETENTION_MS);
    if (this.#reports.length < 2 * LOAD_REPORTS_PER_TRIM) return;
    const kept = this.#reports.findLastIndex(item => item.measuredAt <= oldest);
    if (kept > 0) this.#reports.splice(0, kept);
  }

  #makeReport(measuredAt: number): LoadReport {
    return {
      incarnation: this.incarnation,
      runningTokens: this.#batch.runningTokens,
      waitingTokens: this.#batch.waitingTokens,
      runningRequests: this.#batch.runningRequests,
      capacityTokens: this.#settings.capacityTokens,
      cachedTokens: this.#cache.tokens,
      measuredAt,
      models: this.#models,
    };
  }
}
