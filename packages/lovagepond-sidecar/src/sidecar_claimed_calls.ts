/**
 * Sends the claims and records that {@link SidecarClaims} decides on.
 */
import {type Clock, type Failure} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {
  type ClaimAction,
  type ClaimAnswer,
  type ClaimsSettings,
  type RecordedOutcome,
  SidecarClaims,
} from './sidecar_claims.js';

type AttemptRequest = lovagepond.v1.AttemptRequest;

/** An answer as recorded in the ledger. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly answer: Uint8Array;
}

/** Calls to control's ledger. */
export interface LedgerCalls {
  claim(
    request: lovagepond.v1.ClaimRequest.$Properties,
  ): Promise<ClaimAnswer | undefined>;
  record(request: lovagepond.v1.RecordRequest.$Properties): Promise<boolean>;
}

/** Receives the outcome of claims. */
export interface ClaimListener {
  onGranted(attemptId: string): void;
  onReplay(attemptId: string, answer: ClaimAnswer): void;
  onDenied(attemptId: string, failure: Failure): void;
}

/** Identity of the sidecar that claims. */
export interface Claimant {
  readonly backendServer: string;
  readonly incarnation: string;
}

interface ClaimedCall {
  readonly request: AttemptRequest;
  answer: RecordedAnswer;
}

const NO_ANSWER: RecordedAnswer = Object.freeze({
  status: 0,
  contentType: '',
  answer: new Uint8Array(),
});

type ActionHandlers = {
  readonly [Kind in ClaimAction['kind']]: (
    action: Extract<ClaimAction, {kind: Kind}>,
  ) => void;
};

/** The claimed calls of one sidecar incarnation. */
export class ClaimedCalls {
  readonly #claims: SidecarClaims;
  readonly #claimant: Claimant;
  readonly #ledger: LedgerCalls;
  readonly #clock: Clock;
  readonly #calls = new Map<string, ClaimedCall>();
  readonly #handlers: ActionHandlers;

  /**
   * @param settings time limits
   * @param claimant identity of this sidecar
   * @param ledger the calls to control
   * @param clock the monotonic clock
   * @param listener receives the outcome of claims
   */
  constructor(
    settings: ClaimsSettings,
    claimant: Claimant,
    ledger: LedgerCalls,
    clock: Clock,
    listener: ClaimListener,
  ) {
    this.#claims = new SidecarClaims(settings);
    this.#claimant = claimant;
    this.#ledger = ledger;
    this.#clock = clock;
    this.#handlers = {
      sendClaim: ({attemptId}) => void this.#sendClaim(attemptId),
      granted: ({attemptId}) => listener.onGranted(attemptId),
      replay: ({attemptId, answer}) => listener.onReplay(attemptId, answer),
      denied: ({attemptId, failure}) => listener.onDenied(attemptId, failure),
      sendRecord: ({attemptId, outcome}) =>
        void this.#sendRecord(attemptId, outcome),
    };
  }

  /** @returns number of calls between their claim and the end of the record */
  get size(): number {
    return this.#claims.size;
  }

  /** @param request an attempt that must not run twice */
  start(request: AttemptRequest): void {
    const {attemptId} = request;
    this.#calls.set(attemptId, {request, answer: NO_ANSWER});
    this.#perform(this.#claims.start(attemptId, this.#clock.now()));
  }

  /** @param attemptId an attempt revoked before its dispatch */
  release(attemptId: string): void {
    this.#perform(this.#claims.release(attemptId, this.#clock.now()));
  }

  /**
   * @param attemptId a granted attempt whose run has ended
   * @param outcome known outcome of the run
   * @param answer its answer if it ran
   */
  finish(
    attemptId: string,
    outcome: RecordedOutcome,
    answer: RecordedAnswer = NO_ANSWER,
  ): void {
    const call = this.#calls.get(attemptId);
    if (!call) return;
    call.answer = answer;
    const now = this.#clock.now();
    this.#perform(this.#claims.finished(attemptId, outcome, now));
  }

  /** @param now current time */
  tick(now: number): void {
    this.#perform(this.#claims.tick(now));
    for (const attemptId of this.#calls.keys()) {
      if (!this.#claims.has(attemptId)) this.#calls.delete(attemptId);
    }
  }

  #perform(actions: readonly ClaimAction[]): void {
    for (const action of actions) this.#handlers[action.kind](action as never);
  }

  async #sendClaim(attemptId: string): Promise<void> {
    const call = this.#calls.get(attemptId);
    if (!call) return;
    const {workspace, idempotencyKey, bodyDigest} = call.request;
    const answer = await this.#ledger.claim({
      workspace,
      idempotencyKey,
      bodyDigest,
      attemptId,
      ...this.#claimant,
    });
    const now = this.#clock.now();
    this.#perform(this.#claims.answered(attemptId, answer, now));
  }

  async #sendRecord(
    attemptId: string,
    outcome: RecordedOutcome,
  ): Promise<void> {
    const call = this.#calls.get(attemptId);
    if (!call) return;
    const {workspace, idempotencyKey} = call.request;
    const recorded = await this.#ledger.record({
      workspace,
      idempotencyKey,
      attemptId,
      outcome,
      ...call.answer,
    });
    this.#claims.recordAnswered(attemptId, recorded, this.#clock.now());
  }
}
