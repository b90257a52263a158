/**
 * Passes control's orders to the backend server, once each and by rising
 * token, and reports how they ended.
 */
import {type EngineOrder, ORDER_ACTION} from '@lovagepond/backend';
import {type Logger} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type Backend} from './sidecar_backend.js';
import {
  type OrderEnd,
  type OrderVerdict,
  SidecarFencing,
} from './sidecar_fencing.js';

type Order = lovagepond.v1.Order.$Properties;

/** Tells control how an order ended. */
export type ReportOrder = (
  outcome: lovagepond.v1.OrderOutcome.$Properties,
) => Promise<void>;

/** What orders need. */
export interface OrdersParts {
  readonly backendServer: string;
  readonly backend: Backend;
  readonly log: Logger;
  readonly report: ReportOrder;
}

const FENCED: OrderEnd = Object.freeze({
  outcome: 'fenced',
  message: 'A newer order has passed.',
});

function readOrder(order: Order): EngineOrder | undefined {
  const action = Object.values(ORDER_ACTION).find(
    known => known === order.action,
  );
  if (!action) return undefined;
  return {
    orderId: order.orderId ?? '',
    fencingToken: order.fencingToken ?? 0,
    action,
    arguments: order.arguments ?? {},
  };
}

/** The orders of one backend server. */
export class SidecarOrders {
  readonly #parts: OrdersParts;
  /** The check that holds whether or not the backend server checks too. */
  readonly fencing = new SidecarFencing();

  readonly #handlers: Readonly<
    Record<OrderVerdict, (order: Order) => Promise<void>>
  > = {
    pass: order => this.#execute(order),
    fenced: order => this.#report(order, FENCED),
    running: () => Promise.resolve(),
    ended: order =>
      this.#report(order, this.fencing.endOf(order.orderId ?? '') ?? FENCED),
    wait: () => Promise.resolve(),
  };

  constructor(parts: OrdersParts) {
    this.#parts = parts;
  }

  /**
   * @param orders what control wants done; it repeats what isn't reported
   */
  async receive(orders: readonly Order[]): Promise<void> {
    const sorted = [...orders].sort(
      (a, b) => (a.fencingToken ?? 0) - (b.fencingToken ?? 0),
    );
    for (const order of sorted) {
      const verdict = this.fencing.check({
        orderId: order.orderId ?? '',
        fencingToken: order.fencingToken ?? 0,
      });
      await this.#handlers[verdict](order);
    }
  }

  async #execute(order: Order): Promise<void> {
    const end = await this.#pass(readOrder(order));
    this.fencing.finish(order.orderId ?? '', end);
    const {orderId, fencingToken} = order;
    this.#parts.log.info('order ended', {
      orderId: orderId ?? '',
      fencingToken: fencingToken ?? 0,
      outcome: end.outcome,
    });
    await this.#report(order, end);
  }

  async #pass(order: EngineOrder | undefined): Promise<OrderEnd> {
    const {backend} = this.#parts;
    if (!order || backend.kind !== 'engine') {
      const message = 'The backend server takes no such order.';
      return {outcome: 'failed', message};
    }
    const result = await backend.engine.order(order);
    if (result.ok) return result.value;
    return {outcome: 'failed', message: result.failure.message};
  }

  async #report(order: Order, end: OrderEnd): Promise<void> {
    await this.#parts.report({
      orderId: order.orderId ?? '',
      fencingToken: order.fencingToken ?? 0,
      backendServer: this.#parts.backendServer,
      outcome: end.outcome,
      message: end.message,
    });
  }
}
