/**
 * Keeps account of one request's prompt at the server that reads it: what the
 * server has to read, when it has read it, and how fast it did.
 */
import {type ContextFetch} from './gateway_context_source.js';
import {type PromptPart} from './gateway_headers.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type GatewayReadings} from './gateway_readings.js';
import {type ServerState} from './gateway_server_state.js';

/** What the accounts of all requests share. */
export interface AccountParts {
  readonly readings: GatewayReadings;
  readonly rate: PrefillRate;
}

/** One prompt at one server. */
export class PromptAccount {
  readonly #state: ServerState;
  readonly #rate: PrefillRate;
  #unreadTokens: number;
  /** Set while the server has nothing else to read, as far as is known. */
  #readsAloneSince: number | undefined;

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
    {rate, readings}: AccountParts,
    now: number,
  ) {
    this.#state = state;
    this.#rate = rate;
    const ids = parts.map(({id}) => id);
    const coldTokens = state.coldTokens(parts);
    const ownTokens = parts.at(-1)?.tokens ?? 0;
    this.#unreadTokens = coldTokens - (fetch?.tokens ?? 0);
    const waitMs = state.readingMs(rate.tokensPerMs, now);
    const readsAlone = waitMs === 0 && !fetch?.source;
    this.#readsAloneSince = readsAlone ? now : undefined;
    readings.note(state, ids.slice(0, -1), {
      newTokens: coldTokens - ownTokens,
      unreadTokens: Math.max(0, this.#unreadTokens - ownTokens),
    });
    state.readingTokens += this.#unreadTokens;
    const readingMs = this.#unreadTokens / rate.tokensPerMs;
    state.noteWarm(ids, now + waitMs + readingMs);
  }

  /** @param now present time, monotonic milliseconds */
  noteFirstToken(now: number): void {
    if (this.#readsAloneSince !== undefined) {
      this.#rate.observe(this.#unreadTokens, now - this.#readsAloneSince);
      this.#readsAloneSince = undefined;
    }
    this.close();
  }

  /** The server has nothing more to read of the prompt. */
  close(): void {
    this.#state.readingTokens -= this.#unreadTokens;
    this.#unreadTokens = 0;
  }
}
