/**
 * Tells a slow server from a busy one.
 *
 * A plain service that works several times as long as the others answers its status
 * check, fails nothing, and has few requests under way, as few end there. Chosen by
 * its load it gets its full part, and each caller's answer is late.
 */
import {type ServerState} from './gateway_server_state.js';

/** One request at a plain service. */
export class ResponseTiming {
  readonly #state: ServerState;
  readonly #sentAt: number;
  readonly #targetLatencyMs: number;
  readonly #hadFreeSlot: boolean;

  /**
   * Begins before the request counts as the server's.
   *
   * @param state the server
   * @param targetLatencyMs within which its caller wants the answer
   * @param now present time, monotonic milliseconds
   */
  constructor(state: ServerState, targetLatencyMs: number, now: number) {
    this.#state = state;
    this.#sentAt = now;
    this.#targetLatencyMs = targetLatencyMs;
    // Where it had to wait, a late answer says nothing of the server.
    this.#hadFreeSlot = state.load(now) < state.slots;
  }

  /** @param now present time, monotonic milliseconds; the answer is whole */
  noteResponse(now: number): void {
    const isLate = now - this.#sentAt > this.#targetLatencyMs;
    if (isLate && this.#hadFreeSlot) this.#state.noteLateResponse(now);
    else this.#state.noteSuccess(now);
  }
}
