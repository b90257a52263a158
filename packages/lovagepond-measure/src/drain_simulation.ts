/**
 * Simulates the last seconds of a gateway in virtual time: which requests it
 * admits by an estimate of their durations, and which of them its exit cuts.
 */
import {Random} from '@lovagepond/core';
import {
  type DrainEnd,
  type DrainEstimator,
  type DrainRequest,
} from './drain_estimators.js';
import {drawLength} from './simulated_draws.js';
import {type DrainKind, type DrainMix} from './drain_mixes.js';
import {VirtualTime} from './virtual_time.js';

/** Time from the stop signal to the exit, milliseconds. */
export const DRAIN_MS = 7_500;

/** Time between the expected end and the process's exit, milliseconds. */
const END_MARGIN_MS = 300;

/** Shares of the requests that end early, and after how long, ms. */
const REJECTED = {SHARE: 0.02, MS: 2} as const;
const CANCELLED = {SHARE: 0.01, MS: 100} as const;

/** Time of an event, milliseconds, and the spread of one event's. */
const EVENT_MS = {MIN: 20, MAX: 40, SPREAD: 0.3} as const;

/** A prompt of another request is computed between two events. */
const PAUSE = {SHARE: 0.003, MIN_MS: 100, MAX_MS: 400} as const;

const PROMPT = {TOKENS_PER_MS: 44.2, CACHED: 0.7} as const;

/** Mean waits before the first byte, milliseconds. */
const WAIT = {USUAL_MS: 40, BUSY_MS: 250, BUSY_SHARE: 0.05} as const;

/** What happens around the stop. */
export interface DrainScenario {
  readonly name: string;
  /** Time for which the process has served requests, milliseconds. */
  readonly servedMs: number;
  /** Routes get other names so long before the stop, milliseconds. */
  readonly renamedMs?: number;
  /** Servers take `slowdown` times as long from so long after the stop, ms. */
  readonly slowerFromMs?: number;
  readonly slowdown?: number;
}

/** Requests that arrived during drains. */
export interface DrainResult {
  ended: number;
  cut: number;
  /** Cut requests by the name of their kind. */
  readonly cutKinds: Set<string>;
  /** Refused, although they would have ended before the exit. */
  refusedInVain: number;
  refusedRightly: number;
}

interface SimulatedRequest extends DrainRequest {
  readonly kind: string;
  readonly arrivesAt: number;
  readonly deadlineMs: number;
  readonly end: DrainEnd;
}

/** One gateway from its start to its exit. */
export class DrainSimulation {
  readonly #mix: DrainMix;
  readonly #scenario: DrainScenario;
  readonly #random: Random;
  readonly #requests: SimulatedRequest[] = [];

  /**
   * @param mix the requests
   * @param scenario what happens around the stop
   * @param seed seed of all draws
   */
  constructor(mix: DrainMix, scenario: DrainScenario, seed: number) {
    this.#mix = mix;
    this.#scenario = scenario;
    this.#random = new Random(seed);
    for (const kind of mix.kinds) this.#drawArrivals(kind);
  }

  /**
   * @param estimator knows nothing yet
   * @param result counts the requests that arrive during the drain
   */
  run(estimator: DrainEstimator, result: DrainResult): void {
    const time = new VirtualTime();
    const {servedMs} = this.#scenario;
    const exitAt = servedMs + DRAIN_MS;
    for (const req of this.#requests) {
      time.at(req.arrivesAt, () => {
        const isDraining = time.now >= servedMs;
        if (isDraining && !count(req, estimator, exitAt, result)) return;
        time.after(req.end.totalMs, () => {
          estimator.noteEnd(req, req.end, time.now);
        });
      });
    }
    time.runUntil(exitAt);
  }

