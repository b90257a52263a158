/**
 * At-most-once execution of non-repeatable calls: a claim in the ledger before
 * the dispatch, a record of the outcome after it.
 *
 * A call is dispatched only after the answer `granted`. If the answer to a
 * claim is lost, the ledger may have granted it. The claim is therefore sent
 * again for the same attempt, to which the ledger grants it again. When the
 * claim times out, the call is refused as not run and the release is recorded
 * in the ledger; an unreleased claim would block every later repeat of the
 * call.
 */
import {type ErrorKind, makeFailure, type Failure} from '@lovagepond/core';

/** Answer of the ledger to a claim. */
export interface ClaimAnswer {
  /** `granted`, `recorded`, or the name of a refusal. */
  readonly outcome: string;
  readonly status: number;
  readonly answer: Uint8Array;
  readonly contentType: string;
}

/** Outcome of a call as the ledger records it. */
export type RecordedOutcome = 'ran' | 'notRun' | 'unknown';

/** Action for a claimed call. */
export type ClaimAction =
  | {readonly kind: 'sendClaim'; readonly attemptId: string}
  /** Notify the gate that the call may be dispatched. */
  | {readonly kind: 'granted'; readonly attemptId: string}
  /** Send the recorded answer of an earlier call with the same key. */
  | {
      readonly kind: 'replay';
      readonly attemptId: string;
      readonly answer: ClaimAnswer;
    }
  /** Fail the call; this attempt does not dispatch it. */
  | {
      readonly kind: 'denied';
      readonly attemptId: string;
      readonly failure: Failure;
    }
  | {
      readonly kind: 'sendRecord';
      readonly attemptId: string;
      readonly outcome: RecordedOutcome;
    };

export interface ClaimsSettings {
  /** Time limit of a claim including its retries, milliseconds. */
  readonly claimTimeoutMs: number;
  /** Time limit for retries of a record, milliseconds. */
  readonly recordTimeoutMs: number;
  /** Delay before a claim or record is sent again, milliseconds. */
  readonly retryMs: number;
}

const CLAIM_STATE = {
  PENDING: 'pending',
  GRANTED: 'granted',
  RECORDING: 'recording',
} as const;

interface Claim {
  state: (typeof CLAIM_STATE)[keyof typeof CLAIM_STATE];
  giveUpAt: number;
  /** When to send again; Infinity while an answer is pending. */
  sendAt: number;
  outcome: RecordedOutcome;
}

/**
 * Answers of the ledger that deny a claim, with the error kind for the caller.
 * After any other answer, the ledger may hold the claim, so it is sent again.
 */
const DENIALS: Readonly<Record<string, ErrorKind>> = {
  inProgress: 'inProgress',
  unknown: 'outcomeUnknown',
  outcomeUnknown: 'outcomeUnknown',
  keyReuse: 'keyReuse',
  answerNotKept: 'answerNotKept',
  revoked: 'ledgerUnavailable',
  wrongIncarnation: 'wrongIncarnation',
};

/** Tracks each call from its claim to its record. Performs no I/O. */
export class SidecarClaims {
  readonly #settings: ClaimsSettings;
  readonly #claims = new Map<string, Claim>();

  constructor(settings: ClaimsSettings) {
    this.#settings = settings;
  }

  /** @returns number of calls between their claim and the end of the record */
  get size(): number {
    return this.#claims.size;
  }

  /**
   * @param attemptId an attempt
   * @returns true between its claim and the end of its record
   */
  has(attemptId: string): boolean {
    return this.#claims.has(attemptId);
  }

