/**
 * Performs the actions of the gate: answers routers, claims calls, and starts
 * and cancels runs.
 */
import {
  answerFor,
  type Clock,
  DISPOSITION,
  type ErrorKind,
  type Failure,
  type Logger,
  makeFailure,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type Backend} from './sidecar_backend.js';
import {ClaimedCalls, type LedgerCalls} from './sidecar_claimed_calls.js';
import {type ClaimAnswer} from './sidecar_claims.js';
import {makeAccepted, makeRefused} from './sidecar_frames.js';
import {type SidecarGate} from './sidecar_gate.js';
import {wasInterrupted, runAttempt, type RunOutcome} from './sidecar_run.js';
import {type FrameStream, SidecarSession} from './sidecar_session.js';
import {SidecarSessions} from './sidecar_sessions.js';
import {type SidecarSettings} from './sidecar_settings.js';
import {
  type GateAction,
  type Offer,
  type RefuseAction,
  type RunEnd,
} from './sidecar_types.js';

type AttemptRequest = lovagepond.v1.AttemptRequest;

const RECORD_TIMEOUT_MS = 600_000;
const LEDGER_RETRY_MS = 100;

/** Time limit of the check whether a crash ended a run, milliseconds. */
const CRASH_CHECK_TIMEOUT_MS = 300;
const NO_BYTES = new Uint8Array();

export interface DispatcherDependencies {
  readonly gate: SidecarGate;
  readonly backend: Backend;
  readonly clock: Clock;
  readonly log: Logger;
  readonly ledger: LedgerCalls;
  readonly incarnation: string;
  /** @returns the configuration in force if above `revision`, else no bytes */
  newerConfiguration(revision: number): Uint8Array;
  /** Sends a chat's first choice a pointer to this server. */
  point(request: AttemptRequest): void;
  /** Reports that the backend server could not be reached. */
  noteUnreachable(): void;
  /** @returns number of the current instance of the backend server */
  readonly backendInstance: () => number;
  /** @returns true when that instance has ended */
  readonly hasEnded: (instance: number) => Promise<boolean>;
  /** Reports that a chat was served, so that its context is cached. */
  noteServed(request: AttemptRequest): void;
}

type ActionHandlers = {
  readonly [Kind in GateAction['kind']]: (
    action: Extract<GateAction, {kind: Kind}>,
    session: SidecarSession,
    now: number,
  ) => void;
};

/** Counters since the start. */
export interface DispatcherCounters {
  readonly answered: number;
  readonly failedByKind: Readonly<Record<string, number>>;
  readonly refusedByKind: Readonly<Record<string, number>>;
  readonly cachedTokens: number;
}

function makeOffer(request: AttemptRequest, now: number): Offer {
  const {requestId, attemptId, incarnation, workspace, chat} = request;
  const {priority, nonRepeatable, revision, firstChoice} = request;
  return {
    requestId,
    attemptId,
    incarnation,
    workspace,
    chat,
    tokens: Math.max(1, request.estimatedTokens),
    priority,
    deadlineAt: now + request.deadlineLeftMs,
    nonRepeatable,
    revision,
    firstChoice,
    warmCandidates: request.warmCandidates,
    handOvers: request.handOvers,
    poolMeanTokens: request.poolMeanTokens,
  };
}

