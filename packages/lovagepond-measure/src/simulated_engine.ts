/**
 * A simulated model engine: serial prefill, decoding shared by all streams, and
 * a prefix cache with LRU eviction by chat.
 */
import {MinHeap} from './virtual_time.js';

const MS_PER_SECOND = 1000;

/** Speed and capacity of an engine. */
export interface SimulatedEngineSettings {
  readonly prefillTokensPerSecond: number;
  /** Total over all streams. */
  readonly decodeTokensPerSecond: number;
  /** Limit of one stream. */
  readonly streamTokensPerSecond: number;
  /** Limit of running tokens; further requests queue in the engine. */
  readonly capacityTokens: number;
  /** Tokens of idle chats that stay cached. */
  readonly cacheTokens: number;
}

/** One request at the engine. */
export interface EngineRun {
  readonly id: string;
  /** Key of its chat in the prefix cache. */
  readonly chatKey: string;
  readonly promptTokens: number;
  /** Leading prompt tokens that earlier turns may have left in the cache. */
  readonly contextTokens: number;
  readonly answerTokens: number;
}

/** Progress of a run. */
export interface EngineEvent {
  readonly kind: 'firstToken' | 'done';
  readonly run: EngineRun;
  /** Prompt tokens found in the cache. */
  readonly cachedTokens: number;
}

interface ActiveRun {
  readonly run: EngineRun;
  cachedTokens: number;
}

interface Prefill {
  readonly active: ActiveRun;
  readonly readyAt: number;
}

function totalTokens(run: EngineRun): number {
  return run.promptTokens + run.answerTokens;
}

/** An LRU cache of chats, bounded by tokens. */
export class PrefixCache {
  readonly #limit: number;
  readonly #chats = new Map<string, number>();
  #tokens = 0;

  constructor(limitTokens: number) {
    this.#limit = limitTokens;
  }

  /** @returns cached tokens of the chat; doesn't count as a use */
  peek(chatKey: string): number {
    return this.#chats.get(chatKey) ?? 0;
  }

  /** @returns the cached chats, most recently used first */
  recentChats(): string[] {
    return [...this.#chats.keys()].reverse();
  }

  /** @returns the evicted chats */
  put(chatKey: string, tokens: number): string[] {
    this.#tokens += tokens - this.peek(chatKey);
    this.#chats.delete(chatKey);
    this.#chats.set(chatKey, tokens);
    const evicted: string[] = [];
    for (const [oldest, size] of this.#chats) {
      if (this.#tokens <= this.#limit) break;
      this.#chats.delete(oldest);
      this.#tokens -= size;
      evicted.push(oldest);
    }
    return evicted;
  }
}

/** The engine. Callers pass the time and drive it with {@link advance}. */
export class SimulatedEngine {
  readonly #settings: SimulatedEngineSettings;
  readonly cache: PrefixCache;
  readonly #waiting: ActiveRun[] = [];
  readonly #prefills: Prefill[] = [];
  readonly #decoding = new MinHeap<ActiveRun>();
  /** Tokens that a stream decoded since the start would have received. */
  #decodedPerStream = 0;
  #advancedTo = 0;
  #inCapacity = 0;
  #loadTokens = 0;
  #evicted: string[] = [];

  constructor(settings: SimulatedEngineSettings) {
    this.#settings = settings;
    this.cache = new PrefixCache(settings.cacheTokens);
  }

  /** @returns tokens of unfinished runs */
  get loadTokens(): number {
    return this.#loadTokens;
  }

  /** @returns chats evicted since the last call */
  takeEvicted(): readonly string[] {
    const evicted = this.#evicted;
    this.#evicted = [];
    return evicted;
  }

  /** @param run a request that arrives now; starts or is queued */
  start(run: EngineRun, now: number): void {
    this.#loadTokens += totalTokens(run);
    this.#waiting.push({run, cachedTokens: 0});
    this.#admit(now);
  }

  /** @returns time of the next event; Infinity when idle */
  nextEventAt(): number {
    const prefillAt = this.#prefills[0]?.readyAt ?? Infinity;
    const rate = this.#ratePerMs();
    if (rate === 0) return prefillAt;
    const left = this.#decoding.leastKey - this.#decodedPerStream;
    return Math.min(prefillAt, this.#advancedTo + Math.max(0, left) / rate);
  }

  /** @returns the events up to now */
  advance(now: number): EngineEvent[] {
    const events: EngineEvent[] = [];
    while (this.nextEventAt() <= now) {
      const at = Math.max(this.#advancedTo, this.nextEventAt());
      this.#decodeUntil(at);
      const prefill = this.#prefills[0];
      if (prefill && prefill.readyAt <= at) {
        events.push(this.#endPrefill(prefill));
      } else {
        events.push(...this.#endDecode(at));
      }
    }
    this.#decodeUntil(now);
    return events;
  }

  #ratePerMs(): number {
    const streams = this.#decoding.size;
    if (streams === 0) return 0;
    const {streamTokensPerSecond, decodeTokensPerSecond} = this.#settings;
    const share = decodeTokensPerSecond / streams;
    return Math.min(streamTokensPerSecond, share) / MS_PER_SECOND;
  }

  #decodeUntil(time: number): void {
    this.#decodedPerStream += this.#ratePerMs() * (time - this.#advancedTo);
    this.#advancedTo = time;
  }

  #admit(now: number): void {
    let head = this.#waiting[0];
    while (head && this.#fits(head.run)) {
      this.#waiting.shift();
      this.#inCapacity += totalTokens(head.run);
      this.#beginPrefill(head, now);
      head = this.#waiting[0];
    }
  }

  #fits(run: EngineRun): boolean {
    const total = this.#inCapacity + totalTokens(run);
    return this.#inCapacity === 0 || total <= this.#settings.capacityTokens;
  }

  #beginPrefill(active: ActiveRun, now: number): void {
    const {run} = active;
    const cached = this.cache.peek(run.chatKey);
    active.cachedTokens = Math.min(cached, run.contextTokens);
    if (cached > 0) this.cache.put(run.chatKey, cached);
    const tokens = run.promptTokens - active.cachedTokens;
    const workMs =
      (tokens * MS_PER_SECOND) / this.#settings.prefillTokensPerSecond;
    const freeAt = this.#prefills.at(-1)?.readyAt ?? now;
    this.#prefills.push({active, readyAt: Math.max(now, freeAt) + workMs});
  }

  #endPrefill({active}: Prefill): EngineEvent {
    this.#prefills.shift();
    const {run, cachedTokens} = active;
    this.#decoding.push(this.#decodedPerStream + run.answerTokens, active);
    return {kind: 'firstToken', run, cachedTokens};
  }

  #endDecode(now: number): EngineEvent[] {
    const active = this.#decoding.pop();
    if (!active) return [];
    const {run, cachedTokens} = active;
    const work = totalTokens(run);
    this.#loadTokens -= work;
    this.#inCapacity -= work;
    this.#evicted.push(...this.cache.put(run.chatKey, work));
    this.#admit(now);
    return [{kind: 'done', run, cachedTokens}];
  }
}
