/**
 * The retries of one request, as far as the budget goes.
 */
import {
  type GatewayRetryBudget,
  type RetryBudgetView,
} from './gateway_retry_budget.js';

/** The answer of the budget to the last question, for the log. */
export interface RetryAnswer extends RetryBudgetView {
  readonly isTaken: boolean;
}

export class ExchangeRetry {
  readonly #budget: GatewayRetryBudget;
  readonly #pool: string;
  #answer: RetryAnswer | undefined;

  /**
   * @param budget the gateway's budget
   * @param pool the pool that the request is sent to
   */
  constructor(budget: GatewayRetryBudget, pool: string) {
    this.#budget = budget;
    this.#pool = pool;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns whether a retry was taken from the budget
   */
  trySpend(now: number): boolean {
    const isTaken = this.#budget.trySpend(this.#pool, now);
    this.#answer = {isTaken, ...this.#budget.describe(this.#pool, now)};
    return isTaken;
  }

  /** @returns the last answer, once */
  takeAnswer(): RetryAnswer | undefined {
    const answer = this.#answer;
    this.#answer = undefined;
    return answer;
  }
}
