/**
 * Handles one admitted request until its final response.
 *
 * Selects servers, runs attempts one after the other, streams the response to
 * the caller, and sends exactly one final response.
 */
import {type ErrorKind} from '@lovagepond/core';
import {
  type ResponseHead,
  Attempt,
  type AttemptFailure,
} from './gateway_attempt.js';
import {type ClockReading, readClock} from './gateway_authority.js';
import {ResponseTiming} from './gateway_response_timing.js';
import {type CallerChannel} from './gateway_caller_channel.js';
import {type ServerChoice} from './gateway_choice.js';
import {EventStream} from './gateway_event_stream.js';
import {ExchangeAdmission} from './gateway_exchange_admission.js';
import {ExchangeDispatch} from './gateway_exchange_dispatch.js';
import {ExchangeRetry} from './gateway_exchange_retry.js';
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
import {toOutgoing} from './gateway_outgoing_request.js';
import {type PrefillTracker, trackPrefill} from './gateway_prefill_tracker.js';
import {BufferedFailure} from './gateway_buffered_failure.js';
import {FinalAnswer} from './gateway_final_answer.js';
import {
  noteAnswered,
  noteExit,
  noteFailedAttempt,
} from './gateway_failed_attempt.js';
import {type ServerState} from './gateway_server_state.js';

/**
 * Time after the deadline in which the server's own deadline response may still
 * arrive before the gateway responds itself, milliseconds.
 */
const DEADLINE_SLACK_MS = 40;

