/**
 * Which waiting orders a backend server is given when it announces itself.
 */
import {ORDER_ACTION, type OrderView} from './control_administration.js';

/**
 * Chooses the orders to deliver. Loads draw on the weight store, which is
 * rate-limited: only so many are out at the same time, oldest first. Loads of
 * servers that are away wait without taking a place.
 */
export class OrderDelivery {
  readonly #concurrentLoads: number;
  #byServer = new Map<string, OrderView[]>();

  /** @param concurrentLoads loads that may be out at the same time */
  constructor(concurrentLoads: number) {
    this.#concurrentLoads = concurrentLoads;
  }

  /**
   * Chooses anew.
   *
   * @param waiting orders without an outcome, in the order of their tokens
   * @param isPresent says which servers can be reached
   */
  refresh(
    waiting: Iterable<OrderView>,
    isPresent: (server: string) => boolean,
  ): void {
    const byServer = new Map<string, OrderView[]>();
    const blocked = new Set<string>();
    let loads = 0;
    for (const order of waiting) {
      const server = order.backendServer;
      if (blocked.has(server) || !isPresent(server)) continue;
      if (order.action === ORDER_ACTION.LOAD_MODEL) {
        if (loads >= this.#concurrentLoads) {
          // A later order passed on first would fence this one off.
          blocked.add(server);
          continue;
        }
        loads += 1;
      }
      const orders = byServer.get(server) ?? [];
      orders.push(order);
      byServer.set(server, orders);
    }
    this.#byServer = byServer;
  }

  /**
   * @param server a backend server
   * @returns its orders to deliver now, in the order of their tokens
   */
  ordersFor(server: string): readonly OrderView[] {
    return this.#byServer.get(server) ?? [];
  }
}
