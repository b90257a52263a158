/**
 * The state machine of one request: tracks whether the request may have been
 * executed and decides on the next step.
 *
 * A failed attempt counts as "not run" only when its sidecar refused it or
 * confirmed its revocation, or when no byte of it was sent. After any other
 * failure, in particular silence, the request may have run, and counts as such
 * until its end.
 */
import {type Failure, invariant, makeFailure} from '@lovagepond/core';
import {AnswerRelay} from './router_answer_relay.js';
import {AttemptWatch} from './router_attempt_watch.js';
import {
  ExecutionRecord,
  FIRST_PLACEMENT,
  type NextStep,
} from './router_execution_record.js';
import {checkFrame} from './router_frame_check.js';
import {
  failureOfFailed,
  failureOfRefusal,
  isUnavailableRefusal,
} from './router_frame_failures.js';
import {
  type AcceptedBody,
  type ChunkBody,
  type EndBody,
  type Frame,
  type RefusedBody,
} from './router_frames.js';
import {
  makeDrainingFailure,
  RequestTiming,
  wasDispatched,
} from './router_request_timing.js';
import {
  type Attempt,
  type Closing,
  CLOSING,
  type DropReason,
  type BodyHandlers,
  type EventHandlers,
  type EventOf,
  type EvidenceKind,
  REQUEST_STATE,
  type RequestAction,
  type RequestEvent,
  type RequestFacts,
  type RequestLimits,
  type RequestState,
  REVOKE_REASON,
  type RevokeReason,
} from './router_request_types.js';

