/**
 * Handles one admitted request until its final response.
 *
 * Selects servers, runs attempts one after the other, streams the response to
 * the caller, and sends exactly one final response.
 */
import {type ErrorKind} from '@lovagepond/core';
import {type AttemptFailure, type AttemptListener} from './gateway_attempt.js';
import {type ClockReading, readClock} from './gateway_authority.js';
import {type CallerChannel} from './gateway_caller_channel.js';
import {type ServerChoice} from './gateway_choice.js';
import {CurrentAttempt} from './gateway_current_attempt.js';
import {EventStream} from './gateway_event_stream.js';
import {ExchangeAdmission} from './gateway_exchange_admission.js';
import {ExchangeDispatch} from './gateway_exchange_dispatch.js';
import {ExchangeRetry} from './gateway_exchange_retry.js';
import {type RetryDecision} from './gateway_retries.js';
import {ExchangeServers} from './gateway_exchange_servers.js';
import {ExchangeLog} from './gateway_exchange_log.js';
import {
  type AdmittedRequest,
  type ExchangeDependencies,
} from './gateway_exchange_types.js';
import {lastEventIdOf, type ServerSignals} from './gateway_headers.js';
import {
  type AttemptOutcome,
  decideNext,
  type FinalStep,
  type RepeatStep,
} from './gateway_outcome.js';
import {guardHandler, guardHandlers} from './gateway_request_guard.js';
import {FinalAnswer} from './gateway_final_answer.js';
import {
  isServed,
  noteAnswered,
  noteExit,
  noteFailedAttempt,
} from './gateway_failed_attempt.js';
import {type ExchangeState, REQUEST_PHASE} from './gateway_open_requests.js';
import {ResponseRelay} from './gateway_response_relay.js';
import {type ServerState} from './gateway_server_state.js';

/**
 * Time after the deadline in which the server's own deadline response may still
 * arrive before the gateway responds itself, milliseconds.
 */
const DEADLINE_SLACK_MS = 40;

export class Exchange {
  readonly #req: AdmittedRequest;
  readonly #deps: ExchangeDependencies;
  readonly #caller: CallerChannel;
  readonly #onDone: () => void;
  readonly #log: ExchangeLog;
  readonly #servers: ExchangeServers;
  readonly #admission: ExchangeAdmission;
  readonly #dispatch: ExchangeDispatch;
  readonly #retry: ExchangeRetry;
  readonly #answer: FinalAnswer;
  readonly #events: EventStream | undefined;
  readonly #relay: ResponseRelay;
  readonly #current: CurrentAttempt;
  #timer: NodeJS.Timeout | undefined;
  #runs = 0;
  #attempts = 0;
  #isDone = false;

  /** Ends the request after an unexpected exception in one of its handlers. */
  readonly #onThrown = (err: unknown): void => {
    this.#log.noteThrown(err);
    if (this.#isDone) return;
    try {
      this.#abortAttempt();
      this.#giveUp('internal');
    } catch (another) {
      this.#log.noteThrown(another);
      this.#caller.cut();
      this.#finish('internal');
    }
  };

  /**
   * @param req the request
   * @param deps dependencies shared by all exchanges
   * @param caller the channel to the caller
   * @param onDone called once, after the final response or when the caller has
   *     disconnected
   */
  constructor(
    req: AdmittedRequest,
    deps: ExchangeDependencies,
    caller: CallerChannel,
    onDone: () => void,
  ) {
    this.#req = req;
    this.#deps = deps;
    this.#caller = caller;
    this.#onDone = onDone;
    this.#log = new ExchangeLog(req, deps, caller);
    this.#servers = new ExchangeServers(req, deps);
    this.#current = new CurrentAttempt(req, deps);
    this.#retry = new ExchangeRetry(deps.retries, req.pool.name);
    const {quarantine, overload} = deps;
    const servers = this.#servers;
    this.#answer = new FinalAnswer(req, {caller, quarantine, servers});
    if (req.rule.forwarding.streaming) {
      this.#events = new EventStream(req.origin && lastEventIdOf(req.facts));
    }
    this.#admission = new ExchangeAdmission(
      req,
      {
        overload,
        eligible: servers.eligible,
        errorWithoutServer: () => servers.errorWithoutServer(this.#now()),
      },
      guardHandlers(
        {
          onStart: () => {
            deps.retries.noteRequest(req.pool.name, this.#now());
            this.#startAttempt();
          },
          onRefused: (error, retryAfterMs) => {
            this.#caller.refuse(error, {retryAfterMs});
            this.#finish(error);
          },
          onNotStarted: error => {
            this.#giveUp(error);
          },
        },
        this.#onThrown,
      ),
    );
    this.#relay = this.#makeRelay();
    this.#dispatch = this.#makeDispatch();
  }

  #makeRelay(): ResponseRelay {
    return new ResponseRelay({
      caller: this.#caller,
      current: this.#current,
      events: this.#events,
      admission: this.#admission,
      servers: this.#servers,
      onBroken: reason => {
        this.#current.abort();
        this.#onFailed({kind: 'broken', reason, isLost: false});
      },
    });
  }

