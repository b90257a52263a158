/**
 * Entries of the ledger of non-repeatable calls, and their expiry.
 */
import {invariant} from '@lovagepond/core';
import {ExpiryQueue} from './expiry_queue.js';
import {LedgerBuckets, splitRows} from './ledger_buckets.js';
import {
  type ClaimOwner,
  encodeEntry,
  ENTRY_STATE,
  type LedgerEntry,
  readEntry,
} from './ledger_entry.js';

/** Retention and size limits of the ledger. */
export interface LedgerLimits {
  readonly answerRetentionMs: number;
  readonly keyRetentionMs: number;
  readonly openClaimLimitMs: number;
  /** Limit of entries. */
  readonly ledgerLimit: number;
  /** Limit of characters of all stored answers; the oldest are evicted. */
  readonly answerCharactersLimit: number;
}

/**
 * The entries by key. Entries expire only in {@link LedgerEntries.expire}, so
 * that every member expires the same entries at the same command.
 */
export class LedgerEntries {
  readonly #readLimits: () => LedgerLimits;
  readonly #entries = new Map<string, LedgerEntry>();
  /** Keys with an open claim of each sidecar, settled when it restarts. */
  readonly #openByServer = new Map<string, Set<string>>();
  readonly #buckets = new LedgerBuckets();
  #answerCharacters = 0;
  readonly #openQueue = new ExpiryQueue();
  readonly #answerQueue = new ExpiryQueue();
  readonly #keyQueue = new ExpiryQueue();

  /** @param readLimits reads the replicated limits */
  constructor(readLimits: () => LedgerLimits) {
    this.#readLimits = readLimits;
  }

  /** Number of entries in any state. */
  get size(): number {
    return this.#entries.size;
  }

  /** Number of claimed calls without an outcome; computed on each read. */
  get openCount(): number {
    let count = 0;
    for (const keys of this.#openByServer.values()) count += keys.size;
    return count;
  }

  /**
   * @param key the entry's key
   * @returns the entry, or undefined when there is none for the key
   */
  get(key: string): LedgerEntry | undefined {
    return this.#entries.get(key);
  }

  /**
   * @param server a sidecar's backend server
   * @returns the keys with an open claim of this sidecar
   */
  openKeysOf(server: string): readonly string[] {
    return [...(this.#openByServer.get(server) ?? [])];
  }

  /**
   * Adds an entry or replaces its state.
   *
   * @param key the entry's key
   * @param entry the entry; its `sinceMs` is the current replicated time
   */
  set(key: string, entry: LedgerEntry): void {
    this.#releaseEntry(key);
    this.#entries.set(key, entry);
    this.#buckets.markChanged(key);
    this.#answerCharacters += entry.answer?.length ?? 0;
    this.#enqueue(key, entry);
    this.#evictAnswers();
  }

  /** @param key the key to remove */
  delete(key: string): void {
    this.#releaseEntry(key);
    this.#entries.delete(key);
    this.#buckets.delete(key);
  }

  /**
   * Expires entries that are due: open claims become unknown, answers are
   * dropped before their keys, and keys are removed last.
   *
   * @param timeMs replicated time
   */
  expire(timeMs: number): void {
    const limits = this.#readLimits();
    const {openClaimLimitMs, answerRetentionMs, keyRetentionMs} = limits;
    drain(this.#openQueue, timeMs - openClaimLimitMs, key => {
      const entry = this.#due(key, timeMs - openClaimLimitMs);
      if (entry?.state === ENTRY_STATE.OPEN) this.settleUnknown(key, timeMs);
    });
    drain(this.#answerQueue, timeMs - answerRetentionMs, key => {
      if (this.#due(key, timeMs - answerRetentionMs)) this.#evictAnswer(key);
    });
    drain(this.#keyQueue, timeMs - keyRetentionMs, key => {
      if (this.#due(key, timeMs - keyRetentionMs)) this.delete(key);
    });
  }

  /**
   * @param key a key whose outcome can no longer be determined
   * @param timeMs replicated time
   */
  settleUnknown(key: string, timeMs: number): void {
    const entry = this.#entries.get(key);
    if (!entry) return;
    this.set(key, {...entry, state: ENTRY_STATE.UNKNOWN, sinceMs: timeMs});
  }

  /** @returns lines of JSON, one entry each, in the order of creation */
  encode(): Uint8Array[] {
    return this.#buckets.encode(key => {
      const entry = this.#entries.get(key);
      invariant(entry, 204, 'a ledger bucket holds a key that has no entry');
      return encodeEntry(key, entry);
    });
  }

