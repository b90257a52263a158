/**
 * Selects the backend server for one attempt: an engine by its cached prompts
 * and load; a plain service by load and failures, preferring the gateway's
 * availability zone among equally loaded ones.
 */
import {type Pool, type Random} from '@lovagepond/core';
import {type RequestWork} from '@lovagepond/load';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type ContextFetch} from './gateway_context_source.js';
import {
  chooseEngine,
  ENGINE_WEIGHTS,
  type EngineWeights,
} from './gateway_engine_choice.js';
import {type PromptPart} from './gateway_headers.js';
import {LoadLimits, type PoolLoad} from './gateway_load_limit.js';
import {type PrefillRate} from './gateway_prefill_rate.js';
import {type ServerState} from './gateway_server_state.js';

/** The request and the servers to select from. */
export interface ChoiceRequest {
  readonly pool: Pool;
  /** Servers that accept new requests. */
  readonly servers: readonly ServerState[];
  /** Servers that may hold prompts in cache, draining ones included. */
  readonly holders: readonly ServerState[];
  readonly parts: readonly PromptPart[];
  /** Select by cached prompt parts. */
  readonly sticky: boolean;
  readonly targetLatencyMs: number;
  /** Absent: all requests count as one kind of streams or calls. */
  readonly work?: Omit<RequestWork, 'prefillTokens'>;
  /** A failed request may be retried; otherwise its response is lost. */
  readonly repeatable: boolean;
  /** Names of the servers that earlier attempts of this request used. */
  readonly tried: ReadonlySet<string>;
  /** All servers of the pool, whose mean load limits each of them. */
  readonly listed: readonly ServerState[];
}

/** What a gateway assumed of a server when it selected it, for logs. */
export interface AssumedLoad {
  /** Requests of all gateways at the server. */
  readonly load: number;
  /** Requests that the server may have, the new one included; or Infinity. */
  readonly limit: number;
  /** Servers of which the limit's mean was taken. */
  readonly servers: number;
  /**
   * Time since other gateways' requests there were last reported, milliseconds;
   * undefined without a report.
   */
  readonly ageMs: number | undefined;
}

/** The selected server, and the server it fetches the prompt's context from. */
export interface ServerChoice {
  readonly state: ServerState;
  /** Absent for plain services. */
  readonly fetch?: ContextFetch;
  readonly assumed: AssumedLoad;
}

export interface ChoiceSettings {
  readonly availabilityZone: string;
  /** The engines' estimated prefill rate. */
  readonly rate: PrefillRate;
  /** Replaces {@link ENGINE_WEIGHTS}, for experiments. */
  readonly weights?: EngineWeights;
  /** Limits on the servers' requests, if anything else samples them, too. */
  readonly limits?: LoadLimits;
}

/** Load difference, in requests, below which two services count as equal. */
const SAME_LOAD = 0.5;

/**
 * Cost of a certain failure in units of load, where 1 is a server with all
 * slots taken. Load costs nothing while a slot is free, but a failed request
 * that must not run twice is lost. A repeatable one is retried while the retry
 * budget lasts.
 */
const FAILURE_LOAD = {REPEATABLE: 1.5, LOST: 4} as const;

/**
 * Difference of predicted times, as a part of the shortest service time, below
 * which two services count as equal and their loads decide. Estimates of equal
 * servers differ by less; with one request waiting at a server of two or three
 * slots, the time differs by more.
 */
const SAME_TIME_PART = 0.25;

/**
 * Part of its proportional requests that a slower service still gets while it
 * is idle. Without them nothing shows that it has recovered: in a simulation of
 * two gateways, two of four services had 0.31 instead of 0.5 of the requests
 * from 2 to 6 s after the end of a slowdown.
 */
const TRIAL_PART = 0.1;

/** Longest predicted time of such a request, as a part of its target. */
const TRIAL_TARGET_PART = 0.5;

/** A service with the predicted time of a request, failure risk included. */
interface PredictedService {
  readonly state: ServerState;
  readonly timeMs: number;
  readonly load: number;
  /** Shortest service time of all candidates. */
  readonly shortestMs: number;
}

export class GatewayChoice {
  readonly #settings: ChoiceSettings;
  readonly #hasher: KeyHasher;
  readonly #random: Random;
  readonly #limits: LoadLimits;

  constructor(settings: ChoiceSettings, hasher: KeyHasher, random: Random) {
    this.#settings = settings;
    this.#limits = settings.limits ?? new LoadLimits();
    this.#hasher = hasher;
    this.#random = random;
  }

