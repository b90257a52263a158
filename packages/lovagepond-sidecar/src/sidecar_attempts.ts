/**
 * What became of each attempt: the one place that decides between a revoke
 * and a dispatch, and that knows copies.
 */

/** Where an attempt stands. */
export const ATTEMPT_STATE = {
  HELD: 'held',
  CLAIMING: 'claiming',
  /** Handed to the backend server, running or over. */
  DISPATCHED: 'dispatched',
  /** Answered as not run; never to be dispatched. */
  NOT_RUN: 'notRun',
} as const;

/** One of the values of {@link ATTEMPT_STATE}. */
export type AttemptState = (typeof ATTEMPT_STATE)[keyof typeof ATTEMPT_STATE];

/** Answer to a revoke, as it travels to the router. */
export const REVOKE_OUTCOME = {
  REVOKED: 'revoked',
  DISPATCHED: 'dispatched',
  UNKNOWN: 'unknown',
} as const;

/** One of the values of {@link REVOKE_OUTCOME}. */
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
  /** Until when it must not be forgotten; Infinity while it is open. */
  keepUntil: number;
}

/** Settings of {@link SidecarAttempts}. */
export interface AttemptsSettings {
  /** How long an attempt is remembered that was answered as not run. */
  readonly refusalRetentionMs: number;
  /** How long one that was dispatched is remembered after its end. */
  readonly attemptRetentionMs: number;
  readonly maxAttempts: number;
}

/** The attempts that this incarnation has seen. */
export class SidecarAttempts {
  readonly #settings: AttemptsSettings;
  readonly #records = new Map<string, AttemptRecord>();
  /** Attempts whose run is over, oldest first. */
  readonly #ended = new Set<string>();
  /** Attempts answered as not run, oldest first. */
  readonly #refused = new Set<string>();
  /** Attempts that were taken back before they came, oldest first. */
  readonly #unseen = new Set<string>();
  #forcedEvictionAt = -Infinity;

  constructor(settings: AttemptsSettings) {
    this.#settings = settings;
  }

  /** @returns number of attempts remembered */
  get size(): number {
    return this.#records.size;
  }

  /**
   * @param attemptId an attempt
   * @returns where it stands, or undefined when it was never seen here
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
   * @param attemptId a held attempt whose claim is asked for
   * @returns false when it was taken back meanwhile
   */
  claim(attemptId: string): boolean {
    const record = this.#records.get(attemptId);
    if (record?.state !== ATTEMPT_STATE.HELD) return false;
    record.state = ATTEMPT_STATE.CLAIMING;
    return true;
  }

  /**
   * The point of no return. A revoke and a dispatch of one attempt both pass
   * through this table on one thread, so exactly one of them wins: without it
   * a caller could read "not run" of a request that the engine runs.
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
   * @param now present time
   * @returns false when it was dispatched and the answer would be a lie
   */
  refuse(attemptId: string, now: number): boolean {
    const record = this.#records.get(attemptId);
    if (record?.state === ATTEMPT_STATE.DISPATCHED) return false;
    if (this.#unseen.has(attemptId)) return true;
    this.#end(attemptId, ATTEMPT_STATE.NOT_RUN, now);
    return true;
  }

  /**
   * @param attemptId a dispatched attempt whose run is over
   * @param notRun no byte of it reached the backend server
   * @param now present time
   */
  finish(attemptId: string, notRun: boolean, now: number): void {
    const {DISPATCHED, NOT_RUN} = ATTEMPT_STATE;
    this.#end(attemptId, notRun ? NOT_RUN : DISPATCHED, now);
  }

  /**
   * Takes an attempt back. One that never came is remembered as not run, so
   * that its late arrival is refused and the answer stays true.
   *
   * @param attemptId any attempt of this incarnation
   * @param now present time
   * @returns what the router may believe
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

  /** @param now present time; attempts past their retention go */
  expire(now: number): void {
    // A refused attempt has come already. The end of a run is kept longer:
    // forgotten, a revoke of it could not be answered.
    this.#expireUnseen(now);
    this.#evictOldest(this.#refused, now);
    if (this.#evictOldest(this.#ended, now)) this.#forcedEvictionAt = now;
  }

  #revokeUnseen(attemptId: string, now: number): RevokeOutcome {
    const {attemptRetentionMs, maxAttempts} = this.#settings;
    // It may be among the ended ones dropped for space: it may have run.
    const evictedRecently = now - this.#forcedEvictionAt < attemptRetentionMs;
    // Forgotten before its time, it could still arrive and run.
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

  /** @returns true when one was dropped for space before its time */
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