  /**
   * @param attemptId an attempt for which the gate needs a claim
   * @param now current time
   * @returns the claim to send
   */
  start(attemptId: string, now: number): ClaimAction[] {
    this.#claims.set(attemptId, {
      state: CLAIM_STATE.PENDING,
      giveUpAt: now + this.#settings.claimTimeoutMs,
      sendAt: Infinity,
      outcome: 'notRun',
    });
    return [{kind: 'sendClaim', attemptId}];
  }

  /**
   * @param attemptId a claimed attempt
   * @param answer the ledger's answer; undefined when none came or the control
   *     member could not give one
   * @param now current time
   * @returns the actions that follow
   */
  answered(
    attemptId: string,
    answer: ClaimAnswer | undefined,
    now: number,
  ): ClaimAction[] {
    const claim = this.#claims.get(attemptId);
    // The attempt was released meanwhile and its "not run" record is already
    // being sent.
    if (claim?.state !== CLAIM_STATE.PENDING) return [];
    if (answer?.outcome === 'granted') {
      claim.state = CLAIM_STATE.GRANTED;
      return [{kind: 'granted', attemptId}];
    }
    if (answer?.outcome === 'recorded') {
      this.#claims.delete(attemptId);
      return [{kind: 'replay', attemptId, answer}];
    }
    const denial = answer && DENIALS[answer.outcome];
    if (denial === undefined) {
      claim.sendAt = now + this.#settings.retryMs;
      return [];
    }
    this.#claims.delete(attemptId);
    return [{kind: 'denied', attemptId, failure: makeFailure(denial)}];
  }

  /**
   * Releases a claim whose attempt was revoked before its dispatch.
   *
   * @param attemptId a claimed attempt
   * @param now current time
   * @returns the record to send
   */
  release(attemptId: string, now: number): ClaimAction[] {
    return this.#record(attemptId, 'notRun', now);
  }

  /**
   * @param attemptId a granted attempt whose run has ended
   * @param outcome known outcome of the run
   * @param now current time
   * @returns the record to send
   */
  finished(
    attemptId: string,
    outcome: RecordedOutcome,
    now: number,
  ): ClaimAction[] {
    return this.#record(attemptId, outcome, now);
  }

  /**
   * @param attemptId an attempt whose record was sent
   * @param recorded true if the ledger confirmed the record
   * @param now current time
   */
  recordAnswered(attemptId: string, recorded: boolean, now: number): void {
    const claim = this.#claims.get(attemptId);
    if (claim?.state !== CLAIM_STATE.RECORDING) return;
    if (recorded) this.#claims.delete(attemptId);
    else claim.sendAt = now + this.#settings.retryMs;
  }

  /**
   * @param now current time
   * @returns messages to send again, and denials of claims that timed out
   */
  tick(now: number): ClaimAction[] {
    const actions: ClaimAction[] = [];
    for (const [attemptId, claim] of this.#claims) {
      if (claim.state === CLAIM_STATE.GRANTED) continue;
      if (now >= claim.giveUpAt) {
        actions.push(...this.#giveUp(attemptId, claim, now));
      } else if (now >= claim.sendAt) {
        claim.sendAt = Infinity;
        actions.push(makeSend(attemptId, claim));
      }
    }
    return actions;
  }

  /** The ledger may hold an unanswered claim, so "not run" is recorded. */
  #giveUp(attemptId: string, claim: Claim, now: number): ClaimAction[] {
    if (claim.state === CLAIM_STATE.RECORDING) {
      this.#claims.delete(attemptId);
      return [];
    }
    const failure = makeFailure('ledgerUnavailable', {
      retryAfterMs: this.#settings.claimTimeoutMs,
    });
    const denied: ClaimAction = {kind: 'denied', attemptId, failure};
    return [denied, ...this.#record(attemptId, 'notRun', now)];
  }

  #record(
    attemptId: string,
    outcome: RecordedOutcome,
    now: number,
  ): ClaimAction[] {
    const claim = this.#claims.get(attemptId);
    if (!claim || claim.state === CLAIM_STATE.RECORDING) return [];
    claim.state = CLAIM_STATE.RECORDING;
    claim.outcome = outcome;
    claim.giveUpAt = now + this.#settings.recordTimeoutMs;
    claim.sendAt = Infinity;
    return [makeSend(attemptId, claim)];
  }
}

function makeSend(attemptId: string, claim: Claim): ClaimAction {
  if (claim.state !== CLAIM_STATE.RECORDING) {
    return {kind: 'sendClaim', attemptId};
  }
  return {kind: 'sendRecord', attemptId, outcome: claim.outcome};
}
