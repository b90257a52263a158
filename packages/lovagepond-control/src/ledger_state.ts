/**
 * The ledger of non-repeatable calls, which are dispatched at most once.
 *
 * A key (workspace and idempotency key) is granted to one attempt of one
 * sidecar incarnation. While the key is retained it is granted to no other
 * attempt, unless the first one reported that it didn't dispatch the call.
 */
import {type ErrorKind} from '@lovagepond/core';
import {
  type CallOutcome,
  type ClaimPayload,
  type IncarnationPayload,
  type RecordPayload,
} from './control_commands.js';
import {ExpiryQueue} from './expiry_queue.js';
import {LedgerEntries, type LedgerLimits} from './ledger_entries.js';
import {
  type ClaimOwner,
  ENTRY_STATE,
  type EntryState,
  type LedgerEntry,
} from './ledger_entry.js';
import {
  LedgerIncarnations,
  type IncarnationSnapshot,
} from './ledger_incarnations.js';

export type ClaimResult =
  | {readonly kind: 'granted'}
  | {
      readonly kind: 'recorded';
      readonly status: number;
      /** Base64. */
      readonly answer: string;
      readonly contentType: string;
    }
  /** Every other outcome is one of the error kinds. */
  | {
      readonly kind: Extract<
        ErrorKind,
        | 'inProgress'
        | 'outcomeUnknown'
        | 'keyReuse'
        | 'answerNotKept'
        | 'wrongIncarnation'
        | 'revoked'
        | 'ledgerUnavailable'
      >;
    };

/** Answer to a record: whether the ledger now holds the outcome. */
export interface RecordResult {
  readonly recorded: boolean;
}

/** Answer to the registration of an incarnation. */
export interface IncarnationResult {
  readonly accepted: boolean;
  /** Number of open claims that became unknown. */
  readonly settled: number;
}

/** Serialized form without the entries. */
export interface LedgerSnapshot {
  readonly incarnations: IncarnationSnapshot;
  readonly released: readonly (readonly [string, number])[];
}

/** The ledger. Part of the replicated state. */
export class LedgerState {
  readonly #readLimits: () => LedgerLimits;
  readonly #entries: LedgerEntries;
  readonly #incarnations = new LedgerIncarnations();
  /** Attempts that reported "notRun", with the time; they get no claim. */
  readonly #released = new Map<string, number>();
  readonly #releasedQueue = new ExpiryQueue();

  /** @param readLimits reads the replicated limits */
  constructor(readLimits: () => LedgerLimits) {
    this.#readLimits = readLimits;
    this.#entries = new LedgerEntries(readLimits);
  }

  /** @returns number of keys, and how many of them have an open claim */
  counts(): {keys: number; open: number} {
    return {keys: this.#entries.size, open: this.#entries.openCount};
  }

  /**
   * @param server a sidecar's backend server
   * @returns the current incarnation, if one is registered
   */
  currentIncarnation(server: string): string | undefined {
    return this.#incarnations.current(server)?.incarnation;
  }

  /**
   * @param claim the claim
   * @param timeMs replicated time
   * @returns the outcome; only `granted` allows the attempt to dispatch
   */
  claim(claim: ClaimPayload, timeMs: number): ClaimResult {
    this.#expire(timeMs);
    const key = keyOf(claim);
    const entry = this.#entries.get(key);
    if (entry) return answerRepeat(entry, claim);
    const refusal = this.#findRefusal(claim);
    if (refusal) return {kind: refusal};
    this.#entries.set(key, {
      digest: claim.digest,
      owner: this.#ownerOf(claim, timeMs),
      attempt: claim.attempt,
      state: ENTRY_STATE.OPEN,
      sinceMs: timeMs,
      status: 0,
      answer: undefined,
      contentType: '',
    });
    return {kind: 'granted'};
  }

  /**
   * @param record the outcome of a call
   * @param timeMs replicated time
   * @returns whether the ledger now holds the outcome, also when the same
   *     record was applied before
   */
  record(record: RecordPayload, timeMs: number): RecordResult {
    this.#expire(timeMs);
    const key = keyOf(record);
    const entry = this.#entries.get(key);
    if (record.outcome === 'notRun') this.#revokeAttempt(key, record, timeMs);
    if (entry?.attempt !== record.attempt) {
      return {recorded: record.outcome === 'notRun'};
    }
    const handle = OUTCOME_HANDLERS[record.outcome];
    return handle(this.#entries, {key, entry, record, timeMs});
  }

  /**
   * Makes an incarnation the only one of its sidecar that may claim calls. A
   * restarted sidecar has no record of the calls that its previous incarnation
   * dispatched, so the open claims of that incarnation become unknown.
   *
   * @param payload the sidecar's backend server and its new incarnation
   * @param timeMs replicated time
   * @returns whether the incarnation is now the current one
   */
  registerIncarnation(
    payload: IncarnationPayload,
    timeMs: number,
  ): IncarnationResult {
    this.#expire(timeMs);
    const {server, incarnation} = payload;
    if (!this.#incarnations.register(server, incarnation, timeMs)) {
      return {accepted: false, settled: 0};
    }
    let settled = 0;
    for (const key of this.#entries.openKeysOf(server)) {
      if (this.#entries.get(key)?.owner.incarnation === incarnation) continue;
      this.#entries.settleUnknown(key, timeMs);
      settled += 1;
    }
    return {accepted: true, settled};
  }

  /** @returns the serialized form without the entries */
  snapshot(): LedgerSnapshot {
    return {
      incarnations: this.#incarnations.snapshot(),
      released: [...this.#released],
    };
  }

  /** @returns the entries as lines of JSON */
  encodeEntries(): Uint8Array[] {
    return this.#entries.encode();
  }

  /**
   * @param snapshot the result of {@link snapshot}
   * @param lines the concatenated result of {@link encodeEntries}
   */
  restore(snapshot: LedgerSnapshot, lines: Uint8Array): void {
    this.#entries.restore(lines);
    this.#incarnations.restore(snapshot.incarnations);
    this.#released.clear();
    this.#releasedQueue.clear();
    for (const [attempt, timeMs] of snapshot.released) {
      this.#released.set(attempt, timeMs);
      this.#releasedQueue.push(attempt, timeMs);
    }
  }

  #findRefusal(
    claim: ClaimPayload,
  ): 'revoked' | 'wrongIncarnation' | 'ledgerUnavailable' | undefined {
    if (this.#released.has(attemptKeyOf(keyOf(claim), claim.attempt))) {
      return 'revoked';
    }
    const {server, incarnation} = claim;
    const current = this.#incarnations.current(server);
    if (current && current.incarnation !== incarnation) {
      return 'wrongIncarnation';
    }
    const full = this.#entries.size >= this.#readLimits().ledgerLimit;
    return full ? 'ledgerUnavailable' : undefined;
  }

  #ownerOf({server, incarnation}: ClaimPayload, timeMs: number): ClaimOwner {
    const known = this.#incarnations.current(server);
    if (known) return known;
    this.#incarnations.register(server, incarnation, timeMs);
    return this.#incarnations.current(server) ?? {server, incarnation};
  }

  /**
   * Revokes an attempt that reported "notRun", as a sidecar does when its claim
   * gets no answer. A claim granted later would keep the key open although no
   * sidecar dispatches the call, and every repeated call would wait.
   */
  #revokeAttempt(key: string, record: RecordPayload, timeMs: number): void {
    const attempt = attemptKeyOf(key, record.attempt);
    if (this.#released.has(attempt)) return;
    this.#released.set(attempt, timeMs);
    this.#releasedQueue.push(attempt, timeMs);
  }

  #expire(timeMs: number): void {
    this.#entries.expire(timeMs);
    const {openClaimLimitMs} = this.#readLimits();
    this.#incarnations.expire(
      timeMs,
      server => this.#entries.openKeysOf(server).length > 0,
    );
    const untilMs = timeMs - openClaimLimitMs;
    for (;;) {
      const attempt = this.#releasedQueue.takeUntil(untilMs);
      if (attempt === undefined) return;
      this.#released.delete(attempt);
    }
  }
}