  #drawArrivals(kind: DrainKind): void {
    const gapMs = (1_000 * this.#mix.gateways) / kind.perSecond;
    const {servedMs, renamedMs = -DRAIN_MS} = this.#scenario;
    let at = this.#exponential(gapMs);
    while (at < servedMs + DRAIN_MS) {
      const isRenamed = at >= servedMs - renamedMs;
      this.#requests.push({
        ...this.#draw(kind, at),
        route: isRenamed ? `${kind.route} renamed` : kind.route,
      });
      at += this.#exponential(gapMs);
    }
  }

  #draw(kind: DrainKind, arrivesAt: number): SimulatedRequest {
    const {name, route, pool, deadlineMs, tokens, tellsTokens} = kind;
    const isStream = tokens !== undefined;
    const outputTokens = tokens ? drawLength(this.#random, tokens) : undefined;
    const end = isStream
      ? this.#stream(kind, outputTokens ?? 1, arrivesAt)
      : this.#plain(kind, arrivesAt);
    return {
      kind: name,
      route,
      pool,
      isStream,
      outputTokens: tellsTokens === false ? undefined : outputTokens,
      arrivesAt,
      deadlineMs,
      end: this.#ended(end, deadlineMs),
    };
  }

  #ended(end: Omit<DrainEnd, 'isAnswered'>, deadlineMs: number): DrainEnd {
    const draw = this.#random.next();
    const limit = (ms: number): DrainEnd => ({
      isAnswered: false,
      firstMs: Math.min(ms, end.firstMs),
      totalMs: Math.min(ms, end.totalMs),
      events: 0,
    });
    if (draw < REJECTED.SHARE) return limit(REJECTED.MS);
    if (draw < REJECTED.SHARE + CANCELLED.SHARE) return limit(CANCELLED.MS);
    if (end.totalMs > deadlineMs) return limit(deadlineMs);
    return {isAnswered: true, ...end};
  }

  #plain(
    {workMs = 0, spread = 0}: DrainKind,
    arrivesAt: number,
  ): Omit<DrainEnd, 'isAnswered'> {
    const max = 100 * workMs;
    const drawn = drawLength(this.#random, {mean: workMs, spread, max});
    const at = this.#work(arrivesAt, this.#waitMs() + drawn);
    const totalMs = at - arrivesAt;
    return {firstMs: totalMs, totalMs, events: 0};
  }

  #stream(
    {promptTokens = 0, ownTokens = 0, fullShare}: DrainKind,
    tokens: number,
    arrivesAt: number,
  ): Omit<DrainEnd, 'isAnswered'> {
    const isCached = this.#random.next() < PROMPT.CACHED;
    const cold = isCached ? ownTokens : promptTokens + ownTokens;
    const firstWork = this.#waitMs() + cold / PROMPT.TOKENS_PER_MS;
    const isFull = this.#random.next() < fullShare;
    const used = isFull ? 1 : 0.5 * this.#random.next() ** 2;
    const perEvent = this.#mix.tokensPerEvent;
    const events = Math.max(1, Math.ceil((tokens * used) / perEvent));
    const pace = this.#paceMs();
    const firstAt = this.#work(arrivesAt, firstWork);
    let at = firstAt;
    for (let event = 1; event < events; event += 1) {
      at = this.#work(at, this.#eventMs(pace));
    }
    return {firstMs: firstAt - arrivesAt, totalMs: at - arrivesAt, events};
  }

  /** Returns when work that begins at a time has ended. */
  #work(at: number, ms: number): number {
    const {slowerFromMs = Infinity, slowdown = 1, servedMs} = this.#scenario;
    const usualMs = Math.max(0, servedMs + slowerFromMs - at);
    const slowMs = Math.max(0, ms - usualMs) * slowdown;
    return at + Math.min(ms, usualMs) + slowMs;
  }

  #waitMs(): number {
    if (this.#mix.isEven) return 0;
    const isBusy = this.#random.next() < WAIT.BUSY_SHARE;
    return this.#exponential(isBusy ? WAIT.BUSY_MS : WAIT.USUAL_MS);
  }

  #paceMs(): number {
    const {MIN, MAX} = EVENT_MS;
    return this.#mix.isEven ? (MIN + MAX) / 2 : this.#between(MIN, MAX);
  }

  #eventMs(pace: number): number {
    if (this.#mix.isEven) return pace;
    const spread = EVENT_MS.SPREAD * (2 * this.#random.next() - 1);
    const isPaused = this.#random.next() < PAUSE.SHARE;
    const pauseMs = isPaused ? this.#between(PAUSE.MIN_MS, PAUSE.MAX_MS) : 0;
    return pace * (1 + spread) + pauseMs;
  }

  #between(min: number, max: number): number {
    return min + (max - min) * this.#random.next();
  }

  #exponential(mean: number): number {
    return -mean * Math.log(1 - this.#random.next());
  }
}

/** Counts a request during the drain; returns whether it is admitted. */
function count(
  req: SimulatedRequest,
  estimator: DrainEstimator,
  exitAt: number,
  result: DrainResult,
): boolean {
  const {arrivesAt: now, deadlineMs, end, kind} = req;
  const boundMs = estimator.boundMs(req, now) ?? deadlineMs;
  const neededMs = Math.min(deadlineMs, boundMs) + END_MARGIN_MS;
  const isAdmitted = now + neededMs <= exitAt;
  const endsInTime = now + end.totalMs <= exitAt;
  if (isAdmitted && endsInTime) result.ended += 1;
  else if (isAdmitted) {
    result.cut += 1;
    result.cutKinds.add(kind);
  } else if (endsInTime) result.refusedInVain += 1;
  else result.refusedRightly += 1;
  return isAdmitted;
}
