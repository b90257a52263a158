/**
 * The state machine of one request: what is known about its execution, and
 * what may be done next.
 *
 * A failed attempt is "not run" only when its sidecar refused it or confirmed
 * its revocation, or when no byte of it was sent. Anything else, silence
 * above all, leaves "may have run", which sticks to the request to its end.
 */
import {
  answerFor,
  DISPOSITION,
  type Failure,
  invariant,
  makeFailure,
} from '@lovagepond/core';
import {AnswerAssembler} from './router_answer.js';
import {AttemptWatch} from './router_attempt_watch.js';
import {ExecutionRecord, type NextStep} from './router_execution_record.js';
import {
  type AcceptedBody,
  type ChunkBody,
  type EndBody,
  type FailedBody,
  type Frame,
  type FrameBody,
  type RefusedBody,
} from './router_frames.js';
import {
  type Attempt,
  type DropReason,
  REQUEST_STATE,
  type RequestAction,
  type RequestEvent,
  type RequestFacts,
  type RequestLimits,
  type RequestState,
} from './router_request_types.js';

type EventHandlers = {
  readonly [Kind in RequestEvent['kind']]: (
    event: Extract<RequestEvent, {kind: Kind}>,
    now: number,
  ) => void;
};

type BodyHandlers = {
  readonly [Kind in FrameBody['kind']]: (
    body: Extract<FrameBody, {kind: Kind}>,
    now: number,
  ) => void;
};

/** Why an attempt is taken back. */
const REVOKE_REASON = {
  DEADLINE: 'deadline',
  CONNECTION_LOST: 'connectionLost',
} as const;

type RevokeReason = (typeof REVOKE_REASON)[keyof typeof REVOKE_REASON];

/** One request from its receipt to its final answer. */
export class RequestMachine {
  readonly #facts: RequestFacts;
  readonly #limits: RequestLimits;
  readonly #answer = new AnswerAssembler();
  readonly #record: ExecutionRecord;
  #state: RequestState = REQUEST_STATE.RECEIVED;
  #attempt: Attempt | undefined;
  #watch: AttemptWatch;
  #begun = false;
  #revoking: RevokeReason | undefined;
  #deadlineNear = false;
  #actions: RequestAction[] = [];

  readonly #eventHandlers: EventHandlers = {
    placed: event => this.#onPlaced(event),
    notPlaced: ({failure}) => this.#follow(this.#record.afterAll(failure)),
    connectFailed: ({attemptId}) => this.#onConnectFailed(attemptId),
    sent: ({attemptId}, now) => this.#onSent(attemptId, now),
    frame: ({frame}, now) => this.#onFrame(frame, now),
    broken: ({attemptId}, now) => {
      if (this.#attempt?.attemptId === attemptId) this.#reconnect(now);
    },
    revoked: event => this.#onRevoked(event),
    blocked: ({blocked}, now) => this.#watch.setBlocked(blocked, now),
    callerGone: () => this.#finish(),
    tick: (_event, now) => this.#onTick(now),
  };

