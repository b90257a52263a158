/**
 * One request's part in the admission control of its pool: its place in the
 * queue, and what its attempts report. Without admission control of the pool,
 * the request starts at once and nothing is reported.
 */
import {type ErrorKind} from '@lovagepond/core';
import {ADMISSION_REFUSAL, type AdmissionRefusal} from '@lovagepond/load';
import {type AttemptFailure, STATUS_MISDIRECTED} from './gateway_attempt.js';
import {type EligibleServers} from './gateway_eligible_servers.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {type ServerLoad} from './gateway_headers.js';
import {type GatewayOverload} from './gateway_overload.js';
import {type OverloadRequest} from './gateway_overload_types.js';
import {isFull, type PoolOverload} from './gateway_pool_overload.js';
import {RequestDemand} from './gateway_request_demand.js';
import {type ServerState} from './gateway_server_state.js';

/** Receives the decision on a request; exactly one method is called, once. */
export interface AdmissionListener {
  onStart(): void;
  /**
   * @param error the error kind to send
   * @param retryAfterMs when the caller should retry, milliseconds
   */
  onRefused(error: ErrorKind, retryAfterMs: number): void;
  /** @param error no server of the pool is left, or the gateway drains */
  onNotStarted(error: ErrorKind): void;
}

interface ExchangeAdmissionDependencies {
  readonly overload: GatewayOverload;
  readonly eligible: EligibleServers;
  /** @returns the error when no server is left */
  readonly errorWithoutServer: () => ErrorKind;
}

export class ExchangeAdmission implements OverloadRequest {
  readonly id: string;
  readonly requestId: string;
  readonly workspace: string;
  readonly priority: number;
  readonly kind: string;
  readonly targetLatencyMs: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly demand: RequestDemand;
  submittedAt = 0;
  readonly #req: AdmittedRequest;
  readonly #deps: ExchangeAdmissionDependencies;
  readonly #listener: AdmissionListener;
  /** Set while the pool has admission control for this request. */
  readonly #pool: PoolOverload | undefined;
  #isWaiting = false;
  #waitMs: number | undefined;
  #hasAttempt = false;
  /** The attempt's first token or complete answer was reported. */
  #hasResponse = false;

  /**
   * @param req the request
   * @param deps the gateway's admission control and the request's servers
   * @param listener receives the decision
   */
  constructor(
    req: AdmittedRequest,
    deps: ExchangeAdmissionDependencies,
    listener: AdmissionListener,
  ) {
    // The caller's request id may occur twice, so it can't identify requests.
    this.id = deps.overload.takeId();
    const {rule, pool, facts} = req;
    this.requestId = facts.requestId;
    this.workspace = req.workspace ?? '';
    this.priority = req.priority;
    this.kind = rule.kind;
    this.targetLatencyMs = rule.forwarding.targetLatencyMs;
    this.arrivedAt = req.arrivedAt;
    this.deadlineAt = req.deadlineAt;
    this.#req = req;
    const {eligible} = deps;
    this.demand = new RequestDemand(req, () => eligible.holders());
    this.#deps = deps;
    this.#listener = listener;
    this.#pool = deps.overload.find(pool.name);
  }

