/**
 * State of each attempt. This table alone decides between a revoke and a
 * dispatch of the same attempt, and detects duplicates.
 */

export const ATTEMPT_STATE = {
  HELD: 'held',
  CLAIMING: 'claiming',
  /** Dispatched to the backend server: running or ended. */
  DISPATCHED: 'dispatched',
  /** Answered as not run; must never be dispatched. */
  NOT_RUN: 'notRun',
} as const;

export type AttemptState = (typeof ATTEMPT_STATE)[keyof typeof ATTEMPT_STATE];

/** Outcome of a revoke as sent to the router. */
export const REVOKE_OUTCOME = {
  REVOKED: 'revoked',
  DISPATCHED: 'dispatched',
  UNKNOWN: 'unknown',
} as const;

export type RevokeOutcome =
  (typeof REVOKE_OUTCOME)[keyof typeof REVOKE_OUTCOME];

const REVOKE_OUTCOMES: Readonly<Record<AttemptState, RevokeOutcome>> = {
  held: REVOKE_OUTCOME.REVOKED,
  claiming: REVOKE_OUTCOME.REVOKED,
  dispatched: REVOKE_OUTCOME.DISPATCHED,
  notRun: REVOKE_OUTCOME.REVOKED,
};

interface AttemptRecord {
  state: AttemptState;
  /** Earliest expiry of the record; Infinity while the attempt is open. */
  keepUntil: number;
}

export interface AttemptsSettings {
  /** Retention of an attempt that was answered as not run, milliseconds. */
  readonly refusalRetentionMs: number;
  /** Retention of a dispatched attempt after its end, milliseconds. */
  readonly attemptRetentionMs: number;
  readonly maxAttempts: number;
}

/** Attempts that this incarnation has received or revoked. */
export class SidecarAttempts {
  readonly #settings: AttemptsSettings;
  readonly #records = new Map<string, AttemptRecord>();
  /** Attempts whose run has ended, oldest first. */
  readonly #ended = new Set<string>();
  /** Attempts answered as not run, oldest first. */
  readonly #refused = new Set<string>();
  /** Attempts revoked before their arrival, oldest first. */
  readonly #unseen = new Set<string>();
  #forcedEvictionAt = -Infinity;

  constructor(settings: AttemptsSettings) {
    this.#settings = settings;
  }

  /** @returns number of recorded attempts */
  get size(): number {
    return this.#records.size;
  }

  /**
   * @param attemptId an attempt
   * @returns its state; undefined when it is not recorded
   */
  stateOf(attemptId: string): AttemptState | undefined {
    return this.#records.get(attemptId)?.state;
  }