function toRunEnd(
  outcome: RunOutcome,
  {wasReadSlowly}: SidecarSession,
): RunEnd {
  if (outcome.kind === 'done') return {kind: outcome.kind, wasReadSlowly};
  if (outcome.kind === 'failed') return {kind: outcome.kind};
  const {kind, message} = outcome.failure;
  const notRun = answerFor(kind).disposition === DISPOSITION.NOT_RUN;
  return {kind: 'notRun', message, ...(notRun && {errorKind: kind})};
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Attempts at one sidecar, with their streams and runs. */
export class SidecarDispatcher {
  readonly #settings: SidecarSettings;
  readonly #deps: DispatcherDependencies;
  readonly #gate: SidecarGate;
  readonly #calls: ClaimedCalls;
  readonly #sessions: SidecarSessions;
  readonly #aborts = new Map<string, AbortController>();
  readonly #failedByKind = new Map<string, number>();
  readonly #refusedByKind = new Map<string, number>();
  #answered = 0;
  #cachedTokens = 0;

  readonly #handlers: ActionHandlers = {
    accept: ({expectedWaitMs}, session) => {
      session.send(makeAccepted(expectedWaitMs));
    },
    refuse: (action, session, now) => this.#refuse(action, session, now),
    rejectDuplicate: ({failure}, session, now) =>
      this.#fail(session, failure, now),
    claim: (_action, session) => this.#calls.start(session.request),
    dispatch: (_action, session) => void this.#run(session),
    cancel: ({attemptId}) => this.#aborts.get(attemptId)?.abort(),
    releaseClaim: ({attemptId}) => this.#calls.release(attemptId),
    point: (_action, session) => this.#deps.point(session.request),
  };

  /**
   * @param settings the sidecar's settings
   * @param deps the gate, its backend server and callbacks
   */
  constructor(settings: SidecarSettings, deps: DispatcherDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    this.#gate = deps.gate;
    this.#sessions = new SidecarSessions(settings);
    const {backendServer, claimTimeoutMs} = settings;
    this.#calls = new ClaimedCalls(
      {
        claimTimeoutMs,
        recordTimeoutMs: RECORD_TIMEOUT_MS,
        retryMs: LEDGER_RETRY_MS,
      },
      {backendServer, incarnation: deps.incarnation},
      deps.ledger,
      deps.clock,
      {
        onGranted: attemptId => this.#onGranted(attemptId),
        onReplay: (attemptId, answer) => this.#onReplay(attemptId, answer),
        onDenied: (attemptId, failure) => this.#onDenied(attemptId, failure),
      },
    );
  }

  /** @returns counters since the start */
  get counters(): DispatcherCounters {
    return {
      answered: this.#answered,
      failedByKind: Object.fromEntries(this.#failedByKind),
      refusedByKind: Object.fromEntries(this.#refusedByKind),
      cachedTokens: this.#cachedTokens,
    };
  }

  /**
   * Whether the process may stop without truncating an answer: a run may have
   * ended while its answer is still being sent to a slow reader.
   *
   * @returns true when nothing is queued, running, being recorded or being sent
   */
  get idle(): boolean {
    return this.unfinished === 0;
  }

  /**
   * A request may be in several of the counted stages. With some requests in
   * one stage only and others in another, the number is a lower bound.
   *
   * @returns requests that are queued, running, being recorded or being sent
   */
  get unfinished(): number {
    return Math.max(
      this.#gate.openRequests,
      this.#calls.size,
      this.#sessions.attached,
    );
  }

  /**
   * Accepts an attempt. If the same attempt arrives over another stream because
   * the router lost its first one, the answer is resumed on the new stream and
   * nothing runs twice.
   *
   * @param request the attempt
   * @param stream stream for the answer
   * @returns the attempt's session; undefined when the attempt was refused
   *     without one
   */
  offer(
    request: AttemptRequest,
    stream: FrameStream,
  ): SidecarSession | undefined {
    const now = this.#deps.clock.now();
    const {attemptId, resumeFrom} = request;
    const invalid = this.#findInvalid(request);
    if (invalid) {
      stream.write(makeRefused(makeFailure(invalid), '', NO_BYTES));
      stream.end();
      return undefined;
    }
    const known = this.#sessions.find(attemptId);
    if (known) {
      known.attach(stream, resumeFrom, now);
      return known;
    }
    const {maxAnswerBytes} = this.#settings;
    const session = new SidecarSession(request, now, maxAnswerBytes);
    session.attach(stream, 0, now);
    this.#sessions.add(session);
    const offer = makeOffer(request, now);
    this.perform(this.#gate.offer(offer, now));
    return session;
  }

  /**
   * @param session an attempt
   * @param stream its stream that was closed
   */
  streamClosed(session: SidecarSession, stream: FrameStream): void {
    const now = this.#deps.clock.now();
    session.detach(stream, now);
    if (session.detachedAt === undefined) return;
    if (session.closedAt !== undefined) return;
    const {attemptId} = session.request;
    // A running attempt may be resumed over another stream.
    if (this.#aborts.has(attemptId)) return;
    this.perform(this.#gate.callerGone(attemptId, now));
  }

  /**
   * @param attemptId the attempt to revoke
   * @returns the outcome
   */
  revoke(attemptId: string): string {
    const now = this.#deps.clock.now();
    const {outcome, actions} = this.#gate.revoke(attemptId, now);
    this.perform(actions);
    return outcome;
  }

  /** @param actions actions of the gate */
  perform(actions: readonly GateAction[]): void {
    const now = this.#deps.clock.now();
    for (const action of actions) {
      const session = this.#sessions.find(action.attemptId);
      if (session) this.#handlers[action.kind](action as never, session, now);
    }
  }

  /** @param now current time */
  tick(now: number): void {
    this.perform(this.#gate.tick(now));
    this.#calls.tick(now);
    for (const session of this.#sessions.tick(now)) {
      this.perform(this.#gate.callerGone(session.request.attemptId, now));
      session.abandon();
    }
  }

  /** Aborts all runs. */
  stop(): void {
    for (const abort of this.#aborts.values()) abort.abort();
  }

  /** Checks for refusals that need no session and leave no record. */
  #findInvalid({incarnation, body}: AttemptRequest): ErrorKind | undefined {
    if (incarnation !== this.#deps.incarnation) return 'wrongIncarnation';
    const tooLarge = body.length > this.#settings.maxBodyBytes;
    return tooLarge ? 'payloadTooLarge' : undefined;
  }

  #refuse(action: RefuseAction, session: SidecarSession, now: number): void {
    const {failure, pointer} = action;
    increment(this.#refusedByKind, failure.kind);
    const configuration =
      failure.kind === 'staleRevision'
        ? this.#deps.newerConfiguration(session.request.revision)
        : NO_BYTES;
    session.refuse(makeRefused(failure, pointer, configuration), now);
    this.#sessions.remove(session.request.attemptId);
  }

  #fail(
    session: SidecarSession,
    failure: Failure,
    now: number,
    crashedInstance?: string,
  ): void {
    increment(this.#failedByKind, failure.kind);
    session.fail(failure, now, crashedInstance);
  }

  async #run(session: SidecarSession): Promise<void> {
    const {request} = session;
    const {attemptId} = request;
    const {backend, clock} = this.#deps;
    const abort = new AbortController();
    this.#aborts.set(attemptId, abort);
    const {signal} = abort;
    const deps = {backend, session, clock, signal};
    const instance = this.#deps.backendInstance();
    const outcome = await runAttempt(deps);
    this.#aborts.delete(attemptId);
    const hasCrashed =
      wasInterrupted(outcome) &&
      !signal.aborted &&
      (await this.#hasEnded(instance));
    const crashedInstance = hasCrashed
      ? this.#instanceName(instance)
      : undefined;
    this.#onRunEnd(session, outcome, crashedInstance);
  }

  /** Time-limited, so that the caller of an interrupted run need not wait. */
  #hasEnded(instance: number): Promise<boolean> {
    const limit = new Promise<boolean>(resolve => {
      setTimeout(() => {
        resolve(false);
      }, CRASH_CHECK_TIMEOUT_MS).unref();
    });
    return Promise.race([this.#deps.hasEnded(instance), limit]);
  }

  #instanceName(instance: number): string {
    return `${this.#deps.incarnation}.${instance}`;
  }

  #onRunEnd(
    session: SidecarSession,
    outcome: RunOutcome,
    crashedInstance: string | undefined,
  ): void {
    const now = this.#deps.clock.now();
    const {request} = session;
    if (outcome.kind === 'done') {
      this.#answered += 1;
      this.#cachedTokens += outcome.cachedTokens;
      session.finish(now);
      this.#deps.noteServed(request);
    }
    if (outcome.kind === 'failed') {
      this.#fail(session, outcome.failure, now, crashedInstance);
    }
    const kind = outcome.kind === 'notRun' ? outcome.failure.kind : undefined;
    if (kind === 'unreachable') this.#deps.noteUnreachable();
    if (request.nonRepeatable) this.#record(session, outcome);
    const end = toRunEnd(outcome, session);
    this.perform(this.#gate.finish(request.attemptId, end, now));
  }

  /** An answer too large to be kept for a replay is recorded as unknown. */
  #record(session: SidecarSession, outcome: RunOutcome): void {
    const {attemptId} = session.request;
    const answer = session.wholeAnswer();
    if (outcome.kind === 'notRun') this.#calls.finish(attemptId, 'notRun');
    else if (outcome.kind === 'done' && answer) {
      this.#calls.finish(attemptId, 'ran', {...session.head, answer});
    } else this.#calls.finish(attemptId, 'unknown');
  }

  #onGranted(attemptId: string): void {
    const now = this.#deps.clock.now();
    const actions = this.#gate.claimGranted(attemptId, now);
    if (actions.length === 0) this.#calls.release(attemptId);
    this.perform(actions);
  }

  #onReplay(attemptId: string, answer: ClaimAnswer): void {
    const now = this.#deps.clock.now();
    this.perform(this.#gate.claimDenied(attemptId, now));
    const session = this.#sessions.find(attemptId);
    if (!session) return;
    const {status, contentType} = answer;
    session.setHead({status, contentType});
    session.append({offset: 0, bytes: answer.answer});
    session.finish(now);
  }

  #onDenied(attemptId: string, failure: Failure): void {
    const now = this.#deps.clock.now();
    this.perform(this.#gate.claimDenied(attemptId, now));
    const session = this.#sessions.find(attemptId);
    if (!session) return;
    const {disposition} = answerFor(failure.kind);
    if (disposition !== DISPOSITION.NOT_RUN) {
      this.#fail(session, failure, now);
      return;
    }
    const refusal = {kind: 'refuse', attemptId, failure, pointer: ''} as const;
    this.#refuse(refusal, session, now);
  }
}
