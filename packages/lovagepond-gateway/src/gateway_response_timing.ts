/**
 * Distinguishes a slow server from a busy one.
 *
 * A plain service that takes several times as long as its peers may still pass
 * its health check, fail no request and have few requests in flight. Balancing
 * by load alone would send it a full share of requests, all of them late.
 */
import {type ServerState} from './gateway_server_state.js';

/** Times one request at a plain service. */
export class ResponseTiming {
  readonly #state: ServerState;
  readonly #sentAt: number;
  readonly #targetLatencyMs: number;
  readonly #hadFreeSlot: boolean;

  /**
   * Must be created before the request is added to the server's load.
   *
   * @param state the server
   * @param targetLatencyMs latency above which a response counts as late
   * @param now current time, monotonic milliseconds
   */
  constructor(state: ServerState, targetLatencyMs: number, now: number) {
    this.#state = state;
    this.#sentAt = now;
    this.#targetLatencyMs = targetLatencyMs;
    // A request that queues for a slot may be late at a healthy server too.
    this.#hadFreeSlot = state.load(now) < state.slots;
  }

  /**
   * Records that the response is complete, in time or late.
   *
   * @param now current time, monotonic milliseconds
   */
  noteResponse(now: number): void {
    const isLate = now - this.#sentAt > this.#targetLatencyMs;
    if (isLate && this.#hadFreeSlot) this.#state.noteLateResponse(now);
    else this.#state.noteSuccess(now);
  }
}
