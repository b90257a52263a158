/**
 * Orders to backend servers, with their fencing tokens and outcomes.
 */
import {
  type OrderOutcomeKind,
  type OrderRequest,
  type OrderView,
} from './control_administration.js';
import {type OrderOutcomePayload} from './control_commands.js';

/** Fencing tokens of one term; a safe integer can hold 2^33 such terms. */
const TOKENS_PER_TERM = 2 ** 20;

/** Limit of ended orders that are stored with their outcome. */
const MAX_ENDED_ORDERS = 2_000;

/** Limit of orders without an outcome; further orders are refused. */
const MAX_WAITING_ORDERS = 10_000;

/** Limit of backend servers with a fencing floor of their own. */
const MAX_FLOORS = 10_000;

/** Answer to an order. */
export type IssueResult =
  | {readonly kind: 'accepted'; readonly fencingToken: number}
  /** The id was used for another order. */
  | {readonly kind: 'operationReuse'}
  | {readonly kind: 'tooMany'};

export interface OrderSnapshot {
  readonly lastToken: number;
  readonly oldFloor: number;
  readonly orders: readonly OrderView[];
  readonly floors: readonly (readonly [string, number])[];
}

/** The orders. Part of the replicated state. */
export class OrderState {
  #lastToken = 0;
  readonly #waiting = new Map<string, OrderView>();
  readonly #ended = new Map<string, OrderView>();
  /** Highest token of each server's orders that ended without being fenced. */
  readonly #floors = new Map<string, number>();
  /** Floor of servers whose own floor was evicted; never below that floor. */
  #sharedFloor = 0;

  /**
   * Issues an order. Its fencing token is higher than all previous ones: each
   * term's tokens start above those of earlier terms, and increase within it.
   *
   * @param order the order; a retry under the same id issues no second order
   * @param term term of the proposing leader
   * @returns the order's token; for a retry, that of the first order
   */
  issue(order: OrderRequest, term: number): IssueResult {
    const previous = this.find(order.orderId);
    if (previous) {
      return isSameOrder(previous, order)
        ? {kind: 'accepted', fencingToken: previous.fencingToken}
        : {kind: 'operationReuse'};
    }
    if (this.#waiting.size >= MAX_WAITING_ORDERS) return {kind: 'tooMany'};
    this.#lastToken = Math.max(this.#lastToken + 1, term * TOKENS_PER_TERM);
    const fencingToken = this.#lastToken;
    this.#waiting.set(order.orderId, {...order, fencingToken, message: ''});
    return {kind: 'accepted', fencingToken};
  }

  /**
   * Records the outcome of an order; later outcomes don't replace the first.
   *
   * @param report the sidecar's report
   * @returns false when no order matches the report's id, token and server
   */
  recordOutcome(report: OrderOutcomePayload): boolean {
    const {orderId, outcome, message} = report;
    const order = this.find(orderId);
    if (order?.fencingToken !== report.fencingToken) return false;
    if (order.backendServer !== report.backendServer) return false;
    if (order.outcome) return true;
    this.#waiting.delete(orderId);
    this.#ended.set(orderId, {...order, outcome, message});
    this.#raiseFloor(order, outcome);
    this.#evictOldest();
    return true;
  }

  /**
   * @param orderId an order's id
   * @returns the order, while it is stored
   */
  find(orderId: string): OrderView | undefined {
    return this.#waiting.get(orderId) ?? this.#ended.get(orderId);
  }

  /** @returns orders without an outcome, in the order of their tokens */
  waiting(): IterableIterator<OrderView> {
    return this.#waiting.values();
  }

  /**
   * @param server a backend server
   * @returns the server's fencing floor: no order with this or a lower token
   *     may be delivered to the server
   */
  floorOf(server: string): number {
    return this.#floors.get(server) ?? this.#sharedFloor;
  }

  /** @returns number of orders without and with an outcome */
  counts(): {waiting: number; ended: number} {
    return {waiting: this.#waiting.size, ended: this.#ended.size};
  }

  /** @returns orders, newest first */
  list(): OrderView[] {
    return [...this.#ended.values(), ...this.#waiting.values()].sort(
      (a, b) => b.fencingToken - a.fencingToken,
    );
  }

  /** @returns the serialized form */
  snapshot(): OrderSnapshot {
    return {
      lastToken: this.#lastToken,
      oldFloor: this.#sharedFloor,
      orders: [...this.#ended.values(), ...this.#waiting.values()],
      floors: [...this.#floors],
    };
  }

  /** @param snapshot the result of {@link snapshot} */
  restore(snapshot: OrderSnapshot): void {
    this.#lastToken = snapshot.lastToken;
    this.#sharedFloor = snapshot.oldFloor;
    this.#waiting.clear();
    this.#ended.clear();
    this.#floors.clear();
    for (const order of snapshot.orders) {
      const orders = order.outcome ? this.#ended : this.#waiting;
      orders.set(order.orderId, order);
    }
    for (const [server, token] of snapshot.floors) {
      this.#floors.set(server, token);
    }
  }

  #raiseFloor(order: OrderView, outcome: OrderOutcomeKind): void {
    // A fenced order wasn't delivered, as a newer one already was.
    if (outcome === 'fenced') return;
    const {backendServer, fencingToken} = order;
    const floor = Math.max(this.#floors.get(backendServer) ?? 0, fencingToken);
    this.#floors.delete(backendServer);
    this.#floors.set(backendServer, floor);
  }

  #evictOldest(): void {
    if (this.#ended.size > MAX_ENDED_ORDERS) {
      const [oldest] = this.#ended.keys();
      this.#ended.delete(oldest as string);
    }
    if (this.#floors.size > MAX_FLOORS) {
      const [oldest] = this.#floors.entries();
      const [server, token] = oldest as [string, number];
      this.#floors.delete(server);
      this.#sharedFloor = Math.max(this.#sharedFloor, token);
    }
  }
}

function isSameOrder(previous: OrderRequest, order: OrderRequest): boolean {
  return (
    previous.backendServer === order.backendServer &&
    previous.action === order.action &&
    JSON.stringify(previous.arguments) === JSON.stringify(order.arguments)
  );
}