/** Controls one request from its receipt to its final answer. */
export class RequestMachine {
  // Shared by all requests to keep the memory of each one small.
  static readonly #eventHandlers: EventHandlers<RequestMachine> = {
    placed: (machine, event) => machine.#onPlaced(event),
    notPlaced: (machine, event) => machine.#failRequest(event.failure),
    connectFailed: (machine, event) => machine.#onConnectFailed(event),
    sent: (machine, event, now) => machine.#onSent(event, now),
    frame: (machine, event, now) => machine.#onFrame(event.frame, now),
    broken: (machine, event, now) => machine.#onBroken(event, now),
    revoked: (machine, event, now) => machine.#onRevoked(event, now),
    blocked: (machine, event, now) =>
      machine.#watch.setBlocked(event.blocked, now),
    callerGone: machine => machine.#finish(CLOSING.ABANDONED),
    tick: (machine, _event, now) => machine.#onTick(now),
  };

  static readonly #bodyHandlers: BodyHandlers<RequestMachine> = {
    accepted: (machine, body, now) => machine.#onAccepted(body, now),
    started: machine => machine.#onStarted(),
    refused: (machine, body, now) => machine.#onRefused(body, now),
    chunk: (machine, body, now) => machine.#onChunk(body, now),
    heartbeat: () => {},
    end: (machine, body, now) => machine.#onEnd(body, now),
    failed: (machine, body) =>
      machine.#mayHaveRun(failureOfFailed(body), CLOSING.CONCLUDED),
  };

  readonly #facts: RequestFacts;
  readonly #limits: RequestLimits;
  readonly #record: ExecutionRecord;
  readonly #relay: AnswerRelay;
  readonly #timing: RequestTiming;
  #state: RequestState = REQUEST_STATE.RECEIVED;
  #attempt: Attempt | undefined;
  #watch: AttemptWatch;
  #revoking: RevokeReason | undefined;
  #actions: RequestAction[] = [];

  constructor(facts: RequestFacts, limits: RequestLimits) {
    this.#facts = facts;
    this.#limits = limits;
    this.#watch = new AttemptWatch(limits);
    this.#timing = new RequestTiming(facts, limits);
    this.#record = new ExecutionRecord(limits, facts.nonRepeatable);
    this.#relay = new AnswerRelay(action => this.#actions.push(action));
  }

  /** @returns the request's state */
  get state(): RequestState {
    return this.#state;
  }

  /** @returns the open attempt, if any */
  get attempt(): Attempt | undefined {
    return this.#attempt;
  }

  /** @returns the first action: choosing a backend server */
  start(): RequestAction[] {
    invariant(
      this.#state === REQUEST_STATE.RECEIVED,
      500,
      'request started twice',
    );
    this.#follow(FIRST_PLACEMENT, CLOSING.CONCLUDED);
    return this.#takeActions();
  }

  /**
   * @param event what happened
   * @param now current time, monotonic milliseconds
   * @returns the actions to perform, in this order
   */
  receive(event: RequestEvent, now: number): RequestAction[] {
    if (this.#state === REQUEST_STATE.DONE) {
      if (event.kind === 'frame') this.#drop('afterEnd');
      return this.#takeActions();
    }
    RequestMachine.#eventHandlers[event.kind](this, event as never, now);
    return this.#takeActions();
  }

  /** @param at see {@link RequestTiming.limitRun} */
  limitRun(at: number): void {
    this.#timing.limitRun(at);
  }

  #takeActions(): RequestAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #drop(reason: DropReason): void {
    this.#actions.push({kind: 'drop', reason});
  }

  #follow(step: NextStep, closing: Closing): void {
    if (step.kind === 'fail') {
      this.#actions.push(step);
      this.#finish(closing);
      return;
    }
    this.#closeAttempt(closing);
    this.#state = REQUEST_STATE.RECEIVED;
    this.#actions.push({...step, excluded: this.#record.excluded});
  }

  #failRequest(failure: Failure): void {
    this.#follow(this.#record.finalStep(failure), CLOSING.ABANDONED);
  }

  #closeAttempt(closing: Closing): void {
    const attempt = this.#attempt;
    if (!attempt) return;
    const sent = this.#watch.sends > 0;
    const abandoned = closing === CLOSING.ABANDONED && sent;
    this.#actions.push({kind: 'close', attempt, abandoned});
    this.#attempt = undefined;
    this.#revoking = undefined;
  }

  #onPlaced({target, nonRepeatable}: EventOf<'placed'>): void {
    invariant(!this.#attempt, 501, 'placed while an attempt is open');
    this.#watch = new AttemptWatch(this.#limits);
    const number = this.#record.countPlacement(nonRepeatable);
    const attemptId = `${this.#facts.requestId}.${number}`;
    this.#attempt = {attemptId, target};
    this.#state = REQUEST_STATE.PLACED;
    this.#offer(false);
  }

  #offer(freshConnection: boolean): void {
    this.#actions.push({
      kind: 'offer',
      attempt: this.#attempt as Attempt,
      resumeFrom: this.#relay.deliveredBytes,
      handOvers: this.#record.handOvers,
      freshConnection,
    });
  }

  #onSent({attemptId}: EventOf<'sent'>, now: number): void {
    if (this.#attempt?.attemptId !== attemptId) return;
    this.#watch.noteSent(now);
    if (this.#state === REQUEST_STATE.PLACED) {
      this.#state = REQUEST_STATE.OFFERED;
    }
  }

  #onConnectFailed({attemptId}: EventOf<'connectFailed'>): void {
    if (this.#attempt?.attemptId !== attemptId) return;
    this.#addEvidence('unreachable');
    if (this.#watch.sends === 0) this.#notRun(makeFailure('unreachable'));
    else this.#mayHaveRun(makeFailure('backendSilent'), CLOSING.ABANDONED);
  }

  #onBroken({attemptId}: EventOf<'broken'>, now: number): void {
    if (this.#attempt?.attemptId !== attemptId) return;
    this.#addEvidence('silent');
    this.#reconnect(now);
  }

  #addEvidence(evidence: EvidenceKind): void {
    const {target} = this.#attempt as Attempt;
    this.#actions.push({kind: 'evidence', target, evidence});
  }

  #onFrame(frame: Frame, now: number): void {
    const verdict = checkFrame(frame, this.#attempt, this.#state);
    if (verdict.kind === 'drop') this.#drop(verdict.reason);
    if (verdict.kind === 'restarted') this.#onRestarted();
    if (verdict.kind !== 'accept') return;
    this.#watch.noteFrame(now);
    const {body} = frame;
    RequestMachine.#bodyHandlers[body.kind](this, body as never, now);
  }

  /**
   * A restarted sidecar's refusal proves "not run" only for an attempt that was
   * sent once. After a reconnection, the first copy may have reached the
   * previous incarnation and may have run there.
   */
  #onRestarted(): void {
    this.#addEvidence('unavailable');
    if (this.#watch.sends === 1) this.#notRun(makeFailure('wrongIncarnation'));
    else this.#mayHaveRun(makeFailure('backendFailed'), CLOSING.CONCLUDED);
  }

  #onStarted(): void {
    this.#revoking = undefined;
    if (this.#state === REQUEST_STATE.ANSWERING) return;
    this.#state = REQUEST_STATE.DISPATCHED;
  }

  #onAccepted(body: AcceptedBody, now: number): void {
    if (this.#state !== REQUEST_STATE.OFFERED) return;
    this.#state = REQUEST_STATE.ADMITTED;
    if (this.#timing.allows(body.expectedWaitMs, now)) return;
    this.#revoke(REVOKE_REASON.DEADLINE);
  }

  #onRefused(body: RefusedBody, now: number): void {
    const {configuration} = body;
    if (configuration.length > 0) {
      this.#actions.push({kind: 'install', configuration});
    }
    if (body.errorKind === 'revoked' && this.#revoking) {
      this.#onRevocationConfirmed(this.#revoking, now);
      return;
    }
    if (isUnavailableRefusal(body)) this.#addEvidence('unavailable');
    this.#notRun(failureOfRefusal(body), body.pointer);
  }

  #onChunk(body: ChunkBody, now: number): void {
    const verdict = this.#relay.relay(this.#attempt as Attempt, body);
    if (verdict === 'gap') this.#reconnect(now);
    if (verdict !== 'delivered') return;
    this.#state = REQUEST_STATE.ANSWERING;
    this.#revoking = undefined;
  }

  #onEnd(body: EndBody, now: number): void {
    const verdict = this.#relay.end(body);
    if (verdict === 'truncated') this.#reconnect(now);
    if (verdict === 'overlong') {
      this.#mayHaveRun(makeFailure('answerTruncated'), CLOSING.CONCLUDED);
    }
    if (verdict === 'whole') this.#finish(CLOSING.CONCLUDED);
  }

  /**
   * A device on the network path may have dropped only this connection, so a
   * new one is tried before the server is suspected. A dispatched attempt is
   * sent again with the same id: the sidecar recognizes it, resumes from the
   * delivered offset and doesn't dispatch it again. Any other attempt is
   * revoked; the response says for certain whether it was dispatched.
   */
  #reconnect(now: number): void {
    // The response to the pending revocation decides on the next step.
    if (this.#revoking) return;
    if (!this.#watch.tryReconnect(now)) {
      this.#mayHaveRun(makeFailure('backendSilent'), CLOSING.ABANDONED);
    } else if (wasDispatched(this.#state)) this.#offer(true);
    else this.#revoke(REVOKE_REASON.CONNECTION_LOST);
  }

  /** Handles an open attempt that has not run and never will. */
  #notRun(failure: Failure, pointer = ''): void {
    const {backendServer} = (this.#attempt as Attempt).target;
    const step = this.#record.afterNotRun(backendServer, failure, pointer);
    this.#follow(step, CLOSING.CONCLUDED);
  }

  /** Handles an open attempt that may have run, perhaps in part. */
  #mayHaveRun(failure: Failure, closing: Closing): void {
    const {backendServer} = (this.#attempt as Attempt).target;
    const nothingDelivered = !this.#relay.begun;
    const record = this.#record;
    const step = record.afterMayHaveRun(
      backendServer,
      failure,
      nothingDelivered,
    );
    this.#follow(step, closing);
  }

  #revoke(reason: RevokeReason): void {
    if (this.#revoking) return;
    this.#revoking = reason;
    const attempt = this.#attempt as Attempt;
    const freshConnection = reason === REVOKE_REASON.CONNECTION_LOST;
    this.#actions.push({kind: 'revoke', attempt, freshConnection});
  }

  #onRevoked(event: EventOf<'revoked'>, now: number): void {
    const attempt = this.#attempt;
    const reason = this.#revoking;
    if (attempt?.attemptId !== event.attemptId || !reason) return;
    if (event.outcome === 'revoked') {
      this.#onRevocationConfirmed(reason, now);
      return;
    }
    this.#revoking = undefined;
    if (event.outcome === 'dispatched') this.#onStarted();
    if (reason !== REVOKE_REASON.CONNECTION_LOST) return;
    if (wasDispatched(this.#state)) this.#offer(true);
    else this.#mayHaveRun(makeFailure('backendSilent'), CLOSING.ABANDONED);
  }

  /** Handles the confirmation that the attempt was not dispatched. */
  #onRevocationConfirmed(reason: RevokeReason, now: number): void {
    const {backendServer} = (this.#attempt as Attempt).target;
    const late = this.#timing.findLate(now);
    if (reason === REVOKE_REASON.CONNECTION_LOST) {
      const step = this.#record.afterReconnect(backendServer);
      this.#follow(step, CLOSING.CONCLUDED);
    } else if (late) {
      this.#follow(this.#record.finalStep(late), CLOSING.CONCLUDED);
    } else {
      this.#notRun(makeFailure('deadlineUnreachable'));
    }
  }

  #onTick(now: number): void {
    const due = this.#timing.findDue(this.#state, this.#watch, now);
    if (due === 'deadline') this.#onDeadline();
    if (due === 'late') this.#failRequest(makeDrainingFailure());
    if (due === 'revoke') this.#revoke(REVOKE_REASON.DEADLINE);
    if (due !== 'silent') return;
    this.#addEvidence('silent');
    this.#reconnect(now);
  }

  #onDeadline(): void {
    if (this.#watch.sends > 0 && this.#attempt) {
      this.#record.markUncertain(makeFailure('deadlineExceeded'));
    }
    this.#failRequest(makeFailure('deadlineUnreachable'));
  }

  #finish(closing: Closing): void {
    this.#closeAttempt(closing);
    this.#state = REQUEST_STATE.DONE;
  }
}
