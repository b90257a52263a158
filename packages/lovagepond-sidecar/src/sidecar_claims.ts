/**
 * Calls that may not be repeated: a claim in the ledger before the dispatch,
 * a record of the outcome after it.
 *
 * Only `granted` lets a call be dispatched. A claim whose answer is lost may
 * stand in the ledger all the same, so it is asked again under the same
 * attempt, which the ledger grants again; given up, the call is refused as not
 * run and the ledger is told, or every repeat would wait for nobody.
 */
import {type ErrorKind, makeFailure, type Failure} from '@lovagepond/core';

/** What the ledger answered to a claim. */
export interface ClaimAnswer {
  /** `granted`, `recorded`, or the name of a refusal. */
  readonly outcome: string;
  readonly status: number;
  readonly answer: Uint8Array;
  readonly contentType: string;
}

/** Outcome of a call as the ledger records it. */
export type RecordedOutcome = 'ran' | 'notRun' | 'unknown';

/** What to do for a claimed call. */
export type ClaimAction =
  | {readonly kind: 'sendClaim'; readonly attemptId: string}
  /** Tell the gate: the call may be dispatched. */
  | {readonly kind: 'granted'; readonly attemptId: string}
  /** Answer with what an earlier call with this key was answered. */
  | {
      readonly kind: 'replay';
      readonly attemptId: string;
      readonly answer: ClaimAnswer;
    }
  /** Answer with the failure; the call is not dispatched by this attempt. */
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

/** Settings of {@link SidecarClaims}. */
export interface ClaimsSettings {
  /** Time for the whole of a claim, its repeats included, milliseconds. */
  readonly claimTimeoutMs: number;
  /** How long a record is sent again, milliseconds. */
  readonly recordTimeoutMs: number;
  /** Pause before a claim or record is sent again, milliseconds. */
  readonly retryMs: number;
}

const CLAIM_STATE = {
  PENDING: 'asked',
  GRANTED: 'granted',
  RECORDING: 'recording',
} as const;

interface Claim {
  state: (typeof CLAIM_STATE)[keyof typeof CLAIM_STATE];
  giveUpAt: number;
  /** When to send again; Infinity while an answer is awaited. */
  sendAt: number;
  outcome: RecordedOutcome;
}

/**
 * Answers of the ledger that deny a claim, and what the caller is told. Any
 * other answer leaves open whether the claim stands: it is asked again.
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

/** Follows each call from its claim to its record. Without I/O. */
export class SidecarClaims {
  readonly #settings: ClaimsSettings;
  readonly #claims = new Map<string, Claim>();

  constructor(settings: ClaimsSettings) {
    this.#settings = settings;
  }

  /** @returns calls between their claim and the end of their record */
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
   * @param attemptId an attempt that the gate wants claimed
   * @param now present time
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
   * @param answer what the ledger said; undefined when no answer came or the
   *     member asked could not give one
   * @param now present time
   * @returns what follows
   */
  answered(
    attemptId: string,
    answer: ClaimAnswer | undefined,
    now: number,
  ): ClaimAction[] {
    const claim = this.#claims.get(attemptId);
    // Released meanwhile: the record "not run" is on its way already.
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
   * The attempt was taken back before its dispatch.
   *
   * @param attemptId a claimed attempt
   * @param now present time
   * @returns the record to send
   */
  release(attemptId: string, now: number): ClaimAction[] {
    return this.#record(attemptId, 'notRun', now);
  }

  /**
   * @param attemptId a granted attempt whose run is over
   * @param outcome what is known of it
   * @param now present time
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
   * @param recorded whether the ledger confirmed it
   * @param now present time
   */
  recordAnswered(attemptId: string, recorded: boolean, now: number): void {
    const claim = this.#claims.get(attemptId);
    if (claim?.state !== CLAIM_STATE.RECORDING) return;
    if (recorded) this.#claims.delete(attemptId);
    else claim.sendAt = now + this.#settings.retryMs;
  }

  /**
   * @param now present time
   * @returns what is to be sent again, and claims that are given up
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

  /**
   * No member confirmed the claim in time. It may stand in the ledger, so the
   * ledger is told that this attempt never runs.
   */
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
