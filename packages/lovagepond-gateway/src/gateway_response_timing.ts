/**
 * Distinguishes a slow server from a busy one.
 *
 * A plain service that takes several times as long as its peers may still pass
 * its health check, fail no request and have few requests in flight. Balancing
 * by load alone would send it a full share of requests, all of them late.
 */
import {type ServerCapacity} from '@lovagepond/load';
import {type ServerState} from './gateway_server_state.js';

/** Times one request at a plain service. */
export class ResponseTiming {
  readonly #state: ServerState;
  readonly #sentAt: number;
  readonly #targetLatencyMs: number;
  readonly #hadFreeSlot: boolean;
  readonly #kind: string;
  readonly #loadAtSend: number;
  /** Estimates of the incarnation that the request is sent to. */
  readonly #capacity: ServerCapacity;

  /**
   * Must be created before the request is added to the server's load.
   *
   * @param state the server
   * @param targetLatencyMs latency above which a response counts as late
   * @param now current time, monotonic milliseconds
   * @param kind name of the request kind
   */
  constructor(
    state: ServerState,
    targetLatencyMs: number,
    now: number,
    kind = '',
  ) {
    this.#state = state;
    this.#sentAt = now;
    this.#targetLatencyMs = targetLatencyMs;
    // A request that queues for a slot may be late at a healthy server too.
    this.#loadAtSend = state.load(now);
    this.#hadFreeSlot = this.#loadAtSend < state.slots;
    this.#kind = kind;
    this.#capacity = state.capacity;
  }

  /**
   * Records that the response is complete, in time or late.
   *
   * @param now current time, monotonic milliseconds
   */
  noteResponse(now: number): void {
    const durationMs = now - this.#sentAt;
    const {slots} = this.#state;
    this.#capacity.noteService(
      this.#kind,
      durationMs,
      this.#loadAtSend,
      slots,
      now,
    );
    const isLate = durationMs > this.#targetLatencyMs;
    if (isLate && this.#hadFreeSlot) this.#state.noteLateResponse(now);
    else this.#state.noteSuccess(now);
  }
}
