/**
 * Keeps account of one request's prompt at the server that reads it: what the
 * server has to read, when it has read it, and how fast it did.
 */
import {type ContextFetch} from './gateway_context_source.js';
import {type PromptPart} from './gateway_headers.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type GatewayLoadReports} from './gateway_load_reports.js';
import {type ServerState} from './gateway_server_state.js';

/** What the accounts of all requests share. */
export interface PrefillTrackerDependencies {
  readonly readings: GatewayLoadReports;
  readonly rate: PrefillRate;
}

/** One prompt at one server. */
export class PrefillTracker {
  readonly #state: ServerState;
  readonly #rate: PrefillRate;
  #prefillTokens: number;
  /** Set while the server has nothing else to read, as far as is known. */
  #aloneSince: number | undefined;

  /**
   * Opens the account as the request leaves for the server.
   *
   * @param state the server
   * @param parts the prompt's parts
   * @param fetch what the server takes over from another one
   * @param shared what all accounts share
   * @param now present time, monotonic milliseconds
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

  /** @param now present time, monotonic milliseconds */
  noteFirstToken(now: number): void {
    if (this.#aloneSince !== undefined) {
      this.#rate.observe(this.#prefillTokens, now - this.#aloneSince);
      this.#aloneSince = undefined;
    }
    this.close();
  }

  /** The server has nothing more to read of the prompt. */
  close(): void {
    this.#state.pendingPrefillTokens -= this.#prefillTokens;
    this.#prefillTokens = 0;
  }
}