  get bytes(): number {
    return sizeOf(this.#req);
  }

  /** Time that the request waited in the queue, ms; undefined if it did not. */
  get waitMs(): number | undefined {
    return this.#waitMs;
  }

  /**
   * Asks for the decision, which may come during the call or later.
   *
   * @param now current time, monotonic milliseconds
   */
  submit(now: number): void {
    const {overload} = this.#deps;
    this.submittedAt = now;
    // Without any server the exchange knows how to answer.
    if (!this.#pool || this.servers(now).length === 0) {
      this.#listener.onStart();
      return;
    }
    const decision = this.#pool.submit(this, now);
    this.#isWaiting = decision.kind === 'wait';
    if (decision.kind === 'start') this.#listener.onStart();
    else if (decision.kind === 'refuse') this.refuse(decision);
    else if (overload.isDraining) this.#pool.refuse(this);
    overload.pumpSoon(this.#pool);
  }

  /**
   * @param states servers that the next attempt may use
   * @param now current time, monotonic milliseconds
   * @returns those with room for it; all if none has, as the request has left
   *     the queue
   */
  open(states: readonly ServerState[], now: number): readonly ServerState[] {
    if (!this.#pool || states.length === 0) return states;
    return this.#pool.open(this, preferHealthy(states, now), now);
  }

  /**
   * Must be called before the request is added to the server's load.
   *
   * @param state the server of an attempt
   * @param now current time, monotonic milliseconds
   */
  noteSent(state: ServerState, now: number): void {
    this.#hasAttempt = true;
    this.#hasResponse = false;
    this.#pool?.noteSent(this, state, now);
  }

  /**
   * Records that a byte of the response has arrived; only the first one of an
   * engine's stream counts.
   *
   * @param now current time, monotonic milliseconds
   */
  noteFirstToken(now: number): void {
    if (this.demand.isStream) this.#noteResponse(now);
  }

  /**
   * Records the end of a complete answer, or that none came before the deadline:
   * the time so far is a lower bound of the time to the response.
   *
   * @param now current time, monotonic milliseconds
   */
  noteEnd(now: number): void {
    this.#noteResponse(now);
  }

  #noteResponse(now: number): void {
    if (!this.#hasAttempt || this.#hasResponse) return;
    this.#hasResponse = true;
    if (!this.#pool) return;
    this.#pool.noteResponse(this.id, now);
    this.#deps.overload.pumpSoon(this.#pool);
  }

  /**
   * Must be called before {@link noteEnded} of the failed attempt.
   *
   * @param failure why the attempt failed
   * @param load the load that the response reports
   * @param now current time, monotonic milliseconds
   * @returns true if the server refused as it had no free slot: the window
   *     limits such a server, so this does not count as a failure
   */
  noteFailure(
    failure: AttemptFailure,
    load: ServerLoad | undefined,
    now: number,
  ): boolean {
    if (!this.#pool || failure.kind !== 'notRun') return false;
    if (failure.status === STATUS_MISDIRECTED) return false;
    this.#pool.noteRefused(this.id, load, now);
    return isFull(load);
  }

  /**
   * Records the end of an attempt, whatever came of it.
   *
   * @param now current time, monotonic milliseconds
   */
  noteEnded(now: number): void {
    if (!this.#hasAttempt || !this.#pool) return;
    this.#hasAttempt = false;
    this.#pool.noteEnded(this.id, now);
    this.#deps.overload.pumpSoon(this.#pool);
  }

  /** Removes the request from the queue, if it is there. */
  leave(): void {
    if (!this.#isWaiting) return;
    this.#isWaiting = false;
    this.#pool?.remove(this.id);
  }

  servers(now: number): readonly ServerState[] {
    return preferHealthy(this.#deps.eligible.list(now).servers, now);
  }

  hasServer(now: number): boolean {
    return this.#deps.eligible.hasServer(now);
  }

  start(now: number): void {
    this.#isWaiting = false;
    this.#waitMs = now - this.submittedAt;
    this.#listener.onStart();
  }

  refuse({reason, retryAfterMs}: AdmissionRefusal): void {
    this.#isWaiting = false;
    if (reason === ADMISSION_REFUSAL.NO_SERVER) {
      this.#listener.onNotStarted(this.#deps.errorWithoutServer());
      return;
    }
    this.#listener.onRefused(
      reason === ADMISSION_REFUSAL.DEADLINE
        ? 'deadlineUnreachable'
        : 'overloaded',
      retryAfterMs,
    );
  }

  refuseWithoutServer(): void {
    this.#isWaiting = false;
    this.#listener.onNotStarted(this.#deps.errorWithoutServer());
  }

  refuseWhileDraining(): void {
    this.#isWaiting = false;
    this.#listener.onNotStarted('notReady');
  }
}

/** If every server has failed, the cause may be on the gateway's side. */
function preferHealthy(
  states: readonly ServerState[],
  now: number,
): readonly ServerState[] {
  const healthy = states.filter(state => !state.isAvoided(now));
  return healthy.length > 0 ? healthy : states;
}

/** Size of the buffered request, bytes. */
function sizeOf({body, rawHeaders, path}: AdmittedRequest): number {
  const headerBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return body.length + headerBytes + path.length;
}