  readonly #bodyHandlers: BodyHandlers = {
    accepted: (body, now) => this.#onAccepted(body, now),
    started: () => this.#onStarted(),
    refused: body => this.#onRefused(body),
    chunk: (body, now) => this.#onChunk(body, now),
    heartbeat: () => {},
    end: (body, now) => this.#onEnd(body, now),
    failed: body => this.#onFailed(body),
  };

  constructor(facts: RequestFacts, limits: RequestLimits) {
    this.#facts = facts;
    this.#limits = limits;
    this.#watch = new AttemptWatch(limits);
    this.#record = new ExecutionRecord(limits, facts.nonRepeatable);
  }

  /** @returns where the request stands */
  get state(): RequestState {
    return this.#state;
  }

  /** @returns the attempt that is open, if any */
  get attempt(): Attempt | undefined {
    return this.#attempt;
  }

  /** @returns the first actions: to choose a backend server */
  start(): RequestAction[] {
    invariant(this.#state === REQUEST_STATE.RECEIVED, 500, 'started twice');
    this.#follow({kind: 'place', wanted: undefined, retryOf: undefined});
    return this.#take();
  }

  /**
   * @param event what happened
   * @param now present time, monotonic milliseconds
   * @returns what to do, in order
   */
  receive(event: RequestEvent, now: number): RequestAction[] {
    if (this.#state === REQUEST_STATE.DONE) {
      if (event.kind === 'frame') this.#drop('afterEnd');
      return this.#take();
    }
    this.#eventHandlers[event.kind](event as never, now);
    return this.#take();
  }

  #take(): RequestAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #drop(reason: DropReason): void {
    this.#actions.push({kind: 'drop', reason});
  }

  #follow(step: NextStep): void {
    if (step.kind === 'fail') {
      this.#actions.push(step);
      this.#finish();
      return;
    }
    this.#closeAttempt();
    this.#state = REQUEST_STATE.RECEIVED;
    this.#actions.push({...step, excluded: this.#record.excluded});
  }

  #closeAttempt(): void {
    if (!this.#attempt) return;
    this.#actions.push({kind: 'cancel', attempt: this.#attempt});
    this.#attempt = undefined;
    this.#revoking = undefined;
  }

  #onPlaced(event: Extract<RequestEvent, {kind: 'placed'}>): void {
    const {target, nonRepeatable} = event;
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
      resumeFrom: this.#answer.deliveredBytes,
      handOvers: this.#record.handOvers,
      freshConnection,
    });
  }

  #onSent(attemptId: string, now: number): void {
    if (this.#attempt?.attemptId !== attemptId) return;
    this.#watch.noteSent(now);
    if (this.#state === REQUEST_STATE.PLACED) {
      this.#state = REQUEST_STATE.OFFERED;
    }
  }

  #onConnectFailed(attemptId: string): void {
    const attempt = this.#attempt;
    if (attempt?.attemptId !== attemptId) return;
    const {target} = attempt;
    this.#actions.push({kind: 'evidence', target, evidence: 'unreachable'});
    if (this.#watch.sends === 0) {
      this.#notRun(makeFailure('unreachable'));
      return;
    }
    this.#mayHaveRun(makeFailure('backendSilent'));
  }

  #onFrame(frame: Frame, now: number): void {
    const attempt = this.#attempt;
    if (frame.attemptId !== attempt?.attemptId) {
      this.#drop('otherAttempt');
      return;
    }
    const {body} = frame;
    if (frame.incarnation !== attempt.target.incarnation) {
      this.#onOtherIncarnation(body);
      return;
    }
    this.#watch.noteHeard(now);
    this.#bodyHandlers[body.kind](body as never, now);
  }

  /**
   * A restarted sidecar refuses an attempt meant for its former self. That
   * proves "not run" only for an attempt sent once: after a reconnection the
   * first copy may have reached the former incarnation and run there.
   */
  #onOtherIncarnation(body: FrameBody): void {
    const refusal = body.kind === 'refused' ? body.errorKind : undefined;
    if (refusal !== 'wrongIncarnation') {
      this.#drop('otherIncarnation');
      return;
    }
    if (this.#watch.sends === 1) this.#notRun(makeFailure('wrongIncarnation'));
    else this.#mayHaveRun(makeFailure('backendFailed'));
  }

  #onStarted(): void {
    this.#revoking = undefined;
    if (this.#state === REQUEST_STATE.ANSWERING) return;
    this.#state = REQUEST_STATE.DISPATCHED;
  }

  #onAccepted(body: AcceptedBody, now: number): void {
    if (this.#state !== REQUEST_STATE.OFFERED) return;
    this.#state = REQUEST_STATE.ADMITTED;
    if (now + body.expectedWaitMs <= this.#facts.deadline) return;
    this.#revoke(REVOKE_REASON.DEADLINE);
  }

  #wasDispatched(): boolean {
    return (
      this.#state === REQUEST_STATE.DISPATCHED ||
      this.#state === REQUEST_STATE.ANSWERING
    );
  }

  /**
   * A refusal that crossed with the dispatch speaks of the queue, not of the
   * run: believing it would make the router or the caller repeat what runs.
   * The one refusal that can be true after `Started` is `unreachable`: the
   * sidecar then found that its backend server never got the request. Once
   * bytes of the answer have come, even that can't be true.
   */
  #contradictsStart(body: RefusedBody): boolean {
    if (this.#state === REQUEST_STATE.ANSWERING) return true;
    if (this.#state !== REQUEST_STATE.DISPATCHED) return false;
    return body.errorKind !== 'unreachable';
  }

  #onRefused(body: RefusedBody): void {
    if (this.#contradictsStart(body)) {
      this.#drop('refusedAfterStart');
      return;
    }
    const {configuration} = body;
    if (configuration.length > 0) {
      this.#actions.push({kind: 'install', configuration});
    }
    const failure: Failure = {
      ...makeFailure(body.errorKind, {retryAfterMs: body.retryAfterMs}),
      ...(body.message && {message: body.message}),
    };
    this.#notRun(failure, body.pointer);
  }

  #onChunk(body: ChunkBody, now: number): void {
    const attempt = this.#attempt as Attempt;
    const {incarnation} = attempt.target;
    const source = {attemptId: attempt.attemptId, incarnation};
    const verdict = this.#answer.accept(source, body.offset, body.data);
    if (verdict.kind === 'duplicate') this.#drop('duplicate');
    if (verdict.kind === 'foreign') this.#drop('foreignGeneration');
    if (verdict.kind === 'gap') this.#reconnect(now);
    if (verdict.kind !== 'deliver') return;
    this.#begin(body);
    this.#state = REQUEST_STATE.ANSWERING;
    this.#revoking = undefined;
    this.#actions.push({kind: 'write', data: verdict.data});
  }

  #begin(head: {readonly status: number; readonly contentType: string}): void {
    if (this.#begun) return;
    this.#begun = true;
    const status = head.status || 200;
    const contentType = head.contentType || 'application/octet-stream';
    this.#actions.push({kind: 'begin', status, contentType});
  }

  #onEnd(body: EndBody, now: number): void {
    const verdict = this.#answer.finish(body.totalBytes);
    if (verdict === 'truncated') {
      this.#reconnect(now);
      return;
    }
    if (verdict === 'overlong') {
      this.#mayHaveRun(makeFailure('answerTruncated'));
      return;
    }
    this.#begin(body);
    this.#actions.push({kind: 'end'});
    // The sidecar ends the stream itself: a cancellation could reach it first
    // and be taken for a caller who went away.
    this.#attempt = undefined;
    this.#finish();
  }

  #onFailed(body: FailedBody): void {
    const {retryAfterMs, message} = body;
    // `Failed` comes from what was dispatched, so that a kind which would tell
    // the caller "not run" is not believed.
    const {disposition} = answerFor(body.errorKind);
    const untrue = disposition === DISPOSITION.NOT_RUN;
    const kind = untrue ? 'backendFailed' : body.errorKind;
    const details = message ? {retryAfterMs, message} : {retryAfterMs};
    this.#mayHaveRun(makeFailure(kind, details));
  }

  /**
   * The connection fell silent or broke. Something between the two ends may
   * have lost track of it while new ones work, so a fresh one is tried before
   * the server is blamed. A dispatched attempt is sent again under its own id:
   * the sidecar knows it and goes on from the delivered offset, and dispatches
   * nothing twice. Any other is taken back, which tells for certain whether it
   * was dispatched.
   */
  #reconnect(now: number): void {
    // The answer to a revocation is under way and decides.
    if (this.#revoking) return;
    const {target} = this.#attempt as Attempt;
    this.#actions.push({kind: 'evidence', target, evidence: 'silent'});
    if (!this.#watch.tryReconnect(now)) {
      this.#mayHaveRun(makeFailure('backendSilent'));
      return;
    }
    if (this.#wasDispatched()) this.#offer(true);
    else this.#revoke(REVOKE_REASON.CONNECTION_LOST);
  }

  /** The open attempt has not run and never will. */
  #notRun(failure: Failure, pointer = ''): void {
    const {backendServer} = (this.#attempt as Attempt).target;
    this.#follow(this.#record.afterNotRun(backendServer, failure, pointer));
  }

  /** The open attempt may have run, perhaps in part. */
  #mayHaveRun(failure: Failure): void {
    const {backendServer} = (this.#attempt as Attempt).target;
    const step = this.#record.afterMayHaveRun(
      backendServer,
      failure,
      !this.#begun,
    );
    this.#follow(step);
  }

  #revoke(reason: RevokeReason): void {
    if (this.#revoking) return;
    this.#revoking = reason;
    const attempt = this.#attempt as Attempt;
    const freshConnection = reason === REVOKE_REASON.CONNECTION_LOST;
    this.#actions.push({kind: 'revoke', attempt, freshConnection});
  }

  #onRevoked(event: Extract<RequestEvent, {kind: 'revoked'}>): void {
    const attempt = this.#attempt;
    const reason = this.#revoking;
    if (attempt?.attemptId !== event.attemptId || !reason) return;
    this.#revoking = undefined;
    const {backendServer} = attempt.target;
    if (event.outcome === 'dispatched') this.#onStarted();
    if (event.outcome !== 'revoked') {
      if (reason === REVOKE_REASON.CONNECTION_LOST) this.#onNotTakenBack();
    } else if (reason === REVOKE_REASON.CONNECTION_LOST) {
      this.#follow(this.#record.afterReconnect(backendServer));
    } else {
      this.#notRun(makeFailure('deadlineUnreachable'));
    }
  }

  #onNotTakenBack(): void {
    if (this.#wasDispatched()) this.#offer(true);
    else this.#mayHaveRun(makeFailure('backendSilent'));
  }

  #onTick(now: number): void {
    const {deadline} = this.#facts;
    if (now >= deadline) {
      this.#onDeadline();
      return;
    }
    const waiting =
      this.#state === REQUEST_STATE.OFFERED ||
      this.#state === REQUEST_STATE.ADMITTED;
    const near = now >= deadline - this.#limits.revokeLeadMs;
    if (waiting && near && !this.#deadlineNear) {
      this.#deadlineNear = true;
      this.#revoke(REVOKE_REASON.DEADLINE);
    }
    this.#watchSilence(now, waiting);
  }

  #watchSilence(now: number, waiting: boolean): void {
    const open = waiting || this.#wasDispatched();
    if (!open) return;
    const answered = this.#state !== REQUEST_STATE.OFFERED;
    if (this.#watch.isSilent(now, answered)) this.#reconnect(now);
  }

  #onDeadline(): void {
    if (this.#watch.sends > 0 && this.#attempt) {
      this.#record.markUncertain(makeFailure('deadlineExceeded'));
    }
    this.#follow(this.#record.afterAll(makeFailure('deadlineUnreachable')));
  }

  #finish(): void {
    this.#closeAttempt();
    this.#state = REQUEST_STATE.DONE;
  }
}
