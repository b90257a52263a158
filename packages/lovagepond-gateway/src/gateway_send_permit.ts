/**
 * What one attempt needs before it may be sent: a permit for the server's load
 * and, while the server is warming up, one of its few requests.
 */
import {type Clock} from '@lovagepond/core';
import {type ClockReading, elapsedMs, readClock} from './gateway_authority.js';
import {ExchangePermit} from './gateway_exchange_permit.js';
import {type GatewayPermits} from './gateway_permits.js';
import {type ServerState} from './gateway_server_state.js';
import {type GatewayWarmUp} from './gateway_warm_up.js';
import {PERMIT_VALID_MS} from './gateway_warm_up_issuer.js';

/** Whether an attempt may be sent to the server that was chosen for it. */
export const SEND_DECISION = {
  GRANTED: 'granted',
  /** The server is at its load limit. */
  FULL: 'full',
  /** The server is warming up, and gets no more requests for now. */
  WARMING_UP: 'warmingUp',
} as const;

export type SendDecision = (typeof SEND_DECISION)[keyof typeof SEND_DECISION];

export interface SendPermitDependencies {
  readonly clock: Clock;
  readonly permits: GatewayPermits;
  readonly warmUp: GatewayWarmUp;
}

/** A permit for one request to a server that is warming up. */
interface WarmUpPermit {
  /** Name of the server. */
  readonly server: string;
  readonly askedAt: ClockReading;
}

export class SendPermit {
  readonly #deps: SendPermitDependencies;
  readonly #load: ExchangePermit;
  #warmUp: WarmUpPermit | undefined;
  #abandon: () => void = () => {};

  constructor(deps: SendPermitDependencies) {
    this.#deps = deps;
    this.#load = new ExchangePermit(deps.permits);
  }

  /** True from {@link acquire} until a denial or the release. */
  get isReserved(): boolean {
    return this.#load.isPending || this.#load.isGranted;
  }

  /**
   * @param state the server
   * @param limit requests that all gateways may have there, with the new one
   * @param now current time, monotonic milliseconds
   * @param onDecision called once, during the call or later; not called after
   *     {@link release}
   */
  acquire(
    state: ServerState,
    limit: number,
    now: number,
    onDecision: (decision: SendDecision) => void,
  ): void {
    this.#warmUp = undefined;
    this.#load.acquire(state, limit, now, (isGranted, isAlone) => {
      if (!isGranted) onDecision(SEND_DECISION.FULL);
      else this.#acquireWarmUp(state, isAlone, onDecision);
    });
  }

  /**
   * Must be asked right before the send. A permit is used up by the question.
   *
   * @param state the server
   * @param at current time; a machine that was suspended since the permit shows
   *     in the time of day alone
   * @returns true if the permit still allows the send
   */
  takeFor(state: ServerState, at: ClockReading): boolean {
    if (!this.#deps.warmUp.warmUpOf(state, at.now)) return true;
    const permit = this.#warmUp;
    this.#warmUp = undefined;
    return permit?.server === state.server.name && isValid(permit, at);
  }

  /**
   * Gives the permit back, or no longer waits for it.
   *
   * @param now current time, monotonic milliseconds
   */
  release(now: number): void {
    this.#abandon();
    this.#warmUp = undefined;
    this.#load.release(now);
  }

  #acquireWarmUp(
    state: ServerState,
    isAlone: boolean,
    onDecision: (decision: SendDecision) => void,
  ): void {
    const {clock, warmUp} = this.#deps;
    const askedAt = readClock(clock);
    if (!warmUp.warmUpOf(state, askedAt.now)) {
      if (!isAlone || warmUp.admitsAlone(state, askedAt.now)) {
        onDecision(SEND_DECISION.GRANTED);
        return;
      }
      this.#load.release(askedAt.now);
      onDecision(SEND_DECISION.WARMING_UP);
      return;
    }
    let isCurrent = true;
    // Until the decision the request counts in the server's load.
    state.awaitingPermit += 1;
    const end = (): void => {
      if (isCurrent) state.awaitingPermit -= 1;
      isCurrent = false;
    };
    this.#abandon = end;
    warmUp.acquire(state, askedAt.now, (isGranted, now) => {
      if (!isCurrent) return;
      end();
      if (isGranted) {
        this.#warmUp = {server: state.server.name, askedAt};
        onDecision(SEND_DECISION.GRANTED);
        return;
      }
      this.#load.release(now);
      onDecision(SEND_DECISION.WARMING_UP);
    });
  }
}

function isValid({askedAt}: WarmUpPermit, at: ClockReading): boolean {
  return elapsedMs(askedAt, at) <= PERMIT_VALID_MS;
}
