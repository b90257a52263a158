/**
 * Estimates how fast one server currently is, and predicts how long requests
 * take there.
 */
import {FirstTokenLatency} from './load_first_token_latency.js';
import {KindEstimates} from './load_kind_estimates.js';
import {LoadEstimate, type ObservedAverage} from './load_estimate.js';
import {type ObservedCapacity, type PoolMeans} from './load_pool_means.js';
import {type PredictedTimes} from './load_types.js';

/** What a request asks of a server. */
export interface RequestWork {
  /** Name of the request kind. */
  readonly kind: string;
  /** Prompt tokens that the server has to compute; 0 at a plain service. */
  readonly prefillTokens: number;
  /** The response of an engine that sends one token after the other. */
  readonly isStream: boolean;
}

/** A server's load from the requests of all gateways, as far as is known. */
export interface ServerLoadView {
  /** Requests that the server processes concurrently, at least 1. */
  readonly slots: number;
  /** Requests at the server. */
  readonly load: number;
  /** Prompt tokens at the server that are not computed yet. */
  readonly pendingPrefillTokens: number;
}

/** Bounds of a reported duration of work, percent of the usual one. */
export const SLOWDOWN_PERCENT = {MIN: 10, USUAL: 100, MAX: 10_000} as const;

/**
 * Half-life of the difference between a reported slowdown and the usual speed,
 * milliseconds: about the duration of a longer request, so that a server whose
 * slow phase has ended is used again without a further report.
 */
const SLOWDOWN_HALF_LIFE_MS = 700;

/**
 * For fewer tokens, the time to the first token shows the latency of an idle
 * server rather than its prefill rate.
 */
const MIN_OBSERVED_TOKENS = 1_000;

/**
 * Smallest part of the time to the first token that counts as prefill, however
 * long the latency without prefill is estimated to be.
 */
const MIN_PREFILL_PART = 0.25;

/**
 * Largest number of tokens that is plausible for a prompt. Observations of more
 * tokens are ignored, and predictions use this number instead.
 */
const MAX_TOKENS = 10_000_000;

/** Longest plausible duration, milliseconds: one hour. */
const MAX_DURATION_MS = 3_600_000;

/** Largest plausible number of requests at a server. */
const MAX_REQUESTS = 1_000_000;

/** The estimates of one server, for operators. */
export interface CapacityDescription {
  readonly prefillTokensPerMs: number;
  /** 1 is the usual duration of work. */
  readonly slowdown: number;
  /** Milliseconds at the usual speed, by request kind. */
  readonly serviceMs: Readonly<Record<string, number>>;
  /** Milliseconds at the usual speed, by request kind. */
  readonly runMs: Readonly<Record<string, number>>;
}

/** Estimates of one incarnation of one server. */
export class ServerCapacity {
  readonly #initialRate: number;
  readonly #poolMeans: PoolMeans | undefined;
  readonly #rate = new LoadEstimate();
  readonly #latency = new FirstTokenLatency();
  readonly #services = new KindEstimates();
  readonly #runs = new KindEstimates();
  #slowdownAtReport = 1;
  #slowdownReportedAt = 0;

