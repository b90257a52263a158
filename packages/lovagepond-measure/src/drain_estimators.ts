/**
 * Ways to estimate how long a response takes, compared by simulation.
 */
import {ResponseDurations} from '@lovagepond/core';
import {MinHeap} from './virtual_time.js';

/** A request, with what its gateway knows of it. */
export interface DrainRequest {
  readonly route: string;
  readonly pool: string;
  readonly isStream: boolean;
  /** Undefined if the request doesn't tell its most output tokens. */
  readonly outputTokens: number | undefined;
}

/** The end of a request at its gateway. */
export interface DrainEnd {
  /** False for requests that were rejected, cancelled or ran out of time. */
  readonly isAnswered: boolean;
  readonly firstMs: number;
  readonly totalMs: number;
  readonly events: number;
}

/** Learns from the ends of requests how long others take. */
export interface DrainEstimator {
  noteEnd(req: DrainRequest, end: DrainEnd, now: number): void;
  /** Returns undefined where the gateway takes the request's deadline. */
  boundMs(req: DrainRequest, now: number): number | undefined;
}

/** Takes every request's deadline. */
class Deadlines implements DrainEstimator {
  noteEnd(): void {
    // Learns nothing.
  }

  boundMs(): undefined {
    return undefined;
  }
}

/** Half of each longer duration, a hundredth of each shorter one. */
class DecayedByRoute implements DrainEstimator {
  readonly #durations = new Map<string, number>();

  noteEnd({route}: DrainRequest, {totalMs}: DrainEnd): void {
    const long = this.#durations.get(route) ?? 0;
    const weight = totalMs > long ? 0.5 : 0.01;
    this.#durations.set(route, long + (totalMs - long) * weight);
  }

  boundMs({route}: DrainRequest): number | undefined {
    const long = this.#durations.get(route);
    return long === undefined ? undefined : long * 1.5;
  }
}

const WINDOW_MS = 60_000;
const MIN_ANSWERS = 20;

/** Durations of the window, by a key of the request. */
class RecentDurations {
  readonly #keyOf: (req: DrainRequest) => string;
  readonly #durations = new Map<string, (readonly [number, number])[]>();

  constructor(keyOf: (req: DrainRequest) => string) {
    this.#keyOf = keyOf;
  }

  note(req: DrainRequest, {isAnswered, totalMs}: DrainEnd, now: number): void {
    if (!isAnswered) return;
    const key = this.#keyOf(req);
    const known = this.#durations.get(key);
    if (known) known.push([now, totalMs]);
    else this.#durations.set(key, [[now, totalMs]]);
  }

  /** Returns the quantile of enough recent durations, or undefined. */
  quantile(req: DrainRequest, share: number, now: number): number | undefined {
    const known = this.#durations.get(this.#keyOf(req)) ?? [];
    const sorted = new MinHeap<number>();
    for (const [at, ms] of known) {
      if (now - at <= WINDOW_MS) sorted.push(ms, ms);
    }
    if (sorted.size < MIN_ANSWERS) return undefined;
    const rank = Math.ceil(share * sorted.size);
    let value: number | undefined;
    for (let at = 0; at < rank; at += 1) value = sorted.pop();
    return value;
  }
}

/** A quantile of the recent durations, times a factor. */
class Quantile implements DrainEstimator {
  readonly #recent: RecentDurations;
  readonly #share: number;
  readonly #factor: number;

  constructor(
    keyOf: (req: DrainRequest) => string,
    share: number,
    factor: number,
  ) {
    this.#recent = new RecentDurations(keyOf);
    this.#share = share;
    this.#factor = factor;
  }

  noteEnd(req: DrainRequest, end: DrainEnd, now: number): void {
    this.#recent.note(req, end, now);
  }

  boundMs(req: DrainRequest, now: number): number | undefined {
    const value = this.#recent.quantile(req, this.#share, now);
    return value === undefined ? undefined : value * this.#factor;
  }
}

/** The estimate of the product. */
class ByTokens implements DrainEstimator {
  readonly #durations = new ResponseDurations();

  noteEnd(req: DrainRequest, end: DrainEnd, now: number): void {
    if (end.isAnswered) this.#durations.noteAnswered(req, end, now);
  }

  boundMs(req: DrainRequest, now: number): number | undefined {
    return this.#durations.boundMs(req, now);
  }
}

const byRoute = ({route}: DrainRequest): string => route;
const byPool = ({pool}: DrainRequest): string => pool;

/** An estimate that is compared. */
export interface NamedEstimator {
  readonly name: string;
  /** Makes one that knows nothing. */
  readonly create: () => DrainEstimator;
}

/** The estimates, in print order. */
export const DRAIN_ESTIMATORS: readonly NamedEstimator[] = [
  {name: 'deadline only', create: () => new Deadlines()},
  {name: 'decayed by route, x 1.5', create: () => new DecayedByRoute()},
  {
    name: 'p99 by route, x 1.5',
    create: () => new Quantile(byRoute, 0.99, 1.5),
  },
  {name: 'longest by route, x 2', create: () => new Quantile(byRoute, 1, 2)},
  {name: 'longest by pool, x 2', create: () => new Quantile(byPool, 1, 2)},
  {name: 'by pool and tokens', create: () => new ByTokens()},
];
