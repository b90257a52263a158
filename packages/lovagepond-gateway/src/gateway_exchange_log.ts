/**
 * Log lines and counters of one request.
 */
import {type BackendServer, type Logger} from '@lovagepond/core';
import {type CallerChannel} from './gateway_caller_channel.js';
import {type AssumedLoad} from './gateway_choice.js';
import {type GatewayCounters} from './gateway_counters.js';
import {type LastSend} from './gateway_exchange_servers.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {
  type PromptPart,
  type ServerSignals,
  type StreamResumption,
} from './gateway_headers.js';
import {type NextStep} from './gateway_outcome.js';
import {type GatewayRetries, type RetryRefusal} from './gateway_retries.js';

interface ExchangeLogDependencies {
  readonly log: Logger;
  readonly counters: GatewayCounters;
  readonly retries: Pick<GatewayRetries, 'leftIn'>;
}

/** What has gone to the caller. */
type SentToCaller = Pick<CallerChannel, 'headSent' | 'status'>;

/** An attempt without a successful response. */
interface FailedAttempt {
  readonly server: BackendServer | undefined;
  /** The server was chosen although it had failed lately. */
  readonly wasAvoided: boolean;
  /** What the response said about its server; absent without a response. */
  readonly signals: ServerSignals | undefined;
  /** The request's attempts that ran or may have run. */
  readonly runs: number;
  readonly next: NextStep;
}

/** The end of a request. */
interface EndedRequest {
  readonly outcome: string;
  /** The servers of all attempts. */
  readonly servers: readonly BackendServer[];
  /** What was assumed of the last of them; undefined if there was none. */
  readonly assumed: AssumedLoad | undefined;
  readonly lastSend: LastSend | undefined;
  /** Time in the gateway's queue, ms; undefined if it did not wait. */
  readonly waitMs: number | undefined;
}

export class ExchangeLog {
  readonly #req: AdmittedRequest;
  readonly #deps: ExchangeLogDependencies;
  readonly #caller: SentToCaller;

  constructor(
    req: AdmittedRequest,
    deps: ExchangeLogDependencies,
    caller: SentToCaller,
  ) {
    this.#req = req;
    this.#deps = deps;
    this.#caller = caller;
  }

  /**
   * @param outcome how the attempt ended
   * @param reason the cause in words
   * @param attempt the attempt
   */
  noteFailedAttempt(
    outcome: string,
    reason: string,
    {server, wasAvoided, signals, runs, next}: FailedAttempt,
  ): void {
    this.#deps.counters.noteFailedAttempt(outcome);
    this.#deps.log.warn('attempt failed', {
      request: this.#req.facts.requestId,
      fingerprint: this.#req.fingerprint,
      parts: describeParts(this.#req.facts.parts),
      server: server?.name,
      version: server?.labels['version'],
      outcome,
      reason,
      runs,
      begun: this.#caller.headSent,
      next: next.kind,
      pauseMs: signals?.pauseMs,
      leaving: signals?.isLeaving,
      avoided: wasAvoided,
    });
  }

  /** @param err what one of the request's handlers has thrown */
  noteThrown(err: unknown): void {
    noteThrown(this.#deps, err, this.#req.facts.requestId);
  }

  /** @param refusal why the request may not be sent once more */
  noteRetryRefused(refusal: RetryRefusal): void {
    this.#deps.log.warn('retry refused', {
      request: this.#req.facts.requestId,
      pool: this.#req.pool.name,
      reason: refusal,
      left: this.#deps.retries.leftIn(this.#req.pool.name),
    });
  }

  /**
   * @param server name of a server that has stopped accepting requests
   * @param signals what its response said
   */
  noteServerStopped(server: string, signals: ServerSignals): void {
    this.#deps.log.info('server stopped accepting requests', {
      request: this.#req.facts.requestId,
      server,
      pauseMs: signals.pauseMs,
      leaving: signals.isLeaving,
    });
  }

  /**
   * @param end how the request ended
   * @param now current time, monotonic milliseconds
   */
  noteEnded(
    {outcome, servers, assumed, lastSend, waitMs}: EndedRequest,
    now: number,
  ): void {
    const {facts, rule, pool, arrivedAt} = this.#req;
    const {resumption} = facts;
    this.#deps.counters.noteEnded(outcome);
    this.#deps.log.info('request ended', {
      request: facts.requestId,
      rule: rule.name,
      pool: pool.name,
      servers: servers.map(({name}) => name).join(' '),
      versions: servers.map(({labels}) => labels['version'] ?? '').join(' '),
      ...(resumption && describeResumption(resumption)),
      outcome,
      status: this.#caller.status,
      durationMs: Math.round(now - arrivedAt),
      ...(assumed && describeAssumed(assumed)),
      ...(lastSend && describeSend(lastSend, arrivedAt)),
      ...(waitMs !== undefined && {waitMs: Math.round(waitMs)}),
    });
  }
}

/**
 * @param deps the log and the counters
 * @param err what a handler of a request has thrown
 * @param requestId the request, if its headers were read
 */
export function noteThrown(
  {log, counters}: Pick<ExchangeLogDependencies, 'log' | 'counters'>,
  err: unknown,
  requestId = '',
): void {
  counters.noteThrown();
  log.error('request ended by an exception', {
    request: requestId,
    reason: err instanceof Error ? (err.stack ?? err.message) : String(err),
  });
}

/** Parts of a prompt in one log line. */
const MAX_LOGGED_PARTS = 16;

/** @returns the ids of the parts that other prompts may share */
function describeParts(parts: readonly PromptPart[]): string {
  const shared = parts.slice(0, -1).slice(-MAX_LOGGED_PARTS);
  return shared.map(({id}) => id).join(' ');
}

function describeSend(
  {at, afterChoiceMs, isWarmingUp}: LastSend,
  arrivedAt: number,
): Record<string, number | boolean> {
  return {
    sentMs: Math.round(at - arrivedAt),
    choiceToSendMs: Math.round(afterChoiceMs),
    ...(isWarmingUp && {warmingUp: true}),
  };
}

function describeAssumed({
  load,
  limit,
  servers,
  ageMs,
}: AssumedLoad): Record<string, number> {
  return {
    assumedLoad: Math.round(load * 10) / 10,
    ...(Number.isFinite(limit) && {loadLimit: Math.round(limit * 10) / 10}),
    meanOf: servers,
    ...(ageMs !== undefined && {loadAgeMs: Math.round(ageMs)}),
  };
}

/** A caller's ids may be as long as its headers. */
const MAX_LOGGED_ID = 64;

/**
 * @param resumption what the caller says about the stream
 * @returns log fields that name it
 */
export function describeResumption({
  firstRequestId,
  lastEventId,
}: StreamResumption): Record<string, string> {
  return {
    resumes: firstRequestId.slice(0, MAX_LOGGED_ID),
    lastEventId: lastEventId.slice(0, MAX_LOGGED_ID),
  };
}
