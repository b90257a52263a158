/**
 * Chooses the backend server for one attempt: an engine by the prompt, and a
 * plain service by load, in the own availability zone when that makes no
 * difference.
 */
import {type Pool, type Random} from '@lovagepond/core';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type ContextFetch} from './gateway_context_source.js';
import {
  chooseEngine,
  ENGINE_WEIGHTS,
  type EngineWeights,
} from './gateway_engine_choice.js';
import {type PromptPart} from './gateway_headers.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type ServerState} from './gateway_server_state.js';

/** What a choice is made for. */
export interface ChoiceRequest {
  readonly pool: Pool;
  /** Those that take new work. */
  readonly servers: readonly ServerState[];
  /** Those that may hold prompts, draining ones too. */
  readonly holders: readonly ServerState[];
  readonly parts: readonly PromptPart[];
  /** Place by the prompt's parts. */
  readonly sticky: boolean;
  readonly targetLatencyMs: number;
  /** A failure costs a second try; else it costs the caller its answer. */
  readonly repeatable: boolean;
  /** Servers that this request was given to before. */
  readonly tried: ReadonlySet<string>;
}

/** The server, and where it takes the prompt's context over from. */
export interface ServerChoice {
  readonly state: ServerState;
  /** Absent when nothing is taken over. */
  readonly fetch?: ContextFetch;
}

/** Settings of {@link GatewayChoice}. */
export interface ChoiceSettings {
  readonly availabilityZone: string;
  /** How fast engines read prompts. */
  readonly rate: PrefillRate;
  /** Other weights than those in use, to measure what each is worth. */
  readonly weights?: EngineWeights;
}

/**
 * Requests beyond the bounded multiple of the mean that a server may have:
 * with a few requests a server, one more is no imbalance.
 */
const BOUND_SLACK = 2;

/** Requests that count as no difference between two services. */
const SAME_LOAD = 0.5;

/**
 * What a certain failure counts against load, in times of all slots: a request
 * at a service with a free slot loses nothing, one that must not run twice and
 * fails is lost. A repeatable one is tried again while the budget lasts.
 */
const FAILURE_LOAD = {REPEATABLE: 1.5, LOST: 4} as const;

/** Chooses servers. */
export class GatewayChoice {
  readonly #settings: ChoiceSettings;
  readonly #hasher: KeyHasher;
  readonly #random: Random;

  constructor(settings: ChoiceSettings, hasher: KeyHasher, random: Random) {
    this.#settings = settings;
    this.#hasher = hasher;
    this.#random = random;
  }

  /**
   * @param req the request and its pool's servers
   * @param now present time, monotonic milliseconds
   * @returns the server, or undefined when there is none left to try
   */
  choose(req: ChoiceRequest, now: number): ServerChoice | undefined {
    const untried = req.servers.filter(
      ({server}) => !req.tried.has(server.name),
    );
    const healthy = untried.filter(state => !state.isAvoided(now));
    // When all look ill, the fault is as likely on this side.
    const candidates = healthy.length > 0 ? healthy : untried;
    if (candidates.length === 0) return undefined;
    const within = this.#withinBound(candidates, req.pool, now);
    const isChat = req.sticky && req.parts.length > 0;
    return isChat
      ? this.#chooseEngine(within, req, now)
      : {state: this.#chooseService(within, req.repeatable, now)};
  }

  #withinBound(
    candidates: readonly ServerState[],
    pool: Pool,
    now: number,
  ): readonly ServerState[] {
    const total = candidates.reduce((sum, state) => sum + state.load(now), 0);
    const limit = (total / candidates.length) * pool.loadBound + BOUND_SLACK;
    const within = candidates.filter(state => state.load(now) + 1 <= limit);
    return within.length > 0 ? within : candidates;
  }

  #chooseEngine(
    candidates: readonly ServerState[],
    {pool, holders, parts, targetLatencyMs, repeatable}: ChoiceRequest,
    now: number,
  ): ServerChoice | undefined {
    const engineRequest = {
      candidates,
      holders,
      parts,
      targetLatencyMs,
      repeatable,
      readTokensPerMs: this.#settings.rate.tokensPerMs,
      fetchTokensPerMs: pool.contextFetchTokensPerMs,
      weights: this.#settings.weights ?? ENGINE_WEIGHTS,
    };
    return chooseEngine(engineRequest, this.#hasher, now);
  }

  #chooseService(
    candidates: readonly ServerState[],
    repeatable: boolean,
    now: number,
  ): ServerState {
    const weight = repeatable ? FAILURE_LOAD.REPEATABLE : FAILURE_LOAD.LOST;
    const loads = candidates.map(
      state => state.load(now) / state.slots + weight * state.failureRisk(now),
    );
    const least = Math.min(...loads);
    const equal = candidates.filter(
      (state, at) => (loads[at] ?? 0) <= least + SAME_LOAD / state.slots,
    );
    const zone = this.#settings.availabilityZone;
    const inZone = equal.filter(({server}) => server.availabilityZone === zone);
    return this.#random.pick(inZone.length > 0 ? inZone : equal);
  }
}
