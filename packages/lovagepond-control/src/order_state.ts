/**
 * Orders to backend servers, with their fencing tokens and outcomes.
 */
import {
  type OrderOutcomeKind,
  type OrderRequest,
  type OrderView,
} from './control_administration.js';
import {type OrderOutcomePayload} from './control_commands.js';

/** Tokens of one term: a safe integer holds 2^33 terms of these. */
const TOKENS_PER_TERM = 2 ** 20;

/** Ended orders that are kept with their outcome. */
const MAX_ENDED_ORDERS = 2_000;

/** Orders that may wait; one more is refused. */
const MAX_WAITING_ORDERS = 10_000;

/** Backend servers whose fencing floor is kept by itself. */
const MAX_FLOORS = 10_000;

/** Answer to an order. */
export type IssueResult =
  | {readonly kind: 'accepted'; readonly fencingToken: number}
  /** The id belongs to another order. */
  | {readonly kind: 'operationReuse'}
  | {readonly kind: 'tooMany'};

/** Serialized form. */
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
  /** Highest token of each server that has an outcome. */
  readonly #floors = new Map<string, number>();
  /** Stands for servers whose own floor was dropped; it only errs upwards. */
  #sharedFloor = 0;

  /**
   * Issues an order. Its token is above every earlier one: a later term's
   * tokens start above all of an earlier term's, and within a term they count.
   *
   * @param order the order; a second one under its id is the first
   * @param term term of the proposing leader
   * @returns the token, also of the first order
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
   * Records how an order ended. The first outcome stands.
   *
   * @param report the sidecar's report
   * @returns false when there is no such order with that token
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
   * @returns the order while it is kept
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
   * @returns no order at or below this token may still be passed to it
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

  /** @param snapshot what {@link snapshot} gave */
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
    // A fenced order was never passed on: something newer was.
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
