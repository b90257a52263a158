/**
 * Selects the pending orders for the answers to servers' announcements.
 */
import {ORDER_ACTION, type OrderView} from './control_administration.js';

/**
 * Selects the orders to deliver. Model loads read from the weight store, which
 * is rate-limited: only a limited number is delivered at the same time, oldest
 * first. Loads for unavailable servers don't count towards the limit.
 */
export class OrderDelivery {
  readonly #concurrentLoads: number;
  #byServer = new Map<string, OrderView[]>();

  /** @param concurrentLoads maximum number of loads in progress */
  constructor(concurrentLoads: number) {
    this.#concurrentLoads = concurrentLoads;
  }

  /**
   * Updates the selection.
   *
   * @param waiting orders without an outcome, by ascending fencing token
   * @param isPresent whether a server is registered
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
          // Delivering a later order first would fence off this one.
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
   * @param server name of a backend server
   * @returns its orders to deliver now, by ascending fencing token
   */
  ordersFor(server: string): readonly OrderView[] {
    return this.#byServer.get(server) ?? [];
  }
}