  /**
   * @param prefillTokensPerMs initial prefill rate, tokens per millisecond
   * @param poolMeans means of the server's pool, used before this server has
   *     observations and after a time without them
   */
  constructor(prefillTokensPerMs: number, poolMeans?: PoolMeans) {
    this.#initialRate = prefillTokensPerMs;
    this.#poolMeans = poolMeans;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns what was observed here, without the pool's means
   */
  observed(now: number): ObservedCapacity {
    return {
      prefillRate: this.#rate.observed(now),
      serviceMs: this.#services.observed(now),
      runMs: this.#runs.observed(now),
    };
  }

  /**
   * @param percent reported duration of work, percent of the usual one; ignored
   *     outside of {@link SLOWDOWN_PERCENT}
   * @param now current time, monotonic milliseconds
   */
  noteSlowdown(percent: number, now: number): void {
    const {MIN, USUAL, MAX} = SLOWDOWN_PERCENT;
    if (!(percent >= MIN && percent <= MAX)) return;
    this.#slowdownAtReport = percent / USUAL;
    this.#slowdownReportedAt = now;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the current duration of work relative to the usual one
   */
  slowdown(now: number): number {
    if (this.#slowdownAtReport === 1) return 1;
    const age = Math.max(0, now - this.#slowdownReportedAt);
    const kept = 0.5 ** (age / SLOWDOWN_HALF_LIFE_MS);
    return 1 + (this.#slowdownAtReport - 1) * kept;
  }

  /**
   * @param tokens tokens pending at the server when the prompt was sent, and
   *     the prompt's own ones
   * @param durationMs time to the first token, milliseconds
   * @param now current time, monotonic milliseconds
   */
  notePrefill(tokens: number, durationMs: number, now: number): void {
    if (!(tokens >= 0 && tokens <= MAX_TOKENS)) return;
    if (!isDuration(durationMs)) return;
    const usualMs = durationMs / this.slowdown(now);
    if (tokens < MIN_OBSERVED_TOKENS) {
      this.#latency.observe(usualMs);
      return;
    }
    this.#latency.limit(usualMs);
    const prefillMs = Math.max(
      durationMs - this.#latencyMs(now),
      durationMs * MIN_PREFILL_PART,
    );
    const observed = (tokens / prefillMs) * this.slowdown(now);
    this.#rate.observe(observed, this.#referenceRate(now), now);
  }

  /**
   * @param kind name of the request kind
   * @param durationMs time to the complete answer, milliseconds
   * @param loadAtSend requests at the server before this one was sent
   * @param slots requests that the server processes concurrently
   * @param now current time, monotonic milliseconds
   */
  noteService(
    kind: string,
    durationMs: number,
    loadAtSend: number,
    slots: number,
    now: number,
  ): void {
    if (!isDuration(durationMs)) return;
    const load = between0And(MAX_REQUESTS, loadAtSend);
    const rounds = Math.max(1, (load + 1) / slotsOf(slots));
    const observed = durationMs / rounds / this.slowdown(now);
    const mean = this.#poolMeans?.at(now).serviceMs.get(kind);
    this.#services.observe(kind, observed, mean, now);
  }

  /**
   * @param kind name of the request kind
   * @param durationMs time from the first token to the end, milliseconds
   * @param now current time, monotonic milliseconds
   */
  noteRun(kind: string, durationMs: number, now: number): void {
    if (!isDuration(durationMs)) return;
    const observed = durationMs / this.slowdown(now);
    const mean = this.#poolMeans?.at(now).runMs.get(kind);
    this.#runs.observe(kind, observed, mean, now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the current prefill rate, tokens per millisecond
   */
  prefillTokensPerMs(now: number): number {
    return this.#usualRate(now) / this.slowdown(now);
  }

  /**
   * @param kind name of the request kind
   * @param now current time, monotonic milliseconds
   * @returns the current time that a call takes once it has a slot,
   *     milliseconds; undefined if unknown
   */
  serviceMs(kind: string, now: number): number | undefined {
    const mean = this.#poolMeans?.at(now).serviceMs.get(kind);
    const usual = this.#services.valueAt(kind, mean, now);
    return usual === undefined ? undefined : usual * this.slowdown(now);
  }

  /**
   * @param kind name of the request kind
   * @param now current time, monotonic milliseconds
   * @returns the current time from the first token of a stream to its end,
   *     milliseconds; undefined if unknown
   */
  runMs(kind: string, now: number): number | undefined {
    const mean = this.#poolMeans?.at(now).runMs.get(kind);
    const usual = this.#runs.valueAt(kind, mean, now);
    return usual === undefined ? undefined : usual * this.slowdown(now);
  }

  /**
   * @param view the server's present load
   * @param work what the request asks of the server
   * @param now current time, monotonic milliseconds
   * @returns the request's times if it were sent now; unknown estimates count
   *     as 0
   */
  predict(
    view: ServerLoadView,
    work: RequestWork,
    now: number,
  ): PredictedTimes {
    const slotMs = this.#slotMs(work, now);
    const startMs = Math.max(
      waitForSlotMs(view, slotMs),
      this.#waitForPrefillMs(view, work, now),
    );
    const prefillMs = this.#prefillMs(work.prefillTokens, now);
    if (work.isStream) {
      const firstResponseMs = startMs + prefillMs + this.#latencyMs(now);
      return {startMs, firstResponseMs, doneMs: firstResponseMs + slotMs};
    }
    const doneMs = startMs + Math.max(prefillMs, slotMs);
    return {startMs, firstResponseMs: doneMs, doneMs};
  }

  /**
   * @param work what the request asks of the server
   * @param now current time, monotonic milliseconds
   * @returns the request's times if the server were idle
   */
  predictIdle(work: RequestWork, now: number): PredictedTimes {
    return this.predict(IDLE, work, now);
  }

  /**
   * @param work what the request asks of the server
   * @param slots requests that the server processes concurrently
   * @param now current time, monotonic milliseconds
   * @returns the server's time that the request takes, milliseconds
   */
  workMs(work: RequestWork, slots: number, now: number): number {
    const prefillMs = this.#prefillMs(work.prefillTokens, now);
    if (work.isStream) return prefillMs;
    return Math.max(prefillMs, this.#slotMs(work, now) / slotsOf(slots));
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the estimates, for the state dump
   */
  describe(now: number): CapacityDescription {
    const {serviceMs, runMs} = this.observed(now);
    return {
      prefillTokensPerMs: this.prefillTokensPerMs(now),
      slowdown: this.slowdown(now),
      serviceMs: valuesOf(serviceMs),
      runMs: valuesOf(runMs),
    };
  }

  /** Time to the first token of a prompt that is cached, if idle. */
  #latencyMs(now: number): number {
    return this.#latency.value * this.slowdown(now);
  }

  #referenceRate(now: number): number {
    return this.#poolMeans?.at(now).prefillTokensPerMs ?? this.#initialRate;
  }

  #usualRate(now: number): number {
    const reference = this.#referenceRate(now);
    return this.#rate.valueAt(reference, now) ?? reference;
  }

  /** Time for which the request occupies a slot, besides its prefill. */
  #slotMs({kind, isStream}: RequestWork, now: number): number {
    return (isStream ? this.runMs(kind, now) : this.serviceMs(kind, now)) ?? 0;
  }

  #prefillMs(tokens: number, now: number): number {
    if (!(tokens > 0)) return 0;
    return Math.min(MAX_TOKENS, tokens) / this.prefillTokensPerMs(now);
  }

  /** A request without a prompt doesn't wait for the prompts of others. */
  #waitForPrefillMs(
    {pendingPrefillTokens}: ServerLoadView,
    {isStream, prefillTokens}: RequestWork,
    now: number,
  ): number {
    const hasPrompt = isStream || prefillTokens > 0;
    return hasPrompt ? this.#prefillMs(pendingPrefillTokens, now) : 0;
  }
}

const IDLE: ServerLoadView = Object.freeze({
  slots: 1,
  load: 0,
  pendingPrefillTokens: 0,
});

function waitForSlotMs({load, slots}: ServerLoadView, slotMs: number): number {
  const count = slotsOf(slots);
  const waiting = between0And(MAX_REQUESTS, load) - count + 1;
  return (Math.max(0, waiting) / count) * slotMs;
}

function valuesOf(
  averages: ReadonlyMap<string, ObservedAverage>,
): Record<string, number> {
  return Object.fromEntries(
    [...averages].map(([kind, {value}]) => [kind, value]),
  );
}

/** @returns the value within its bounds; 0 for NaN */
function between0And(max: number, value: number): number {
  return value > 0 ? Math.min(max, value) : 0;
}

function slotsOf(slots: number): number {
  return slots >= 1 ? Math.min(MAX_REQUESTS, slots) : 1;
}

function isDuration(durationMs: number): boolean {
  return durationMs > 0 && durationMs <= MAX_DURATION_MS;
}
