/**
 * Checks fencing tokens of orders, for backend servers that do not check them:
 * each order passes once, and only if its token is higher than those of all
 * orders that have passed.
 */

/** An order from control. */
export interface FencedOrder {
  readonly orderId: string;
  /** Increases with each order, also across changes of the leader. */
  readonly fencingToken: number;
}

/** How to handle an order. */
export const ORDER_VERDICT = {
  PASS: 'pass',
  /** An order with a higher token has passed: reject this one and report it. */
  FENCED: 'fenced',
  /** The order is running; its outcome will be reported. */
  RUNNING: 'running',
  /** The order has ended and its outcome is known. */
  ENDED: 'ended',
  /** The floor is unknown or another order runs: defer it, report nothing. */
  WAIT: 'wait',
} as const;

export type OrderVerdict = (typeof ORDER_VERDICT)[keyof typeof ORDER_VERDICT];

/** How an order ended. */
export interface OrderResult {
  readonly outcome: 'done' | 'failed' | 'fenced';
  readonly message: string;
}

const MAX_KEPT_RESULTS = 256;

/** Passes orders in increasing order of their tokens. Performs no I/O. */
export class SidecarFencing {
  #floor = 0;
  #floorKnown = false;
  #running: string | undefined;
  readonly #results = new Map<string, OrderResult>();

  /** @returns the floor: the highest token that no longer passes */
  get floor(): number {
    return this.#floor;
  }

  /** @returns true once control has reported the floor */
  get ready(): boolean {
    return this.#floorKnown;
  }

  /**
   * Raises the floor. A restarted sidecar has no record of the orders that its
   * former incarnation passed. If it did not wait for the floor that a majority
   * has recorded, a delayed order of a deposed leader could undo a newer one.
   *
   * @param floor the highest token that a majority has recorded for this server
   */
  raiseFloor(floor: number): void {
    this.#floorKnown = true;
    this.#floor = Math.max(this.#floor, floor);
  }

  /**
   * @param order an order from control
   * @returns how to handle it; after `pass` the order counts as running
   */
  check(order: FencedOrder): OrderVerdict {
    const {orderId, fencingToken} = order;
    if (this.#results.has(orderId)) return ORDER_VERDICT.ENDED;
    if (this.#running === orderId) return ORDER_VERDICT.RUNNING;
    if (!this.#floorKnown) return ORDER_VERDICT.WAIT;
    if (fencingToken <= this.#floor) return ORDER_VERDICT.FENCED;
    // One order at a time, so that the backend server receives them in the
    // order of their tokens.
    if (this.#running !== undefined) return ORDER_VERDICT.WAIT;
    this.#floor = fencingToken;
    this.#running = orderId;
    return ORDER_VERDICT.PASS;
  }

  /**
   * @param orderId an order that has passed
   * @param result how it ended
   */
  finish(orderId: string, result: OrderResult): void {
    if (this.#running === orderId) this.#running = undefined;
    this.#results.set(orderId, result);
    if (this.#results.size <= MAX_KEPT_RESULTS) return;
    const oldest = this.#results.keys().next().value;
    if (oldest !== undefined) this.#results.delete(oldest);
  }

  /**
   * @param orderId an order
   * @returns how it ended, or undefined
   */
  resultOf(orderId: string): OrderResult | undefined {
    return this.#results.get(orderId);
  }
}