  #makeDispatch(): ExchangeDispatch {
    const own = {
      servers: this.#servers,
      admission: this.#admission,
      retry: this.#retry,
      refusal: (at: ClockReading) => {
        const isFirst = this.#runs === 0;
        const progress = {isFirst, hasBegun: this.#caller.headSent};
        return this.#deps.conditions.refusalOf(this.#req, progress, at);
      },
    };
    const deps = {...this.#deps, ...own};
    const listener = {
      onServer: (chosen: ServerChoice) => {
        this.#send(chosen);
      },
      onNoServer: (error: ErrorKind) => {
        this.#giveUp(error);
      },
    };
    return new ExchangeDispatch(deps, guardHandlers(listener, this.#onThrown));
  }

  /** Starts the first attempt, or queues the request for it. */
  start(): void {
    const now = this.#now();
    const left = this.#req.deadlineAt - now + DEADLINE_SLACK_MS;
    const guard = (handler: () => void): (() => void) =>
      guardHandler(handler, this.#onThrown);
    this.#timer = setTimeout(
      guard(() => {
        this.#onTimeout();
      }),
      Math.max(0, left),
    );
    this.#caller.onDisconnected(
      guard(() => {
        this.#onCallerDisconnected();
      }),
    );
    this.#caller.onDrained(() => {
      this.#current.resume();
    });
    guard(() => {
      this.#admission.submit(now);
    })();
  }

  /** @returns what the request waits for, and at which server */
  describe(): ExchangeState {
    const server = this.#servers.attempted.at(-1)?.name;
    if (this.#caller.headSent) {
      return {phase: REQUEST_PHASE.RESPONDING, server};
    }
    const {SENT, WAITING} = REQUEST_PHASE;
    return {phase: this.#current.isSent ? SENT : WAITING, server};
  }

  /** Aborts the request if it is quarantined for crashing servers. */
  abortQuarantined(): void {
    const {quarantine} = this.#deps;
    const leftMs = quarantine.quarantinedForMs(this.#req.subjects, this.#now());
    if (this.#isDone || leftMs === undefined) return;
    this.#abortAttempt();
    this.#giveUp('quarantined');
  }

  #abortAttempt(): void {
    if (this.#current.isSent) this.#runs += 1;
    this.#current.abort();
    this.#endAttempt();
  }

  #now(): number {
    return this.#deps.clock.now();
  }

  #startAttempt(): void {
    this.abortQuarantined();
    if (!this.#isDone) this.#dispatch.start(this.#caller.headSent);
  }

  /** Sends the request to a server that it has a permit for. */
  #send(chosen: ServerChoice): void {
    const {state} = chosen;
    this.#attempts += 1;
    const listener: AttemptListener = {
      maySend: () => this.#dispatch.beginSend(state),
      isEndComplete: () =>
        this.#deps.liveness.outlives(
          state,
          this.#current.signals?.isLeaving ?? false,
        ),
      onServerSignals: signals => {
        this.#onServerSignals(state, signals);
      },
      onHead: head => {
        this.#relay.passHead(head);
      },
      onData: chunk => this.#relay.passData(chunk, this.#now()),
      onEnd: () => {
        this.#onEnd();
      },
      onFailed: failure => {
        this.#onFailed(failure);
      },
    };
    const guarded = guardHandlers(listener, this.#onThrown);
    const lastId = this.#events?.lastId;
    this.#current.begin(chosen, guarded, lastId, this.#now());
  }

  #endAttempt(): ServerState | undefined {
    const state = this.#current.end();
    this.#dispatch.end();
    return state;
  }

