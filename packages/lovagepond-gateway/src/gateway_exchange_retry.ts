/**
 * The retries of one request. Every arrival at a server beyond the first needs a
 * credit, which is used up by the send.
 */
import {type ClockReading} from './gateway_authority.js';
import {type GatewayRetries, type RetryDecision} from './gateway_retries.js';
import {isValid, type RetryCredit} from './gateway_retry_credit.js';

export class ExchangeRetry {
  readonly #retries: GatewayRetries;
  readonly #pool: string;
  #credit: RetryCredit | undefined;
  /** A server may have got the request. */
  #mayHaveArrived = false;
  #isOver = false;

  /**
   * @param retries the gateway's retries
   * @param pool the pool that the request is sent to
   */
  constructor(retries: GatewayRetries, pool: string) {
    this.#retries = retries;
    this.#pool = pool;
  }

  /**
   * @param at current time
   * @returns true if {@link acquire} must be called before the next attempt
   */
  needsCredit(at: ClockReading): boolean {
    return !this.maySend(at);
  }

  /**
   * @param at current time
   * @param onDecision called once, during the call or later, unless the request
   *     has ended
   */
  acquire(
    at: ClockReading,
    onDecision: (decision: RetryDecision) => void,
  ): void {
    this.#retries.acquire(this.#pool, at, decision => {
      this.#credit = decision.credit;
      if (this.#isOver) this.end();
      else onDecision(decision);
    });
  }

  /**
   * @param at current time
   * @returns whether the request may be sent now
   */
  maySend(at: ClockReading): boolean {
    if (!this.#mayHaveArrived) return true;
    return this.#credit !== undefined && isValid(this.#credit, at);
  }

  /** Must be called right before the request is written to a connection. */
  noteSent(): void {
    this.#mayHaveArrived = true;
    this.#credit = undefined;
  }

  /** Gives back what was not sent. */
  end(): void {
    this.#isOver = true;
    if (this.#credit) this.#retries.release(this.#pool, this.#credit);
    this.#credit = undefined;
  }
}
