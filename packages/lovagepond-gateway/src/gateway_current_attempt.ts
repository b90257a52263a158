/**
 * The attempt of a request that is under way, and what it has told so far.
 */
import {Attempt, type AttemptListener} from './gateway_attempt.js';
import {type BufferedFailure} from './gateway_buffered_failure.js';
import {type ServerChoice} from './gateway_choice.js';
import {
  type AdmittedRequest,
  type ExchangeDependencies,
} from './gateway_exchange_types.js';
import {type ServerSignals} from './gateway_headers.js';
import {toOutgoing} from './gateway_outgoing_request.js';
import {type PrefillTracker, trackPrefill} from './gateway_prefill_tracker.js';
import {ResponseTiming} from './gateway_response_timing.js';
import {type ServerState} from './gateway_server_state.js';

export class CurrentAttempt {
  readonly #req: AdmittedRequest;
  readonly #deps: ExchangeDependencies;
  #attempt: Attempt | undefined;
  #prefill: PrefillTracker | undefined;
  #timing: ResponseTiming | undefined;
  #wasAvoided = false;
  /** What the response says about its server. */
  signals: ServerSignals | undefined;
  /** The error response that is being received. */
  incomingFailure: BufferedFailure | undefined;

  constructor(req: AdmittedRequest, deps: ExchangeDependencies) {
    this.#req = req;
    this.#deps = deps;
  }

  /** The attempt's server; undefined while no attempt is under way. */
  get state(): ServerState | undefined {
    return this.#attempt?.state;
  }

  /** True once a byte of the request may have reached the server. */
  get isSent(): boolean {
    return this.#attempt?.isSent ?? false;
  }

  get prefill(): PrefillTracker | undefined {
    return this.#prefill;
  }

  /** The response's timing; unset at engines. */
  get timing(): ResponseTiming | undefined {
    return this.#timing;
  }

  /** The server was chosen although it had failed lately. */
  get wasAvoided(): boolean {
    return this.#wasAvoided;
  }

  /**
   * Sends the request to a server that it has a permit for.
   *
   * @param chosen the server
   * @param listener receives the attempt's events
   * @param lastId id of the last event that the caller got; undefined if none
   * @param now current time, monotonic milliseconds
   */
  begin(
    chosen: ServerChoice,
    listener: AttemptListener,
    lastId: number | undefined,
    now: number,
  ): void {
    const {facts, rule} = this.#req;
    const {names, connections} = this.#deps;
    const {state} = chosen;
    const {sticky, targetLatencyMs} = rule.forwarding;
    this.#timing = sticky
      ? undefined
      : new ResponseTiming(state, targetLatencyMs, now, rule.kind);
    this.signals = undefined;
    this.#wasAvoided = state.isAvoided(now);
    this.#prefill = trackPrefill(this.#req, chosen, this.#deps, now);
    const attempt = new Attempt(state, names, facts.requestId, listener);
    this.#attempt = attempt;
    state.inFlight += 1;
    const outgoing = toOutgoing(this.#req, chosen, {names, lastId, now});
    attempt.start(outgoing, connections);
  }

  resume(): void {
    this.#attempt?.resume();
  }

  /** Closes the connection; the listener receives no further events. */
  abort(): void {
    this.#attempt?.abort();
  }

  /** @returns the server of the attempt that has ended, if there was one */
  end(): ServerState | undefined {
    const {state} = this;
    this.#attempt = undefined;
    this.incomingFailure = undefined;
    if (state) {
      this.#prefill?.close();
      state.inFlight -= 1;
    }
    return state;
  }
}
