/**
 * Finds a server for one attempt and gets its permit, so that all gateways
 * together keep the server within its load limit.
 */
import {type ErrorKind} from '@lovagepond/core';
import {type ClockReading, elapsedMs, readClock} from './gateway_authority.js';
import {type ServerChoice} from './gateway_choice.js';
import {type ExchangeAdmission} from './gateway_exchange_admission.js';
import {type ExchangeRetry} from './gateway_exchange_retry.js';
import {type ExchangeServers} from './gateway_exchange_servers.js';
import {FullServersWait} from './gateway_full_servers_wait.js';
import {
  SEND_DECISION,
  type SendDecision,
  SendPermit,
  type SendPermitDependencies,
} from './gateway_send_permit.js';
import {type ServerState} from './gateway_server_state.js';

export interface ExchangeDispatchDependencies extends SendPermitDependencies {
  readonly servers: ExchangeServers;
  readonly admission: ExchangeAdmission;
  readonly retry: ExchangeRetry;
  /**
   * @param at current time
   * @returns the error that ends the request if it must not be sent any more
   */
  refusal(at: ClockReading): ErrorKind | undefined;
}

/**
 * Time for which the decisions on an attempt hold, milliseconds. A request that is
 * sent later, as its connection took long or the machine stood still, would carry
 * a deadline that is too late, and rest on old loads.
 */
const DECISION_VALID_MS = 500;

/** Receives the result of a search; one method is called, once. */
export interface DispatchListener {
  /** @param chosen a server that the request must be sent to now */
  onServer(chosen: ServerChoice): void;
  /** @param error the error if no attempt has run */
  onNoServer(error: ErrorKind): void;
}

export class ExchangeDispatch {
  readonly #deps: ExchangeDispatchDependencies;
  readonly #listener: DispatchListener;
  readonly #permit: SendPermit;
  readonly #wait = new FullServersWait();
  #timer: NodeJS.Timeout | undefined;
  #hasBegun = false;
  #decidedAt: ClockReading = {now: 0, wallTime: 0};

  constructor(deps: ExchangeDispatchDependencies, listener: DispatchListener) {
    this.#deps = deps;
    this.#listener = listener;
    this.#permit = new SendPermit(deps);
  }

  /**
   * Looks for a server of the next attempt.
   *
   * @param hasBegun whether the caller has a part of the answer
   */
  start(hasBegun: boolean): void {
    this.#hasBegun = hasBegun;
    this.#choose();
  }

  /**
   * Must be called right before the request is written to a connection. What was
   * decided before may no longer hold after the waits for a permit and for the
   * connection.
   *
   * @param state the server
   * @returns false if the request must not be sent there any more
   */
  beginSend(state: ServerState): boolean {
    const {clock, servers, retry} = this.#deps;
    const at = readClock(clock);
    if (this.#deps.refusal(at) !== undefined) return false;
    const ageMs = elapsedMs(this.#decidedAt, at);
    if (ageMs > DECISION_VALID_MS) return false;
    if (!retry.maySend(at)) return false;
    const isAllowed =
      this.#permit.takeFor(state, at) && servers.beginSend(state, at.now);
    if (isAllowed) retry.noteSent();
    return isAllowed;
  }

  /** Ends the attempt or the search for its server. */
  end(): void {
    clearTimeout(this.#timer);
    const {isReserved} = this.#permit;
    const now = this.#deps.clock.now();
    this.#permit.release(now);
    if (isReserved) this.#deps.admission.noteEnded(now);
  }

  #choose(): void {
    const at = readClock(this.#deps.clock);
    const refusal = this.#deps.refusal(at);
    if (refusal !== undefined) {
      this.#listener.onNoServer(refusal);
      return;
    }
    const {now} = at;
    const {servers, admission} = this.#deps;
    const chosen = servers.choose(states => admission.open(states, now), now);
    if (!chosen) {
      this.#onNone(now);
      return;
    }
    const {state, assumed} = chosen;
    admission.noteSent(state, now);
    this.#permit.acquire(state, assumed.limit, now, decision => {
      this.#onDecision(chosen, decision);
    });
  }

  #onDecision(chosen: ServerChoice, decision: SendDecision): void {
    const {servers, admission, clock} = this.#deps;
    const {withoutRoom} = servers;
    if (decision === SEND_DECISION.GRANTED) {
      this.#decidedAt = readClock(clock);
      servers.noteAttempt(chosen);
      this.#listener.onServer(chosen);
      return;
    }
    admission.noteEnded(clock.now());
    if (decision === SEND_DECISION.FULL) withoutRoom.noteFull(chosen.state);
    else withoutRoom.noteWarmingUp(chosen.state);
    this.#choose();
  }

  /** Servers that are at their load limit may have room a moment later. */
  #onNone(now: number): void {
    const {servers} = this.#deps;
    const {withoutRoom} = servers;
    const waitMs = withoutRoom.hasFull
      ? this.#wait.next(this.#hasBegun, now)
      : undefined;
    if (waitMs === undefined) {
      const error = withoutRoom.hasFull
        ? 'overloaded'
        : servers.errorWithoutServer(now);
      this.#listener.onNoServer(error);
      return;
    }
    withoutRoom.forgetFull();
    this.#timer = setTimeout(() => {
      this.#choose();
    }, waitMs);
  }
}
