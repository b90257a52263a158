/**
 * What a gateway knows of one server's warm-up, from control's list and from
 * other gateways.
 */
import {type BackendServer, type WarmUp} from '@lovagepond/core';

/**
 * Time for which another gateway's word that the server is warming up is taken,
 * and in which it isn't taken again, milliseconds. That gateway's list may be the
 * older one.
 */
const TOLD_VALID_MS = 3_000;
const TOLD_AGAIN_MS = 10_000;

export class WarmUpNews {
  #told: WarmUp | undefined;
  #toldAt = Number.NEGATIVE_INFINITY;

  /**
   * @param routers the gateways that issue permits for the server, as another
   *     gateway has told, which knows that the server is warming up
   * @param now current time, monotonic milliseconds
   */
  noteTold(routers: readonly string[], now: number): void {
    if (now - this.#toldAt >= TOLD_AGAIN_MS) this.#toldAt = now;
    this.#told = {routers};
  }

  /**
   * @param server the server as it is listed
   * @param now current time, monotonic milliseconds
   * @returns the gateways that issue permits for the server while it is warming
   *     up; undefined when it is warm
   */
  warmUpOf(server: BackendServer, now: number): WarmUp | undefined {
    const isTold = now - this.#toldAt < TOLD_VALID_MS;
    return server.warmUp ?? (isTold ? this.#told : undefined);
  }
}
