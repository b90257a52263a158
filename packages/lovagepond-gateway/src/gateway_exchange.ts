/**
 * One request from its arrival to its final answer.
 *
 * Joins the deciders: it asks for a server, runs attempts one after the other,
 * passes the answer on as it comes and gives the one final answer.
 */
import {type ErrorKind} from '@lovagepond/core';
import {
  type AnswerHead,
  Attempt,
  type AttemptFailure,
  type OutgoingRequest,
  STATUS_MISDIRECTED,
} from './gateway_attempt.js';
import {AnswerTiming} from './gateway_answer_timing.js';
import {type CallerChannel} from './gateway_caller_channel.js';
import {type ServerChoice} from './gateway_choice.js';
import {EventStream} from './gateway_event_stream.js';
import {
  type AdmittedRequest,
  type ExchangeParts,
} from './gateway_exchange_types.js';
import {headersForServer, readServerLoad} from './gateway_headers.js';
import {
  type AttemptOutcome,
  decideNext,
  type NextStep,
} from './gateway_outcome.js';
import {PromptAccount} from './gateway_prompt_account.js';
import {KeptFailure} from './gateway_kept_failure.js';
import {type ServerState} from './gateway_server_state.js';

/**
 * Time that a server's own answer at its deadline gets to arrive before this
 * router answers itself, milliseconds.
 */
const DEADLINE_SLACK_MS = 40;

const FIRST_ERROR_STATUS = 500;

const HIGHEST_PRIORITY = 9;

/** Runs one request. */
export class Exchange {
  readonly #req: AdmittedRequest;
  readonly #parts: ExchangeParts;
  readonly #caller: CallerChannel;
  readonly #onDone: () => void;
  readonly #events: EventStream | undefined;
  readonly #tried = new Set<string>();
  #attempt: Attempt | undefined;
  /** The prompt at the server of the attempt under way. */
  #account: PromptAccount | undefined;
  /** Of the attempt under way, at a plain service. */
  #timing: AnswerTiming | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** The failure answer that the attempt under way brings. */
  #arriving: KeptFailure | undefined;
  /** The last failure answer that came whole. */
  #failure: KeptFailure | undefined;
  #runs = 0;
  #offers = 0;
  #isDone = false;

  /**
   * @param req the request
   * @param parts what all exchanges share
   * @param caller where the answer goes
   * @param onDone called once, after the final answer or the caller's leaving
   */
  constructor(
    req: AdmittedRequest,
    parts: ExchangeParts,
    caller: CallerChannel,
    onDone: () => void,
  ) {
    this.#req = req;
    this.#parts = parts;
    this.#caller = caller;
    this.#onDone = onDone;
    if (req.rule.forwarding.streaming) this.#events = new EventStream();
  }

