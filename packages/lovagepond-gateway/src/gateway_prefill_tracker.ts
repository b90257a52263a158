/**
 * Tracks the prefill of one request's prompt at a server: the tokens to be
 * computed, when they will be done, and the observed rate.
 */
import {type ContextFetch} from './gateway_context_source.js';
import {type PromptPart} from './gateway_headers.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type GatewayLoadReports} from './gateway_load_reports.js';
import {type ServerState} from './gateway_server_state.js';

/** Dependencies shared by all trackers. */
export interface PrefillTrackerDependencies {
  readonly readings: GatewayLoadReports;
  readonly rate: PrefillRate;
}

/** The prefill of one prompt at one server. */
export class PrefillTracker {
  readonly #state: ServerState;
  readonly #rate: PrefillRate;
  #prefillTokens: number;
  /**
   * Start of the prefill. Unset when the server has other prompts to compute or
   * fetches context, as its time then does not reflect the prefill rate.
   */
  #aloneSince: number | undefined;

  /**
   * Must be created when the request is sent to the server.
   *
   * @param state the server
   * @param parts the prompt's parts
   * @param fetch the context that the server fetches from another one
   * @param shared dependencies shared by all trackers
   * @param now current time, monotonic milliseconds
   */
  constructor(
    state: ServerState,
    parts: readonly PromptPart[],
    fetch: ContextFetch | undefined,
    {rate, readings}: PrefillTrackerDependencies,
    now: number,
  ) {
    this.#state = state;
    this.#rate = rate;
    const ids = parts.map(({id}) => id);
    const coldTokens = state.coldTokens(parts);
    const ownTokens = parts.at(-1)?.tokens ?? 0;
    this.#prefillTokens = coldTokens - (fetch?.tokens ?? 0);
    const waitMs = state.prefillWaitMs(rate.tokensPerMs, now);
    const isAlone = waitMs === 0 && !fetch?.source;
    this.#aloneSince = isAlone ? now : undefined;
    readings.notePrefill(state, ids.slice(0, -1), {
      newTokens: coldTokens - ownTokens,
      prefillTokens: Math.max(0, this.#prefillTokens - ownTokens),
    });
    state.pendingPrefillTokens += this.#prefillTokens;
    const prefillMs = this.#prefillTokens / rate.tokensPerMs;
    state.noteWarm(ids, now + waitMs + prefillMs);
  }

  /** @param now current time, monotonic milliseconds */
  noteFirstToken(now: number): void {
    if (this.#aloneSince !== undefined) {
      this.#rate.observe(this.#prefillTokens, now - this.#aloneSince);
      this.#aloneSince = undefined;
    }
    this.close();
  }

  /** Ends the prefill: the server has nothing of the prompt left to compute. */
  close(): void {
    this.#state.pendingPrefillTokens -= this.#prefillTokens;
    this.#prefillTokens = 0;
  }
}