  /** @param attemptId an attempt that is now in the queue */
  hold(attemptId: string): void {
    this.#records.set(attemptId, {
      state: ATTEMPT_STATE.HELD,
      keepUntil: Infinity,
    });
  }

  /**
   * @param attemptId a held attempt that is to be claimed
   * @returns false when it was revoked meanwhile
   */
  claim(attemptId: string): boolean {
    const record = this.#records.get(attemptId);
    if (record?.state !== ATTEMPT_STATE.HELD) return false;
    record.state = ATTEMPT_STATE.CLAIMING;
    return true;
  }

  /**
   * Marks an attempt as dispatched, after which it can't be revoked. Revokes
   * and dispatches of an attempt both pass through this table on one thread, so
   * exactly one of them succeeds. Otherwise a caller could receive "not run"
   * for a request that the engine runs.
   *
   * @param attemptId a held or claimed attempt
   * @returns false when it must not be dispatched
   */
  dispatch(attemptId: string): boolean {
    const record = this.#records.get(attemptId);
    if (!record || record.keepUntil !== Infinity) return false;
    if (record.state === ATTEMPT_STATE.DISPATCHED) return false;
    record.state = ATTEMPT_STATE.DISPATCHED;
    return true;
  }

  /**
   * @param attemptId an attempt that is answered as not run
   * @param now current time
   * @returns false when it was dispatched, so that "not run" would be false
   */
  refuse(attemptId: string, now: number): boolean {
    const record = this.#records.get(attemptId);
    if (record?.state === ATTEMPT_STATE.DISPATCHED) return false;
    if (this.#unseen.has(attemptId)) return true;
    this.#end(attemptId, ATTEMPT_STATE.NOT_RUN, now);
    return true;
  }

  /**
   * @param attemptId a dispatched attempt whose run has ended
   * @param notRun true if no byte of it reached the backend server
   * @param now current time
   */
  finish(attemptId: string, notRun: boolean, now: number): void {
    const {DISPATCHED, NOT_RUN} = ATTEMPT_STATE;
    this.#end(attemptId, notRun ? NOT_RUN : DISPATCHED, now);
  }

  /**
   * Revokes an attempt. An attempt that has not arrived is recorded as not run,
   * so that it is refused if it arrives later.
   *
   * @param attemptId any attempt of this incarnation
   * @param now current time
   * @returns the outcome for the router
   */
  revoke(attemptId: string, now: number): RevokeOutcome {
    const record = this.#records.get(attemptId);
    if (record) {
      const outcome = REVOKE_OUTCOMES[record.state];
      if (outcome === REVOKE_OUTCOME.REVOKED) this.refuse(attemptId, now);
      return outcome;
    }
    return this.#revokeUnseen(attemptId, now);
  }

  /**
   * Removes records past their retention.
   *
   * @param now current time
   */
  expire(now: number): void {
    // Refused attempts are evicted before ended ones: they have already
    // arrived, while a revoke of an ended attempt could not be answered without
    // its record.
    this.#expireUnseen(now);
    this.#evictOldest(this.#refused, now);
    if (this.#evictOldest(this.#ended, now)) this.#forcedEvictionAt = now;
  }

  #revokeUnseen(attemptId: string, now: number): RevokeOutcome {
    const {attemptRetentionMs, maxAttempts} = this.#settings;
    // A record of an ended run may have been evicted to save space, so the
    // attempt may have run.
    const evictedRecently = now - this.#forcedEvictionAt < attemptRetentionMs;
    // If the table is full, the record could be evicted before the attempt
    // arrives, which would then run.
    const full = this.#unseen.size >= maxAttempts / 2;
    if (evictedRecently || full) return REVOKE_OUTCOME.UNKNOWN;
    const keepUntil = now + attemptRetentionMs;
    this.#records.set(attemptId, {state: ATTEMPT_STATE.NOT_RUN, keepUntil});
    this.#unseen.add(attemptId);
    return REVOKE_OUTCOME.REVOKED;
  }

  #expireUnseen(now: number): void {
    for (const attemptId of this.#unseen) {
      if ((this.#records.get(attemptId)?.keepUntil ?? 0) > now) return;
      this.#unseen.delete(attemptId);
      this.#records.delete(attemptId);
    }
  }

  /** @returns true when a record was evicted before the end of its retention */
  #evictOldest(attempts: Set<string>, now: number): boolean {
    let forced = false;
    for (const attemptId of attempts) {
      const record = this.#records.get(attemptId);
      const early = record !== undefined && record.keepUntil > now;
      const full = this.#records.size > this.#settings.maxAttempts;
      if (early && !full) break;
      forced ||= early;
      attempts.delete(attemptId);
      this.#records.delete(attemptId);
    }
    return forced;
  }

  #end(attemptId: string, state: AttemptState, now: number): void {
    const {attemptRetentionMs, refusalRetentionMs} = this.#settings;
    const refused = state === ATTEMPT_STATE.NOT_RUN;
    const retentionMs = refused ? refusalRetentionMs : attemptRetentionMs;
    this.#records.set(attemptId, {state, keepUntil: now + retentionMs});
    this.#ended.delete(attemptId);
    this.#refused.delete(attemptId);
    (refused ? this.#refused : this.#ended).add(attemptId);
    this.expire(now);
  }
}
