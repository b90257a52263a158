/**
 * Metrics of the placement simulation: request outcomes and load skew.
 */
import {Distribution, percentOf} from './measure_statistics.js';
import {type Arrival} from './placement_workload.js';

/** A context cached to at least this share counts as warm. */
const WARM_SHARE = 0.8;

/** Request counters of one simulation. */
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

  /** @param warmUpMs requests that arrive earlier aren't counted */
  constructor(warmUpMs: number) {
    this.#warmUpMs = warmUpMs;
  }

  /** Records an arrival. */
  arrived(arrival: Arrival): void {
    if (this.#counts(arrival)) this.#arrivals++;
  }

  /** Records a final refusal; the request has not run. */
  refused(arrival: Arrival): void {
    if (this.#counts(arrival)) this.#refused++;
  }

  /** Records an answer cut off by a crash. */
  failed(arrival: Arrival): void {
    if (this.#counts(arrival)) this.#failed++;
  }

  /**
   * @param arrival the request
   * @param cachedTokens prompt tokens found in the cache
   * @param now virtual time
   * @param attempts number of attempts
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

  /** Records a complete answer. */
  done(arrival: Arrival, now: number): void {
    if (!this.#counts(arrival)) return;
    this.#done++;
    if (now - arrival.at > arrival.deadlineMs) this.#late++;
  }

  /** @returns counted requests */
  get arrivals(): number {
    return this.#arrivals;
  }

  /** @returns share of earlier context found in caches, percent of tokens */
  get reuseOfTokens(): number {
    return percentOf(this.#cachedTokens, this.#contextTokens);
  }

  /** @returns share of returning requests with a warm context, percent */
  get reuseOfReturns(): number {
    return percentOf(this.#warmReturns, this.#returns);
  }

  /** @returns share of requests refused, percent */
  get refusedShare(): number {
    return percentOf(this.#refused, this.#arrivals);
  }

  /** @returns share of requests answered after their deadline, percent */
  get lateShare(): number {
    return percentOf(this.#late, this.#arrivals);
  }

  /** @returns share of requests cut off by a crash, percent */
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
 * Load skew, the busiest engine over the mean, weighted by duration. A mean
 * below floorTokens / loadBound counts as this quotient.
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
   * @param floorTokens load of one engine that is always allowed
   * @param loadBound allowed multiple of the mean
   * @param warmUpMs end of the warm-up
   */
  constructor(floorTokens: number, loadBound: number, warmUpMs: number) {
    this.#floorMean = floorTokens / loadBound;
    this.#loadBound = loadBound;
    this.#warmUpMs = warmUpMs;
  }

  /**
   * @param loads tokens at each ready engine as of now
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

  /** @returns the exact largest ratio */
  get max(): number {
    return this.#max;
  }

  /** @returns share of time over the bound, percent */
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
