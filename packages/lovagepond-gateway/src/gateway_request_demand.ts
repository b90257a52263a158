/**
 * What a request demands of each server: the prompt tokens to be computed there,
 * less the context that is fetched from another server.
 */
import {type RequestWork} from '@lovagepond/load';
import {ContextSources} from './gateway_context_source.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {type ServerState} from './gateway_server_state.js';

/** Largest plausible prompt where the engines' memory is unknown, tokens. */
const MAX_PROMPT_TOKENS = 10_000_000;

/** The work of a request at one server. */
export interface DemandThere {
  readonly work: RequestWork;
  /** Time in which the server fetches context from another one, ms. */
  readonly fetchMs: number;
}

/** The demand of one request. */
export class RequestDemand {
  readonly #req: Pick<AdmittedRequest, 'rule' | 'facts' | 'pool'>;
  readonly #holders: () => readonly ServerState[];
  /** The demand of a request without a prompt, equal at all servers. */
  readonly #plain: DemandThere;
  readonly #hasPrompt: boolean;
  /** Results for one time: a decision asks several times for each server. */
  #now = NaN;
  #byServer = new Map<ServerState, DemandThere>();
  #sources: ContextSources | undefined;

  /**
   * @param req the request
   * @param holders returns the servers that may hold the prompt in cache
   */
  constructor(
    req: Pick<AdmittedRequest, 'rule' | 'facts' | 'pool'>,
    holders: () => readonly ServerState[],
  ) {
    const {kind, forwarding} = req.rule;
    this.#req = req;
    this.#holders = holders;
    this.#hasPrompt = forwarding.sticky && req.facts.parts.length > 0;
    // A plain service is measured by whole answers, streamed or not.
    const isStream = forwarding.sticky && forwarding.streaming;
    this.#plain = {work: {kind, isStream, prefillTokens: 0}, fetchMs: 0};
  }

  /** True if the response is the stream of an engine. */
  get isStream(): boolean {
    return this.#plain.work.isStream;
  }

  /**
   * @param state a server
   * @param now current time, monotonic milliseconds
   * @returns the request's demand there
   */
  at(state: ServerState, now: number): DemandThere {
    if (!this.#hasPrompt) return this.#plain;
    if (now !== this.#now) {
      this.#now = now;
      this.#byServer = new Map();
      this.#sources = undefined;
    }
    const known = this.#byServer.get(state);
    if (known) return known;
    const demand = this.#compute(state, now);
    this.#byServer.set(state, demand);
    return demand;
  }

  #compute(state: ServerState, now: number): DemandThere {
    const {contextTokens, contextFetchTokensPerMs} = this.#req.pool;
    const {parts} = this.#req.facts;
    const tokens = state.coldTokens(parts);
    // A prompt that doesn't fit into the engine's memory can't run there.
    const limit = contextTokens ?? MAX_PROMPT_TOKENS;
    const coldTokens = tokens <= limit ? tokens : 0;
    const {work} = this.#plain;
    if (contextFetchTokensPerMs === undefined || coldTokens === 0) {
      return {work: {...work, prefillTokens: coldTokens}, fetchMs: 0};
    }
    this.#sources ??= new ContextSources(this.#holders(), parts, now);
    // Context that is fetched takes no time of the server's engine.
    const fetched = this.#sources.fetchFor(state, coldTokens).tokens;
    return {
      work: {...work, prefillTokens: coldTokens - fetched},
      fetchMs: fetched / contextFetchTokensPerMs,
    };
  }
}
