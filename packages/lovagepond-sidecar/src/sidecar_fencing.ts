/**
 * Checks orders on behalf of backend servers that don't: an order passes once,
 * and never below one that has passed.
 */

/** An order as control sends it. */
export interface FencedOrder {
  readonly orderId: string;
  /** Rises with each order, also over changes of the leader. */
  readonly fencingToken: number;
}

/** What to do with an order. */
export const ORDER_VERDICT = {
  PASS: 'pass',
  /** A newer one has passed: tell control, and do nothing. */
  FENCED: 'fenced',
  /** It is running: its outcome follows. */
  RUNNING: 'running',
  /** It has ended: its outcome is known. */
  ENDED: 'ended',
  /** The floor is not known yet: wait for it, and tell nothing. */
  WAIT: 'wait',
} as const;

/** One of the values of {@link ORDER_VERDICT}. */
export type OrderVerdict = (typeof ORDER_VERDICT)[keyof typeof ORDER_VERDICT];

/** How an order ended. */
export interface OrderResult {
  readonly outcome: 'done' | 'failed' | 'fenced';
  readonly message: string;
}

const MAX_KEPT_RESULTS = 256;

/** Passes orders by rising token. Without I/O. */
export class SidecarFencing {
  #floor = 0;
  #floorKnown = false;
  #running: string | undefined;
  readonly #results = new Map<string, OrderResult>();

  /** @returns no order at or below this token passes */
  get floor(): number {
    return this.#floor;
  }

  /** @returns true once control has told the floor */
  get ready(): boolean {
    return this.#floorKnown;
  }

  /**
   * A restarted sidecar doesn't remember what its predecessor passed. Without
   * the floor from a majority, an order of a deposed leader, delivered late,
   * would undo a newer one at a backend server that checks nothing itself.
   *
   * @param floor the highest token known to a majority for this server
   */
  raiseFloor(floor: number): void {
    this.#floorKnown = true;
    this.#floor = Math.max(this.#floor, floor);
  }

  /**
   * @param order an order from control
   * @returns what to do; after `pass` the order counts as running
   */
  check(order: FencedOrder): OrderVerdict {
    const {orderId, fencingToken} = order;
    if (this.#results.has(orderId)) return ORDER_VERDICT.ENDED;
    if (this.#running === orderId) return ORDER_VERDICT.RUNNING;
    if (!this.#floorKnown) return ORDER_VERDICT.WAIT;
    if (fencingToken <= this.#floor) return ORDER_VERDICT.FENCED;
    // One at a time: the backend server gets them in the order of their tokens.
    if (this.#running !== undefined) return ORDER_VERDICT.WAIT;
    this.#floor = fencingToken;
    this.#running = orderId;
    return ORDER_VERDICT.PASS;
  }

  /**
   * @param orderId an order that was passed
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
