/**
 * Prefix cache of a fake engine, with limited memory and LRU eviction. Each
 * change is an event with a sequence number.
 */
import {type CacheEvent, type CacheKey} from './backend_model_engine.js';

/** One chat's cached context. */
export interface CacheEntry {
  readonly key: CacheKey;
  readonly tokens: number;
}

/** A change of the cache, as an event for subscribers. */
export type CacheChange = Exclude<CacheEvent, {readonly kind: 'gap'}>;

function nameOf(key: CacheKey): string {
  return `${key.workspace}\0${key.chat}`;
}

export class FakePrefixCache {
  readonly #limitTokens: number;
  /** In LRU order, the least recently used first. */
  readonly #entries = new Map<string, CacheEntry>();
  #tokens = 0;
  #sequence = 0;

  /** @param limitTokens size of the cache, tokens */
  constructor(limitTokens: number) {
    this.#limitTokens = limitTokens;
  }

  /** Number of cached tokens. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Sequence number of the last change. */
  get sequence(): number {
    return this.#sequence;
  }

  /**
   * @param key the chat
   * @returns its cached tokens, 0 when not cached; does not count as a use
   */
  peek(key: CacheKey): number {
    return this.#entries.get(nameOf(key))?.tokens ?? 0;
  }

  /**
   * @param key the chat, which becomes the most recently used one
   * @returns its cached tokens, 0 when not cached
   */
  use(key: CacheKey): number {
    const name = nameOf(key);
    const entry = this.#entries.get(name);
    if (!entry) return 0;
    this.#entries.delete(name);
    this.#entries.set(name, entry);
    return entry.tokens;
  }

  /**
   * @param key the chat
   * @param tokens length of its context
   * @returns the changes, evictions first
   */
  store(key: CacheKey, tokens: number): CacheChange[] {
    if (tokens > this.#limitTokens) return [];
    const name = nameOf(key);
    this.#remove(name);
    const changes: CacheChange[] = [];
    for (const [oldest, entry] of this.#entries) {
      if (this.#tokens + tokens <= this.#limitTokens) break;
      this.#remove(oldest);
      const sequence = this.#nextSequence();
      changes.push({kind: 'evicted', sequence, key: entry.key});
    }
    this.#entries.set(name, {key, tokens});
    this.#tokens += tokens;
    const sequence = this.#nextSequence();
    changes.push({kind: 'stored', sequence, key, tokens});
    return changes;
  }

  /** @returns all entries, the most recently used first */
  list(): CacheEntry[] {
    return [...this.#entries.values()].reverse();
  }

  #remove(name: string): void {
    const entry = this.#entries.get(name);
    if (!entry) return;
    this.#entries.delete(name);
    this.#tokens -= entry.tokens;
  }

  #nextSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }
}