  /** @param lines the concatenated result of {@link encode} */
  restore(lines: Uint8Array): void {
    this.#clear();
    const owners = new Map<string, ClaimOwner>();
    const shareOwner = (server: string, incarnation: string): ClaimOwner => {
      const name = `${server}\n${incarnation}`;
      const known = owners.get(name) ?? {server, incarnation};
      owners.set(name, known);
      return known;
    };
    for (const {rows, bytes} of splitRows(lines)) {
      const entries = rows.map(row => readEntry(row, shareOwner));
      for (const [key, entry] of entries) {
        this.#entries.set(key, entry);
        this.#answerCharacters += entry.answer?.length ?? 0;
      }
      const keys = entries.map(([key]) => key);
      this.#buckets.adopt(keys, bytes);
    }
    this.#enqueueAll();
  }

  /** Adds all entries to the expiry queues, which require time order. */
  #enqueueAll(): void {
    const byTime = [...this.#entries].sort(
      ([, a], [, b]) => a.sinceMs - b.sinceMs,
    );
    for (const [key, entry] of byTime) this.#enqueue(key, entry);
  }

  #clear(): void {
    this.#entries.clear();
    this.#openByServer.clear();
    this.#buckets.clear();
    this.#openQueue.clear();
    this.#answerQueue.clear();
    this.#keyQueue.clear();
    this.#answerCharacters = 0;
  }

  /** @returns the entry of a dequeued key, unless it changed later */
  #due(key: string, untilMs: number): LedgerEntry | undefined {
    const entry = this.#entries.get(key);
    return entry && entry.sinceMs <= untilMs ? entry : undefined;
  }

  #enqueue(key: string, entry: LedgerEntry): void {
    if (entry.state === ENTRY_STATE.OPEN) {
      this.#addOpenClaim(key, entry);
    } else {
      this.#keyQueue.push(key, entry.sinceMs);
    }
    if (entry.answer === undefined) return;
    this.#answerQueue.push(key, entry.sinceMs);
  }

  #evictAnswers(): void {
    const {answerCharactersLimit} = this.#readLimits();
    while (this.#answerCharacters > answerCharactersLimit) {
      const key = this.#answerQueue.takeUntil(Infinity);
      if (key === undefined) return;
      this.#evictAnswer(key);
    }
  }

  #evictAnswer(key: string): void {
    const entry = this.#entries.get(key);
    if (entry?.answer === undefined) return;
    this.#answerCharacters -= entry.answer.length;
    this.#entries.set(key, {...entry, answer: undefined});
    this.#buckets.markChanged(key);
  }

  #addOpenClaim(key: string, entry: LedgerEntry): void {
    const {server} = entry.owner;
    const keys = this.#openByServer.get(server) ?? new Set();
    keys.add(key);
    this.#openByServer.set(server, keys);
    this.#openQueue.push(key, entry.sinceMs);
  }

  #releaseEntry(key: string): void {
    const entry = this.#entries.get(key);
    if (!entry) return;
    this.#answerCharacters -= entry.answer?.length ?? 0;
    const {server} = entry.owner;
    const keys = this.#openByServer.get(server);
    keys?.delete(key);
    if (keys?.size === 0) this.#openByServer.delete(server);
  }
}

function drain(
  queue: ExpiryQueue,
  untilMs: number,
  handle: (key: string) => void,
): void {
  for (;;) {
    const key = queue.takeUntil(untilMs);
    if (key === undefined) return;
    handle(key);
  }
}
