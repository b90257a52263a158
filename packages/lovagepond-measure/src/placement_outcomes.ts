/**
 * Counts what became of requests and how loads were spread.
 */
import {Distribution, percentOf} from './measure_statistics.js';
import {type Arrival} from './placement_workload.js';

/** A context found to this share counts as warm. */
const WARM_SHARE = 0.8;

/** Counters of one run. */
export class PlacementOutcomes {
  readonly firstTokenMs = new Distribution(0.1);
  readonly hops = new Distribution(0.01);
  #arrivals = 0;
  #done = 0;
  #late = 0;
  #refused = 0;
  #failed = 0;
  #returns = 0;
  #warmReturns = 0;
  #contextTokens = 0;
  #cachedTokens = 0;

  readonly #warmUpMs: number;

  /** @param warmUpMs requests that came before this time are not counted */
  constructor(warmUpMs: number) {
    this.#warmUpMs = warmUpMs;
  }

  /** A request came. */
  arrived(arrival: Arrival): void {
    if (this.#counts(arrival)) this.#arrivals++;
  }

  /** It got its final answer without having run. */
  refused(arrival: Arrival): void {
    if (this.#counts(arrival)) this.#refused++;
  }

  /** Its server went away in the middle of the answer. */
  failed(arrival: Arrival): void {
    if (this.#counts(arrival)) this.#failed++;
  }

  /**
   * @param arrival the request
   * @param cachedTokens what was warm of its prompt
   * @param now virtual time
   * @param attempts how many attempts it took
   */
  firstToken(
    arrival: Arrival,
    cachedTokens: number,
    now: number,
    attempts: number,
  ): void {
    if (!this.#counts(arrival)) return;
    this.firstTokenMs.record(now - arrival.at);
    this.hops.record(attempts);
    const {contextTokens} = arrival;
    if (contextTokens === 0) return;
    this.#returns++;
    this.#contextTokens += contextTokens;
    this.#cachedTokens += cachedTokens;
    if (cachedTokens >= WARM_SHARE * contextTokens) this.#warmReturns++;
  }

  /** The answer is whole. */
  done(arrival: Arrival, now: number): void {
    if (!this.#counts(arrival)) return;
    this.#done++;
    if (now - arrival.at > arrival.deadlineMs) this.#late++;
  }

  /** @returns requests that came */
  get arrivals(): number {
    return this.#arrivals;
  }

  /** @returns tokens of earlier context that were found warm, percent */
  get reuseOfTokens(): number {
    return percentOf(this.#cachedTokens, this.#contextTokens);
  }

  /** @returns returning requests that found their context, percent */
  get reuseOfReturns(): number {
    return percentOf(this.#warmReturns, this.#returns);
  }

  /** @returns refused requests, percent of all */
  get refusedShare(): number {
    return percentOf(this.#refused, this.#arrivals);
  }

  /** @returns answers that came after their deadline, percent of all */
  get lateShare(): number {
    return percentOf(this.#late, this.#arrivals);
  }

  /** @returns answers cut by a crash, percent of all */
  get failedShare(): number {
    return percentOf(this.#failed, this.#arrivals);
  }

  /** @returns requests with a final outcome */
  get settled(): number {
    return this.#done + this.#refused + this.#failed;
  }

  #counts(arrival: Arrival): boolean {
    return arrival.at >= this.#warmUpMs;
  }
}

/**
 * Skew at every instant: the busiest engine over the mean, each value weighed
 * by the time for which it stood. A mean below the floor counts as the floor.
 */
export class SkewSampler {
  readonly ratios = new Distribution(0.001);
  readonly #floorMean: number;
  readonly #loadBound: number;
  readonly #warmUpMs: number;
  #since = 0;
  #ratio = 0;
  #max = 0;
  #overMs = 0;
  #totalMs = 0;

  /**
   * @param floorTokens load of one engine that is never too much
   * @param loadBound the set multiple of the mean
   * @param warmUpMs time from which on skew counts
   */
  constructor(floorTokens: number, loadBound: number, warmUpMs: number) {
    this.#floorMean = floorTokens / loadBound;
    this.#loadBound = loadBound;
    this.#warmUpMs = warmUpMs;
  }

  /**
   * @param loads tokens at each ready engine from now on
   * @param now virtual time
   */
  change(loads: readonly number[], now: number): void {
    this.#recordElapsed(now);
    let total = 0;
    let most = 0;
    for (const load of loads) {
      total += load;
      if (load > most) most = load;
    }
    const mean = total / Math.max(1, loads.length);
    if (now < this.#warmUpMs) return;
    this.#ratio = most / Math.max(mean, this.#floorMean);
    if (this.#ratio > this.#max) this.#max = this.#ratio;
  }

  /** @returns the largest ratio, exact */
  get max(): number {
    return this.#max;
  }

  /** @returns share of the time over the bound, percent */
  get overShare(): number {
    return percentOf(this.#overMs, this.#totalMs);
  }

  #recordElapsed(now: number): void {
    const lasted = now - this.#since;
    this.#since = now;
    if (lasted <= 0) return;
    this.#totalMs += lasted;
    if (this.#ratio > this.#loadBound + 1e-9) this.#overMs += lasted;
    if (this.#ratio === 0) return;
    this.ratios.record(this.#ratio, Math.max(1, Math.round(lasted * 10)));
  }
}