  #onServerSignals(state: ServerState, signals: ServerSignals): void {
    const now = this.#now();
    this.#current.signals = signals;
    if (signals.load) {
      state.noteLoad(signals.load, now);
      this.#current.prefill?.noteSlowdown(signals.load.slowdownPercent, now);
    }
    const hasStopped = this.#deps.fleet.noteSignals(state, signals, now);
    if (!hasStopped) return;
    this.#log.noteServerStopped(state.server.name, signals);
    this.#deps.overload.noteServersChanged();
  }

  #onEnd(): void {
    if (this.#current.incomingFailure) {
      this.#answer.failure = this.#current.incomingFailure;
      this.#endAttempt()?.noteErrorResponse(this.#now());
      this.#runs += 1;
      this.#handleOutcome({kind: 'failedAnswer'}, 'server returned an error');
      return;
    }
    const {quarantine} = this.#deps;
    if (this.#events && !this.#events.isAtEventBoundary) {
      const reason = 'event stream ended within an event';
      this.#onFailed({kind: 'broken', reason, isLost: true});
      return;
    }
    noteAnswered(this.#req, this.#caller.status, quarantine, this.#now());
    this.#noteDuration(this.#now());
    this.#admission.noteEnd(this.#now());
    this.#current.prefill?.noteEnd(this.#now());
    const state = this.#endAttempt();
    if (this.#current.timing) this.#current.timing.noteResponse(this.#now());
    else state?.noteSuccess(this.#now());
    this.#caller.end();
    this.#finish('answered');
  }

  /** A second attempt doesn't show how long a whole response takes. */
  #noteDuration(now: number): void {
    const {lastSend} = this.#servers;
    if (!lastSend || this.#runs > 0 || !isServed(this.#caller.status)) return;
    const times = this.#relay.timesSince(lastSend.at, now);
    if (times) this.#deps.durations.noteAnswered(this.#req, times, now);
  }

  #onFailed(failure: AttemptFailure): void {
    const load = this.#current.signals?.load;
    const isForLoad = this.#admission.noteFailure(failure, load, this.#now());
    const {state} = this.#current;
    if (state) noteExit(state, failure, this.#now());
    this.#endAttempt();
    if (failure.kind === 'broken') this.#runs += 1;
    if (state && !isForLoad) {
      const {quarantine} = this.#deps;
      const {subjects} = this.#req;
      noteFailedAttempt(state, failure, {quarantine, subjects}, this.#now());
    }
    if (failure.kind === 'notRun') {
      this.#handleOutcome({kind: 'notRun'}, `server refused ${failure.status}`);
      return;
    }
    this.#events?.discardPartialEvent();
    const outcome = failure.kind === 'withheld' ? 'unsent' : failure.kind;
    this.#handleOutcome({kind: outcome}, failure.reason);
  }

  #handleOutcome(outcome: AttemptOutcome, reason: string): void {
    if (this.#isDone) return;
    const at = readClock(this.#deps.clock);
    const {rule, deadlineAt, subjects} = this.#req;
    const {quarantine} = this.#deps;
    const next = decideNext(outcome, {
      rule,
      runs: this.#runs,
      attempts: this.#attempts,
      headSent: this.#caller.headSent,
      hasFailure: this.#answer.failure !== undefined,
      lastEventId: this.#events?.lastId,
      timeLeftMs: deadlineAt - at.now,
      isSuspect: quarantine.isSuspect(subjects, at.now),
      needsCredit: this.#retry.needsCredit(at),
    });
    this.#log.noteFailedAttempt(outcome.kind, reason, {
      server: this.#servers.attempted.at(-1),
      wasAvoided: this.#current.wasAvoided,
      signals: this.#current.signals,
      runs: this.#runs,
      next,
    });
    if (next.kind === 'retry' || next.kind === 'resume') {
      this.#repeat(next, at);
    } else {
      this.#performLast(next);
    }
  }

  #repeat({needsCredit, otherwise}: RepeatStep, at: ClockReading): void {
    const start = (): void => {
      this.#deps.counters.noteSecondTry();
      this.#startAttempt();
    };
    if (!needsCredit) {
      start();
      return;
    }
    const onDecision = ({refusal}: RetryDecision): void => {
      if (refusal === undefined) {
        start();
      } else {
        this.#log.noteRetryRefused(refusal);
        this.#performLast(otherwise);
      }
    };
    this.#retry.acquire(at, guardHandler(onDecision, this.#onThrown));
  }

  #performLast(next: FinalStep): void {
    this.#finish(this.#answer.send(next, this.#now()));
  }

  /** @param errorIfNotRun the error to send when no attempt may have run */
  #giveUp(errorIfNotRun: ErrorKind): void {
    this.#finish(this.#answer.giveUp(this.#runs, errorIfNotRun, this.#now()));
  }

  #onTimeout(): void {
    const sent = this.#current.isSent;
    if (sent) this.#admission.noteEnd(this.#now());
    this.#current.abort();
    this.#endAttempt()?.noteAttemptFailure(this.#now());
    this.#handleOutcome({kind: 'timedOut', sent}, 'deadline exceeded');
  }

  #onCallerDisconnected(): void {
    if (this.#isDone) return;
    this.#current.abort();
    this.#endAttempt();
    this.#finish('callerGone');
  }

  #finish(outcome: string): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#timer);
    try {
      this.#retry.end();
      this.#admission.leave();
      const {waitMs} = this.#admission;
      const {attempted: servers, assumed, lastSend} = this.#servers;
      const end = {outcome, servers, assumed, lastSend, waitMs};
      this.#log.noteEnded(end, this.#now());
    } finally {
      this.#onDone();
    }
  }
}