  /** Starts the first attempt. */
  start(): void {
    const now = this.#now();
    const left = this.#req.deadlineAt - now + DEADLINE_SLACK_MS;
    this.#timer = setTimeout(
      () => {
        this.#onTimeout();
      },
      Math.max(0, left),
    );
    this.#caller.onGone(() => {
      this.#onCallerGone();
    });
    this.#caller.onDrained(() => {
      this.#attempt?.resume();
    });
    this.#parts.budget.noteRequest(this.#req.pool.name, now);
    this.#offer();
  }

  /** Ends it, as servers crash while they run it. */
  takeBack(): void {
    if (this.#isDone) return;
    if (this.#attempt?.isSent) this.#runs += 1;
    this.#attempt?.abort();
    this.#endAttempt();
    this.#giveUp('quarantined');
  }

  #now(): number {
    return this.#parts.clock.now();
  }

  #offer(): void {
    const now = this.#now();
    const {pool, facts, rule} = this.#req;
    const {fleet, choice, names, connections, quarantine} = this.#parts;
    if (quarantine.quarantinedForMs(this.#req.fingerprint, now)) {
      this.takeBack();
      return;
    }
    const chosen = choice.choose(
      {
        pool,
        servers: fleet.ready(pool.name),
        holders: fleet.listed(pool.name),
        parts: facts.parts,
        sticky: rule.forwarding.sticky,
        targetLatencyMs: rule.forwarding.targetLatencyMs,
        repeatable: !rule.nonRepeatable,
        tried: this.#tried,
      },
      now,
    );
    if (!chosen) {
      this.#giveUp('noBackendServer');
      return;
    }
    const {state, fetch} = chosen;
    const {sticky, targetLatencyMs} = rule.forwarding;
    this.#timing = sticky
      ? undefined
      : new AnswerTiming(state, targetLatencyMs, now);
    this.#offers += 1;
    this.#tried.add(state.server.name);
    const parts = this.#parts;
    this.#account = new PromptAccount(state, facts.parts, fetch, parts, now);
    state.inFlight += 1;
    const attempt = new Attempt(state, names, facts.requestId, {
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
    attempt.start(this.#outgoing(chosen, now), connections);
  }

  #outgoing({state, fetch}: ServerChoice, now: number): OutgoingRequest {
    const {method, path, rawHeaders, body, workspace, priority} = this.#req;
    const lastId = this.#events?.lastId;
    const headers = headersForServer(rawHeaders, this.#parts.names, {
      deadlineMs: this.#req.deadlineAt - now,
      workspace,
      instance: state.server.incarnation,
      enginePriority: this.#req.rule.forwarding.sticky
        ? HIGHEST_PRIORITY - priority
        : undefined,
      contextSource: fetch?.source?.server.address,
      lastEventId: lastId === undefined ? undefined : String(lastId),
    });
    return {method, path, headers, body};
  }

  #endAttempt(): ServerState | undefined {
    const state = this.#attempt?.state;
    this.#attempt = undefined;
    this.#arriving = undefined;
    if (!state) return undefined;
    this.#account?.close();
    state.inFlight -= 1;
    return state;
  }

  #onHead(head: AnswerHead): void {
    const state = this.#attempt?.state;
    if (!state) return;
    const load = readServerLoad(head.headers, this.#parts.names);
    if (load) state.noteLoad(load, this.#now());
    if (head.status >= FIRST_ERROR_STATUS) {
      this.#arriving = new KeptFailure(head);
      return;
    }
    if (!this.#caller.headSent) this.#caller.sendHead(head);
  }

  #onData(chunk: Buffer): boolean {
    const attempt = this.#attempt;
    if (!attempt) return true;
    this.#account?.noteFirstToken(this.#now());
    if (this.#arriving) {
      this.#keepChunk(this.#arriving, chunk);
      return true;
    }
    if (!this.#events) return this.#caller.write(chunk);
    const piece = this.#events.take(chunk);
    if (piece.kind === 'broken') {
      attempt.abort();
      this.#onFailed({kind: 'broken', reason: piece.reason, isLost: false});
      return true;
    }
    return piece.bytes.length === 0 || this.#caller.write(piece.bytes);
  }

  #keepChunk(failure: KeptFailure, chunk: Buffer): void {
    if (failure.add(chunk)) return;
    this.#attempt?.abort();
    const reason = 'failure answer too large';
    this.#onFailed({kind: 'broken', reason, isLost: false});
  }

  #onEnd(): void {
    if (this.#arriving) {
      this.#failure = this.#arriving;
      this.#noteAnswered();
      this.#endAttempt()?.noteErrorAnswer(this.#now());
      this.#runs += 1;
      this.#follow({kind: 'failedAnswer'}, 'failure answer');
      return;
    }
    if (this.#events && !this.#events.isWhole) {
      const reason = 'half an event at the end';
      this.#onFailed({kind: 'broken', reason, isLost: true});
      return;
    }
    this.#noteAnswered();
    const state = this.#endAttempt();
    if (this.#timing) this.#timing.noteAnswer(this.#now());
    else state?.noteSuccess(this.#now());
    this.#caller.end();
    this.#finish('answered');
  }

  /** Without a length its end may be the server's. */
  #noteAnswered(): void {
    if (this.#attempt?.endsWithConnection) return;
    const {quarantine} = this.#parts;
    quarantine.noteAnswered(this.#req.fingerprint, this.#now());
  }

  #onFailed(failure: AttemptFailure): void {
    const state = this.#endAttempt();
    if (failure.kind === 'broken') this.#runs += 1;
    this.#noteFailure(state, failure);
    if (failure.kind === 'notRun') {
      this.#follow({kind: 'notRun'}, `server refused ${failure.status}`);
      return;
    }
    this.#events?.beginRun();
    this.#follow({kind: failure.kind}, failure.reason);
  }

  #noteFailure(state: ServerState | undefined, failure: AttemptFailure): void {
    if (!state) return;
    const now = this.#now();
    const {kind} = failure;
    if (kind !== 'notRun') state.noteBroken(now);
    // With the right name in the request: another server lives there.
    else if (failure.status === STATUS_MISDIRECTED) state.markGone();
    const {quarantine} = this.#parts;
    quarantine.noteFailure(state, this.#req.fingerprint, failure, now);
  }

  #follow(outcome: AttemptOutcome, reason: string): void {
    if (this.#isDone) return;
    const now = this.#now();
    const {pool, rule, deadlineAt, fingerprint} = this.#req;
    const {quarantine, budget} = this.#parts;
    const next = decideNext(outcome, {
      rule,
      runs: this.#runs,
      offers: this.#offers,
      headSent: this.#caller.headSent,
      hasFailure: this.#failure !== undefined,
      lastEventId: this.#events?.lastId,
      timeLeftMs: deadlineAt - now,
      isSuspect: quarantine.isSuspect(fingerprint, now),
      trySpend: () => budget.trySpend(pool.name, now),
    });
    this.#noteStep(outcome.kind, reason, next);
    this.#take(next);
  }

  #take(next: NextStep): void {
    if (next.kind === 'retry' || next.kind === 'resume') {
      this.#offer();
    } else if (next.kind === 'passFailure') {
      this.#passFailure();
    } else if (next.kind === 'cut') {
      this.#caller.cut();
      this.#finish('cut');
    } else {
      this.#refuse(next.error);
    }
  }

  #passFailure(): void {
    const failure = this.#failure;
    if (!failure) return;
    failure.sendTo(this.#caller);
    this.#finish('failed');
  }

  /** @param unrun why it didn't run, if it didn't */
  #giveUp(unrun: ErrorKind): void {
    if (this.#caller.headSent) {
      this.#caller.cut();
      this.#finish('cut');
    } else if (this.#failure) {
      this.#passFailure();
    } else {
      this.#refuse(this.#runs > 0 ? 'backendFailed' : unrun);
    }
  }

  #refuse(error: ErrorKind): void {
    const {quarantine} = this.#parts;
    const {fingerprint} = this.#req;
    const comeBackMs = quarantine.quarantinedForMs(fingerprint, this.#now());
    this.#caller.refuse(error, comeBackMs);
    this.#finish(error);
  }

  #onTimeout(): void {
    const sent = this.#attempt?.isSent ?? false;
    this.#attempt?.abort();
    this.#endAttempt()?.noteBroken(this.#now());
    this.#follow({kind: 'timedOut', sent}, 'no time left');
  }

  #onCallerGone(): void {
    if (this.#isDone) return;
    this.#attempt?.abort();
    this.#endAttempt();
    this.#finish('callerGone');
  }

  #finish(outcome: string): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#timer);
    this.#parts.counters.noteEnded(outcome);
    const {facts, rule, pool, arrivedAt} = this.#req;
    this.#parts.log.info('request ended', {
      request: facts.requestId,
      rule: rule.name,
      pool: pool.name,
      servers: [...this.#tried].join(' '),
      outcome,
      status: this.#caller.status,
      durationMs: Math.round(this.#now() - arrivedAt),
    });
    this.#onDone();
  }

  #noteStep(outcome: string, reason: string, next: NextStep): void {
    const isFollowed = next.kind === 'retry' || next.kind === 'resume';
    this.#parts.counters.noteFailedAttempt(outcome, isFollowed);
    this.#parts.log.warn('attempt failed', {
      request: this.#req.facts.requestId,
      fingerprint: this.#req.fingerprint,
      server: [...this.#tried].at(-1),
      outcome,
      reason,
      runs: this.#runs,
      next: next.kind,
    });
  }
}