interface Recording {
  readonly key: string;
  readonly entry: LedgerEntry;
  readonly record: RecordPayload;
  readonly timeMs: number;
}

/**
 * Applies an outcome to the entry of its attempt. An unknown entry may still
 * become recorded when the sidecar that claimed the call reports that it ran.
 * "notRun" removes only an open entry: only an open claim is certain to be held
 * by the reporting sidecar alone.
 */
const OUTCOME_HANDLERS: Readonly<
  Record<
    CallOutcome,
    (entries: LedgerEntries, recording: Recording) => RecordResult
  >
> = {
  ran: (entries, {key, entry, record, timeMs}) => {
    if (entry.state === ENTRY_STATE.RECORDED) return {recorded: true};
    entries.set(key, {
      ...entry,
      state: ENTRY_STATE.RECORDED,
      sinceMs: timeMs,
      status: record.status,
      answer: record.answer,
      contentType: record.contentType,
    });
    return {recorded: true};
  },
  notRun: (entries, {key, entry}) => {
    if (entry.state !== ENTRY_STATE.OPEN) return {recorded: false};
    entries.delete(key);
    return {recorded: true};
  },
  unknown: (entries, {key, entry, timeMs}) => {
    if (entry.state === ENTRY_STATE.RECORDED) return {recorded: false};
    if (entry.state === ENTRY_STATE.OPEN) entries.settleUnknown(key, timeMs);
    return {recorded: true};
  },
};

function answerRepeat(entry: LedgerEntry, claim: ClaimPayload): ClaimResult {
  if (entry.digest !== claim.digest) return {kind: 'keyReuse'};
  return REPEAT_ANSWERS[entry.state](entry, claim);
}

const REPEAT_ANSWERS: Readonly<
  Record<EntryState, (entry: LedgerEntry, claim: ClaimPayload) => ClaimResult>
> = {
  // The attempt that holds the claim may retry after a lost answer.
  open: (entry, claim) =>
    entry.attempt === claim.attempt &&
    entry.owner.server === claim.server &&
    entry.owner.incarnation === claim.incarnation
      ? {kind: 'granted'}
      : {kind: 'inProgress'},
  recorded: entry =>
    entry.answer === undefined
      ? {kind: 'answerNotKept'}
      : {
          kind: 'recorded',
          status: entry.status,
          answer: entry.answer,
          contentType: entry.contentType,
        },
  unknown: () => ({kind: 'outcomeUnknown'}),
};

function keyOf(name: {
  readonly workspace: string;
  readonly key: string;
}): string {
  return JSON.stringify([name.workspace, name.key]);
}

function attemptKeyOf(key: string, attempt: string): string {
  return `${key}${attempt}`;
}
