/**
 * Entries of the ledger of calls that may not be repeated, and their expiry.
 */
import {ExpiryQueue} from './expiry_queue.js';

/** State of a claimed key. */
export const ENTRY_STATE = {
  /** Granted to one attempt, which may dispatch or has dispatched. */
  OPEN: 'open',
  /** The call has run; its answer is or was kept. */
  RECORDED: 'recorded',
  /** Dispatched perhaps; nobody can tell any more. */
  UNKNOWN: 'unknown',
} as const;

/** One of the values of {@link ENTRY_STATE}. */
export type EntryState = (typeof ENTRY_STATE)[keyof typeof ENTRY_STATE];

/** What is kept of one claimed key. */
export interface LedgerEntry {
  /** Digest of the request body, base64. */
  readonly digest: string;
  readonly server: string;
  readonly incarnation: string;
  readonly attempt: string;
  readonly state: EntryState;
  /** Replicated time of the claim, or of the last change of state. */
  readonly sinceMs: number;
  readonly status: number;
  /** Answer body, base64; undefined when none is kept. */
  readonly answer?: string;
  readonly contentType: string;
}

/** How long entries live. */
export interface LedgerLimits {
  readonly answerRetentionMs: number;
  readonly keyRetentionMs: number;
  readonly openClaimLimitMs: number;
  /** Most entries at one time. */
  readonly ledgerLimit: number;
}

/** Serialized form of one entry: its key, then its members in order. */
export type EntryRow = readonly [key: string, entry: LedgerEntry];

/**
 * The entries by key. Time runs only by {@link LedgerEntries.expire}, so that
 * every member expires the same entries at the same command.
 */
export class LedgerEntries {
  readonly #limits: LedgerLimits;
  readonly #entries = new Map<string, LedgerEntry>();
  /** Open keys of each sidecar, to settle them when it restarts. */
  readonly #openByServer = new Map<string, Set<string>>();
  readonly #openQueue = new ExpiryQueue();
  readonly #answerQueue = new ExpiryQueue();
  readonly #keyQueue = new ExpiryQueue();

  constructor(limits: LedgerLimits) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#entries.size;
  }

  get openCount(): number {
    let count = 0;
    for (const keys of this.#openByServer.values()) count += keys.size;
    return count;
  }

  get(key: string): LedgerEntry | undefined {
    return this.#entries.get(key);
  }

  /**
   * @param server a sidecar's backend server
   * @returns its open keys
   */
  openKeysOf(server: string): readonly string[] {
    return [...(this.#openByServer.get(server) ?? [])];
  }

  /**
   * Puts an entry in, or the next state of it.
   *
   * @param key its key
   * @param entry the entry; `sinceMs` is the present replicated time
   */
  set(key: string, entry: LedgerEntry): void {
    this.#unlink(key);
    this.#entries.set(key, entry);
    if (entry.state === ENTRY_STATE.OPEN) {
      this.#link(key, entry);
    } else {
      this.#keyQueue.push(key, entry.sinceMs);
    }
    if (entry.answer !== undefined) this.#answerQueue.push(key, entry.sinceMs);
  }

  /** @param key the key to forget */
  delete(key: string): void {
    this.#unlink(key);
    this.#entries.delete(key);
  }

  /**
   * Expires what is due: open claims become unknown, answers are dropped
   * before their keys, and keys are forgotten last.
   *
   * @param timeMs replicated time
   */
  expire(timeMs: number): void {
    const {openClaimLimitMs, answerRetentionMs, keyRetentionMs} = this.#limits;
    drain(this.#openQueue, timeMs - openClaimLimitMs, key => {
      const entry = this.#due(key, timeMs - openClaimLimitMs);
      if (entry?.state === ENTRY_STATE.OPEN) this.settleUnknown(key, timeMs);
    });
    drain(this.#answerQueue, timeMs - answerRetentionMs, key => {
      const entry = this.#due(key, timeMs - answerRetentionMs);
      if (entry) this.#entries.set(key, withoutAnswer(entry));
    });
    drain(this.#keyQueue, timeMs - keyRetentionMs, key => {
      if (this.#due(key, timeMs - keyRetentionMs)) this.delete(key);
    });
  }

  /**
   * @param key an open key whose outcome nobody can tell any more
   * @param timeMs replicated time
   */
  settleUnknown(key: string, timeMs: number): void {
    const entry = this.#entries.get(key);
    if (!entry) return;
    this.set(key, {...entry, state: ENTRY_STATE.UNKNOWN, sinceMs: timeMs});
  }

  /** @returns the serialized form */
  snapshot(): EntryRow[] {
    return [...this.#entries];
  }

  /** @param rows what {@link snapshot} gave */
  restore(rows: readonly EntryRow[]): void {
    this.#entries.clear();
    this.#openByServer.clear();
    this.#openQueue.clear();
    this.#answerQueue.clear();
    this.#keyQueue.clear();
    const sorted = [...rows].sort((a, b) => a[1].sinceMs - b[1].sinceMs);
    for (const [key, entry] of sorted) this.set(key, entry);
  }

  /** @returns the entry of a queued key, unless it changed since. */
  #due(key: string, untilMs: number): LedgerEntry | undefined {
    const entry = this.#entries.get(key);
    return entry && entry.sinceMs <= untilMs ? entry : undefined;
  }

  #link(key: string, entry: LedgerEntry): void {
    const keys = this.#openByServer.get(entry.server) ?? new Set();
    keys.add(key);
    this.#openByServer.set(entry.server, keys);
    this.#openQueue.push(key, entry.sinceMs);
  }

  #unlink(key: string): void {
    const entry = this.#entries.get(key);
    if (!entry) return;
    const keys = this.#openByServer.get(entry.server);
    keys?.delete(key);
    if (keys?.size === 0) this.#openByServer.delete(entry.server);
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

function withoutAnswer(entry: LedgerEntry): LedgerEntry {
  const {digest, server, incarnation, attempt, state} = entry;
  const {sinceMs, status, contentType} = entry;
  return {
    digest,
    server,
    incarnation,
    attempt,
    state,
    sinceMs,
    status,
    contentType,
  };
}