  /**
   * @param req the request and its pool's servers
   * @param now current time, monotonic milliseconds
   * @returns the server, or undefined when no untried one is left
   */
  choose(req: ChoiceRequest, now: number): ServerChoice | undefined {
    const untried = req.servers.filter(
      ({server}) => !req.tried.has(server.name),
    );
    const healthy = untried.filter(state => !state.isAvoided(now));
    // If every server has failed, the cause may be on the gateway's side.
    const candidates = healthy.length > 0 ? healthy : untried;
    if (candidates.length === 0) return undefined;
    const poolLoad = this.#limits.of(req.listed, req.pool, now);
    const within = withinLimit(candidates, poolLoad, now);
    const isChat = req.sticky && req.parts.length > 0;
    const chosen = isChat
      ? this.#chooseEngine(within, req, now)
      : {state: this.#chooseService(within, req, now)};
    if (!chosen) return undefined;
    const {state} = chosen;
    const ageMs = state.reportAgeMs(now);
    const load = state.knownRequests(now);
    const limit = poolLoad.limitOf(state);
    const {servers} = poolLoad;
    return {...chosen, assumed: {load, limit, servers, ageMs}};
  }

  #chooseEngine(
    candidates: readonly ServerState[],
    req: ChoiceRequest,
    now: number,
  ): Omit<ServerChoice, 'assumed'> | undefined {
    const {pool, holders, parts, targetLatencyMs, repeatable} = req;
    const engineRequest = {
      candidates,
      holders,
      parts,
      targetLatencyMs,
      repeatable,
      work: {...workOf(req), prefillTokens: 0},
      prefillTokensPerMs: this.#settings.rate.tokensPerMs,
      fetchTokensPerMs: pool.contextFetchTokensPerMs,
      weights: this.#settings.weights ?? ENGINE_WEIGHTS,
    };
    return chooseEngine(engineRequest, this.#hasher, now);
  }

  #chooseService(
    candidates: readonly ServerState[],
    req: ChoiceRequest,
    now: number,
  ): ServerState {
    const {repeatable} = req;
    const weight = repeatable ? FAILURE_LOAD.REPEATABLE : FAILURE_LOAD.LOST;
    const {kind} = workOf(req);
    const work = {kind, prefillTokens: 0, isStream: false};
    const services = predictServices(candidates, work, weight, now);
    if (!services) return this.#chooseByLoad(candidates, weight, now);
    const {fastest, others} = splitByTime(services);
    const limitMs = req.targetLatencyMs * TRIAL_TARGET_PART;
    const trial = this.#pickTrial(others, candidates.length, limitMs);
    return trial ?? this.#chooseByLoad(fastest, weight, now);
  }

  /** Selects a slower service for a trial, for a small part of the requests. */
  #pickTrial(
    others: readonly PredictedService[],
    candidates: number,
    limitMs: number,
  ): ServerState | undefined {
    if (others.length === 0) return undefined;
    const part = (others.length / candidates) * TRIAL_PART;
    if (this.#random.next() >= part) return undefined;
    const {state, timeMs, load} = this.#random.pick(others);
    return load < 1 && timeMs <= limitMs ? state : undefined;
  }

  #chooseByLoad(
    candidates: readonly ServerState[],
    weight: number,
    now: number,
  ): ServerState {
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

/** @returns the servers with room for one more request; all if none has */
function withinLimit(
  servers: readonly ServerState[],
  poolLoad: PoolLoad,
  now: number,
): readonly ServerState[] {
  const within = servers.filter(state => {
    const requests = state.knownRequests(now) + state.awaitingPermit;
    return requests + 1 <= poolLoad.limitOf(state);
  });
  return within.length > 0 ? within : servers;
}

function workOf({
  work,
  sticky,
}: ChoiceRequest): Omit<RequestWork, 'prefillTokens'> {
  return work ?? {kind: '', isStream: sticky};
}

/**
 * @param candidates the services to select from
 * @param work what the request asks of a service
 * @param failureWeight cost of a certain failure, in service times
 * @param now current time, monotonic milliseconds
 * @returns the services with their predicted times; undefined while a service
 *     time is unknown, or when the servers' own estimates aren't used
 */
function predictServices(
  candidates: readonly ServerState[],
  work: RequestWork,
  failureWeight: number,
  now: number,
): readonly PredictedService[] | undefined {
  const serviceMs = candidates.map(({usesCapacity, capacity}) =>
    usesCapacity ? (capacity.serviceMs(work.kind, now) ?? NaN) : NaN,
  );
  const shortestMs = Math.min(...serviceMs);
  if (Number.isNaN(shortestMs)) return undefined;
  return candidates.map(state => {
    const view = state.loadView(now);
    const {firstResponseMs} = state.capacity.predict(view, work, now);
    const failureMs = failureWeight * state.failureRisk(now) * shortestMs;
    const timeMs = firstResponseMs + failureMs;
    return {state, timeMs, load: view.load, shortestMs};
  });
}

/** Separates the services of about the shortest time from the others. */
function splitByTime(services: readonly PredictedService[]): {
  readonly fastest: readonly ServerState[];
  readonly others: readonly PredictedService[];
} {
  const shortestMs = services[0]?.shortestMs ?? 0;
  const leastMs = Math.min(...services.map(({timeMs}) => timeMs));
  const limitMs = leastMs + SAME_TIME_PART * shortestMs;
  return {
    fastest: services
      .filter(({timeMs}) => timeMs <= limitMs)
      .map(({state}) => state),
    others: services.filter(({timeMs}) => timeMs > limitMs),
  };
}
