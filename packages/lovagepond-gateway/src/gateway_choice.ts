/**
 * Chooses the backend server for one attempt.
 *
 * Engines: where the prompt is warm, unless the wait there would make the
 * first token late and another server reads it in time. A prompt that is warm
 * nowhere has the same home for every router by rendezvous hashing, so that it
 * is read once in the fleet and not once a router.
 * Plain services: the least loaded server, in the own availability zone when
 * that makes no difference.
 */
import {type Pool, type Random} from '@lovagepond/core';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type PromptPart} from './gateway_headers.js';
import {prefixKeys, type ServerState} from './gateway_server_state.js';

/** What a choice is made for. */
export interface ChoiceRequest {
  readonly pool: Pool;
  readonly servers: readonly ServerState[];
  readonly parts: readonly PromptPart[];
  /** Place by the prompt's parts. */
  readonly sticky: boolean;
  readonly targetLatencyMs: number;
  /** Servers that this request was given to before. */
  readonly tried: ReadonlySet<string>;
}

/** Settings of {@link GatewayChoice}. */
export interface ChoiceSettings {
  readonly availabilityZone: string;
  /** How fast engines read prompts. */
  readonly rate: PrefillRate;
}

/**
 * Requests beyond the bounded multiple of the mean that a server may have:
 * with a few requests a server, one more is no imbalance.
 */
const BOUND_SLACK = 2;

/** Requests that count as no difference between two services. */
const SAME_LOAD = 0.5;

/**
 * Reading anew at another server also delays that server's other streams and
 * pushes out what it held, so it counts for more than its own time.
 */
const REREAD_WEIGHT = 1.5;

/**
 * Part of a cold prompt's reading that its home has as an advantage, so that
 * gateways which meet a new prompt at the same time send it to one server.
 */
const HOME_WEIGHT = 0.25;

/**
 * Part of the target latency up to which a wait costs the caller nothing: the
 * rest covers what other routers have sent to the server, unseen from here.
 */
const FREE_WAIT_PART = 0.5;

/** What a millisecond beyond that counts against one of reading anew. */
const LATE_WEIGHT = 3;

/**
 * Weight of a wait that brings no lateness, and of one more request at a
 * server, milliseconds: they decide between servers that are equal else.
 */
const EARLY_WEIGHT = 0.1;
const RUNNING_REQUEST_MS = 0.5;

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
  choose(req: ChoiceRequest, now: number): ServerState | undefined {
    const untried = req.servers.filter(
      ({server}) => !req.tried.has(server.name),
    );
    const well = untried.filter(state => !state.isAvoided(now));
    // When all look ill, the fault is as likely on this side.
    const candidates = well.length > 0 ? well : untried;
    if (candidates.length < 2) return candidates[0];
    const within = this.#withinBound(candidates, req.pool, now);
    const isChat = req.sticky && req.parts.length > 0;
    return isChat
      ? this.#chooseEngine(within, req, now)
      : this.#chooseService(within, now);
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

  #chooseService(
    candidates: readonly ServerState[],
    now: number,
  ): ServerState | undefined {
    const loads = candidates.map(state => state.load(now) / state.slots);
    const least = Math.min(...loads);
    const equal = candidates.filter(
      (state, at) => (loads[at] ?? 0) <= least + SAME_LOAD / state.slots,
    );
    const zone = this.#settings.availabilityZone;
    const near = equal.filter(({server}) => server.availabilityZone === zone);
    return this.#random.pick(near.length > 0 ? near : equal);
  }

  #chooseEngine(
    candidates: readonly ServerState[],
    req: ChoiceRequest,
    now: number,
  ): ServerState | undefined {
    const keys = prefixKeys(req.parts);
    const home = this.#findHome(candidates, keys);
    const cold = candidates.map(state => state.coldTokens(keys, req.parts));
    const least = Math.min(...cold);
    let best: ServerState | undefined;
    let bestCost = Infinity;
    candidates.forEach((state, at) => {
      const tokens = cold[at] ?? 0;
      const avoidable = state === home ? 0 : HOME_WEIGHT * least;
      const rereadTokens = tokens - least + avoidable;
      const cost = this.#cost(state, req, tokens, rereadTokens, now);
      if (cost >= bestCost) return;
      best = state;
      bestCost = cost;
    });
    return best;
  }

  /**
   * The last part belongs to the request alone; what it shares with others
   * ends with the part before it.
   */
  #findHome(
    candidates: readonly ServerState[],
    keys: readonly string[],
  ): ServerState | undefined {
    const shared = keys.at(-2) ?? keys.at(-1) ?? '';
    let home: ServerState | undefined;
    let highest = -1;
    for (const state of candidates) {
      const {place} = state.server;
      if (!place) continue;
      const text = `${shared}\u0000${place}`;
      const {low} = this.#hasher.hash(text);
      if (low <= highest) continue;
      highest = low;
      home = state;
    }
    return home;
  }

  /** What the choice costs this caller and others, in milliseconds. */
  #cost(
    state: ServerState,
    req: ChoiceRequest,
    coldTokens: number,
    rereadTokens: number,
    now: number,
  ): number {
    const rate = this.#settings.rate.tokensPerMs;
    const firstMs = coldTokens / rate + state.readingMs(rate, now);
    const lateMs = firstMs - req.targetLatencyMs * FREE_WAIT_PART;
    return (
      (rereadTokens / rate) * REREAD_WEIGHT +
      Math.max(0, lateMs) * LATE_WEIGHT +
      firstMs * EARLY_WEIGHT +
      state.load(now) * RUNNING_REQUEST_MS
    );
  }
}