const FIRST_ERROR_STATUS = 500;

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
  #attempt: Attempt | undefined;
  #prefill: PrefillTracker | undefined;
  /** The current attempt's response timing; unset at engines. */
  #timing: ResponseTiming | undefined;
  /** What the current attempt's response says about its server. */
  #signals: ServerSignals | undefined;
  /** The current attempt's server was chosen although it had failed lately. */
  #wasAvoided = false;
  #timer: NodeJS.Timeout | undefined;
  /** The error response that the current attempt is receiving. */
  #incomingFailure: BufferedFailure | undefined;
  #runs = 0;
  #attempts = 0;
  #isDone = false;

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
    this.#retry = new ExchangeRetry(deps.retries, req.pool.name);
    const {quarantine, overload} = deps;
    const servers = this.#servers;
    this.#answer = new FinalAnswer(req, {caller, quarantine, servers});
    if (req.rule.forwarding.streaming) {
      this.#events = new EventStream(req.origin && lastEventIdOf(req.facts));
    }
    const {eligible} = this.#servers;
    this.#admission = new ExchangeAdmission(
      req,
      {
        overload,
        eligible,
        errorWithoutServer: () => this.#servers.errorWithoutServer(this.#now()),
      },
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
    );
    this.#dispatch = this.#makeDispatch();
  }

  #makeDispatch(): ExchangeDispatch {
    const deps = {
      ...this.#deps,
      servers: this.#servers,
      admission: this.#admission,
      retry: this.#retry,
    };
    return new ExchangeDispatch(deps, {
      onServer: chosen => {
        this.#send(chosen);
      },
      onNoServer: error => {
        this.#giveUp(error);
      },
    });
  }

  /** Starts the first attempt, or queues the request for it. */
  start(): void {
    const now = this.#now();
    const left = this.#req.deadlineAt - now + DEADLINE_SLACK_MS;
    this.#timer = setTimeout(
      () => {
        this.#onTimeout();
      },
      Math.max(0, left),
    );
    this.#caller.onDisconnected(() => {
      this.#onCallerDisconnected();
    });
    this.#caller.onDrained(() => {
      this.#attempt?.resume();
    });
    this.#admission.submit(now);
  }

  /** Aborts the request if it is quarantined for crashing servers. */
  abortQuarantined(): void {
    const {quarantine} = this.#deps;
    const leftMs = quarantine.quarantinedForMs(this.#req.subjects, this.#now());
    if (this.#isDone || leftMs === undefined) return;
    if (this.#attempt?.isSent) this.#runs += 1;
    this.#attempt?.abort();
    this.#endAttempt();
    this.#giveUp('quarantined');
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
    const now = this.#now();
    const {facts, rule} = this.#req;
    const {names, connections} = this.#deps;
    const {state} = chosen;
    const {sticky, targetLatencyMs} = rule.forwarding;
    this.#timing = sticky
      ? undefined
      : new ResponseTiming(state, targetLatencyMs, now, rule.kind);
    this.#signals = undefined;
    this.#wasAvoided = state.isAvoided(now);
    this.#attempts += 1;
    this.#prefill = trackPrefill(this.#req, chosen, this.#deps, now);
    state.inFlight += 1;
    const attempt = new Attempt(state, names, facts.requestId, {
      maySend: () => this.#dispatch.beginSend(state),
      isEndComplete: () =>
        this.#deps.liveness.outlives(state, this.#signals?.isLeaving ?? false),
      onServerSignals: signals => {
        this.#onServerSignals(state, signals);
      },
      onHead: head => {
        this.#onHead(head);
      },
      onData: chunk => this.#onData(chunk),
      onEnd: () => {
        this.#onEnd();
      },
      onFailed: failure => {
        this.#onFailed(failure);
      },
    });
    this.#attempt = attempt;
    const outgoing = {names, lastId: this.#events?.lastId, now};
    attempt.start(toOutgoing(this.#req, chosen, outgoing), connections);
  }

  #endAttempt(): ServerState | undefined {
    const state = this.#attempt?.state;
    this.#attempt = undefined;
    this.#incomingFailure = undefined;
    if (state) {
      this.#prefill?.close();
      state.inFlight -= 1;
    }
    this.#dispatch.end();
    return state;
  }

  #onServerSignals(state: ServerState, signals: ServerSignals): void {
    const now = this.#now();
    this.#signals = signals;
    if (signals.load) {
      state.noteLoad(signals.load, now);
      this.#prefill?.noteSlowdown(signals.load.slowdownPercent, now);
    }
    const hasStopped = this.#deps.fleet.noteSignals(state, signals, now);
    if (!hasStopped) return;
    this.#log.noteServerStopped(state.server.name, signals);
    this.#deps.overload.noteServersChanged();
  }

  #onHead(head: ResponseHead): void {
    const state = this.#attempt?.state;
    if (!state) return;
    if (head.status >= FIRST_ERROR_STATUS) {
      this.#incomingFailure = new BufferedFailure(head);
      return;
    }
    if (!this.#caller.headSent) this.#caller.sendHead(head);
  }

  #onData(chunk: Buffer): boolean {
    const attempt = this.#attempt;
    if (!attempt) return true;
    this.#prefill?.noteFirstToken(this.#now(), !this.#incomingFailure);
    if (this.#incomingFailure) {
      this.#bufferChunk(this.#incomingFailure, chunk);
      return true;
    }
    this.#admission.noteFirstToken(this.#now());
    if (!this.#events) return this.#caller.write(chunk);
    const parsed = this.#events.take(chunk);
    if (parsed.kind === 'broken') {
      attempt.abort();
      this.#onFailed({kind: 'broken', reason: parsed.reason, isLost: false});
      return true;
    }
    if (parsed.bytes.length === 0) return true;
    this.#servers.bindStream(this.#now());
    return this.#caller.write(parsed.bytes);
  }

  #bufferChunk(failure: BufferedFailure, chunk: Buffer): void {
    if (failure.add(chunk)) return;
    this.#attempt?.abort();
    const reason = 'error response is too large to buffer';
    this.#onFailed({kind: 'broken', reason, isLost: false});
  }

  #onEnd(): void {
    if (this.#incomingFailure) {
      this.#answer.failure = this.#incomingFailure;
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
    this.#admission.noteEnd(this.#now());
    this.#prefill?.noteEnd(this.#now());
    const state = this.#endAttempt();
    if (this.#timing) this.#timing.noteResponse(this.#now());
    else state?.noteSuccess(this.#now());
    this.#caller.end();
    this.#finish('answered');
  }

  #onFailed(failure: AttemptFailure): void {
    const load = this.#signals?.load;
    const isForLoad = this.#admission.noteFailure(failure, load, this.#now());
    if (this.#attempt) noteExit(this.#attempt.state, failure, this.#now());
    const state = this.#endAttempt();
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
      wasAvoided: this.#wasAvoided,
      signals: this.#signals,
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
    this.#retry.acquire(at, ({refusal}) => {
      if (refusal === undefined) {
        start();
        return;
      }
      this.#log.noteRetryRefused(refusal);
      this.#performLast(otherwise);
    });
  }

  #performLast(next: FinalStep): void {
    this.#finish(this.#answer.send(next, this.#now()));
  }

  /** @param errorIfNotRun the error to send when no attempt may have run */
  #giveUp(errorIfNotRun: ErrorKind): void {
    this.#finish(this.#answer.giveUp(this.#runs, errorIfNotRun, this.#now()));
  }

  #onTimeout(): void {
    const sent = this.#attempt?.isSent ?? false;
    if (sent) this.#admission.noteEnd(this.#now());
    this.#attempt?.abort();
    this.#endAttempt()?.noteAttemptFailure(this.#now());
    this.#handleOutcome({kind: 'timedOut', sent}, 'deadline exceeded');
  }

  #onCallerDisconnected(): void {
    if (this.#isDone) return;
    this.#attempt?.abort();
    this.#endAttempt();
    this.#finish('callerGone');
  }

  #finish(outcome: string): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#retry.end();
    clearTimeout(this.#timer);
    this.#admission.leave();
    const {waitMs} = this.#admission;
    const {attempted: servers, assumed, lastSend} = this.#servers;
    const end = {outcome, servers, assumed, lastSend, waitMs};
    this.#log.noteEnded(end, this.#now());
    this.#onDone();
  }
}
