/**
 * Passes control's orders to the backend server, each once and in increasing
 * order of their tokens, and reports their outcome.
 */
import {type EngineOrder, ORDER_ACTION} from '@lovagepond/backend';
import {type Logger} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type Backend} from './sidecar_backend.js';
import {
  type OrderResult,
  type OrderVerdict,
  SidecarFencing,
} from './sidecar_fencing.js';

type Order = lovagepond.v1.Order.$Properties;

/** Reports to control how an order ended. */
export type ReportOrder = (
  outcome: lovagepond.v1.OrderOutcome.$Properties,
) => Promise<void>;

export interface OrdersDependencies {
  readonly backendServer: string;
  readonly backend: Backend;
  readonly log: Logger;
  readonly report: ReportOrder;
}

const FENCED: OrderResult = Object.freeze({
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

/** Handles the orders for one backend server. */
export class SidecarOrders {
  readonly #deps: OrdersDependencies;
  /** Token check, independent of checks at the backend server. */
  readonly fencing = new SidecarFencing();

  readonly #handlers: Readonly<
    Record<OrderVerdict, (order: Order) => Promise<void>>
  > = {
    pass: order => this.#execute(order),
    fenced: order => this.#report(order, FENCED),
    running: () => Promise.resolve(),
    ended: order =>
      this.#report(order, this.fencing.resultOf(order.orderId ?? '') ?? FENCED),
    wait: () => Promise.resolve(),
  };

  constructor(deps: OrdersDependencies) {
    this.#deps = deps;
  }

  /**
   * @param orders pending orders; control repeats those without a reported
   *     outcome
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
    const result = await this.#send(readOrder(order));
    this.fencing.finish(order.orderId ?? '', result);
    const {orderId, fencingToken} = order;
    this.#deps.log.info('order ended', {
      orderId: orderId ?? '',
      fencingToken: fencingToken ?? 0,
      outcome: result.outcome,
    });
    await this.#report(order, result);
  }

  async #send(order: EngineOrder | undefined): Promise<OrderResult> {
    const {backend} = this.#deps;
    if (!order || backend.kind !== 'engine') {
      const message = 'The backend server takes no such order.';
      return {outcome: 'failed', message};
    }
    const result = await backend.engine.order(order);
    if (result.ok) return result.value;
    return {outcome: 'failed', message: result.failure.message};
  }

  async #report(order: Order, result: OrderResult): Promise<void> {
    await this.#deps.report({
      orderId: order.orderId ?? '',
      fencingToken: order.fencingToken ?? 0,
      backendServer: this.#deps.backendServer,
      outcome: result.outcome,
      message: result.message,
    });
  }
}
