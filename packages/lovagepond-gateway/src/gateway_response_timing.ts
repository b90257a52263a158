/**
 * Distinguishes a slow server from a busy one.
 *
 * A plain service that takes several times as long as its peers passes its
 * health check, fails no request and has few requests in flight. Load balancing
 * by load alone sends it a full share, and each of those responses is late.
 */
import {type ServerState} from './gateway_server_state.js';

/** Times one request at a plain service. */
export class ResponseTiming {
  readonly #state: ServerState;
  readonly #sentAt: number;
  readonly #targetLatencyMs: number;
  readonly #hadFreeSlot: boolean;

  /**
   * Must be called before the request is added to the server's load.
   *
   * @param state the server
   * @param targetLatencyMs latency above which a response counts as late
   * @param now current time, monotonic milliseconds
   */
  constructor(state: ServerState, targetLatencyMs: number, now: number) {
    this.#state = state;
    this.#sentAt = now;
    this.#targetLatencyMs = targetLatencyMs;
    // A request that queued for a slot may be late at a healthy server.
    this.#hadFreeSlot = state.load(now) < state.slots;
  }

  /**
   * Records the complete response.
   *
   * @param now current time, monotonic milliseconds
   */
  noteResponse(now: number): void {
    const isLate = now - this.#sentAt > this.#targetLatencyMs;
    if (isLate && this.#hadFreeSlot) this.#state.noteLateResponse(now);
    else this.#state.noteSuccess(now);
  }
}
