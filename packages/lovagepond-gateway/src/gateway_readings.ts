/**
 * Tells the other gateways which prompts servers read for this one, and takes
 * in what they tell.
 */
import {type lovagepond} from '@lovagepond/protocol';
import {type GatewayFleet} from './gateway_fleet.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type ServerState} from './gateway_server_state.js';

type WireReading = lovagepond.v1.PromptReading.$Properties;
type WireDigest = lovagepond.v1.ReadingDigest.$Properties;

/** Tokens of prefixes at one server, as far as is known here. */
export interface NotedTokens {
  /** What it didn't hold before. */
  readonly newTokens: number;
  /** What of that it has to read, as it can't take it over. */
  readonly unreadTokens: number;
}

/** Fewer tokens are read before the others could hear of it. */
const MIN_TOLD_TOKENS = 64;

/** Collects and applies readings. */
export class GatewayReadings {
  readonly #node: string;
  readonly #fleet: GatewayFleet;
  readonly #rate: PrefillRate;
  #collected: WireReading[] = [];

  /**
   * @param node this gateway's name, under which its own reports come back
   * @param fleet the servers
   * @param rate how fast engines read
   */
  constructor(node: string, fleet: GatewayFleet, rate: PrefillRate) {
    this.#node = node;
    this.#fleet = fleet;
    this.#rate = rate;
  }

  /**
   * @param state the server that a prompt goes to
   * @param sharedIds the prompt's parts that other requests share
   * @param tokens what of them is new there, and what it has to read
   */
  note(
    state: ServerState,
    sharedIds: readonly string[],
    {newTokens, unreadTokens}: NotedTokens,
  ): void {
    if (sharedIds.length === 0 || newTokens < MIN_TOLD_TOKENS) return;
    const prefix = sharedIds.map(id => `/${id}`).join('');
    const backendServer = state.server.name;
    this.#collected.push({backendServer, prefix, tokens: unreadTokens});
  }

  /** @returns what to report, which is then forgotten */
  takeCollected(): readonly WireReading[] {
    const collected = this.#collected;
    this.#collected = [];
    return collected;
  }

  /**
   * @param digest what control passes on
   * @param now present time, monotonic milliseconds
   */
  apply(digest: WireDigest, now: number): void {
    for (const {node, readings} of digest.reports ?? []) {
      if (node === this.#node) continue;
      for (const reading of readings ?? []) this.#applyOne(reading, now);
    }
  }

  #applyOne({backendServer, prefix, tokens}: WireReading, now: number): void {
    const state = this.#fleet.find(backendServer ?? '');
    if (!state) return;
    const {tokensPerMs} = this.#rate;
    state.noteOthersReading((tokens ?? 0) / tokensPerMs, now);
    const readAt = now + state.readingMs(tokensPerMs, now);
    state.noteWarm((prefix ?? '').split('/').slice(1), readAt);
  }
}
