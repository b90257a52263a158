/**
 * Metrics of one gateway simulation: caller outcomes and prefill cost.
 */
import {type SimulatedRequestKind} from './gateway_simulation_types.js';
import {ColdServerStatistics} from './cold_server_statistics.js';
import {LoadBoundStatistics} from './load_bound_statistics.js';
import {Distribution, percentOf} from './measure_statistics.js';

/** Length of the windows for the worst-case figure, milliseconds. */
const WINDOW_MS = 2_000;

/** A shared part counts as read again within this time of its last use. */
const REREAD_WITHIN_MS = 10_000;

interface Window {
  offeredWorth: number;
  earnedWorth: number;
}

/** Collects the metrics of one simulation. */
export class GatewaySimulationStatistics {
  readonly firstMs = new Distribution(0.1);
  readonly loadBound = new LoadBoundStatistics();
  readonly coldServers = new ColdServerStatistics();
  #requests = 0;
  #served = 0;
  #onTime = 0;
  #offeredWorth = 0;
  #earnedWorth = 0;
  readonly #windows = new Map<number, Window>();
  readonly #usedAt = new Map<string, number>();
  readonly #readParts = new Set<string>();
  #readTokens = 0;
  #rereadTokens = 0;
  #fetchedTokens = 0;
  #heldTokens = 0;

  /** Records the arrival of a request. */
  recordRequest(kind: SimulatedRequestKind, at: number): void {
    this.#requests += 1;
    this.#offeredWorth += kind.worth;
    this.#windowAt(at).offeredWorth += kind.worth;
  }

  /**
   * Records a complete answer.
   *
   * @param kind the request's kind
   * @param at the request's arrival time
   * @param firstMs time to the answer, or to its first event
   */
  recordAnswer(kind: SimulatedRequestKind, at: number, firstMs: number): void {
    this.#served += 1;
    this.firstMs.record(firstMs);
    const isOnTime = firstMs <= kind.targetLatencyMs;
    if (isOnTime) this.#onTime += 1;
    const worth = isOnTime ? kind.worth : kind.lateWorth;
    this.#earnedWorth += worth;
    this.#windowAt(at).earnedWorth += worth;
  }

  /**
   * Records the use of a shared prompt part by an engine.
   *
   * @param id the prefix that ends with the part
   * @param tokens length of the part
   * @param how whether the engine held, fetched or read the part
   * @param at virtual time
   */
  recordSharedPart(
    id: string,
    tokens: number,
    how: 'held' | 'fetched' | 'read',
    at: number,
  ): void {
    const last = this.#usedAt.get(id) ?? -Infinity;
    this.#usedAt.set(id, at);
    if (how === 'fetched') this.#fetchedTokens += tokens;
    if (how === 'held') this.#heldTokens += tokens;
    if (how !== 'read') return;
    this.#readTokens += tokens;
    const isAgain = this.#readParts.has(id) && at - last < REREAD_WITHIN_MS;
    if (isAgain) this.#rereadTokens += tokens;
    this.#readParts.add(id);
  }

  /** Call when all engines lose their caches: re-reads are then inevitable. */
  clearReadParts(): void {
    this.#readParts.clear();
  }

  /** @returns the results so far */
  result(): GatewaySimulationResult {
    const shares = [...this.#windows.values()]
      .filter(({offeredWorth}) => offeredWorth > 0)
      .map(({offeredWorth: owed, earnedWorth}) => earnedWorth / owed)
      .sort((left, right) => left - right);
    const worst = shares.slice(0, 2);
    return {
      requests: this.#requests,
      servedPercent: percentOf(this.#served, this.#requests),
      onTimePercent: percentOf(this.#onTime, this.#requests),
      worthPercent: percentOf(this.#earnedWorth, this.#offeredWorth),
      worstPercent:
        (100 * worst.reduce((sum, share) => sum + share, 0)) /
        Math.max(1, worst.length),
      firstP50Ms: this.firstMs.percentile(50),
      firstP99Ms: this.firstMs.percentile(99),
      rereadThousands: this.#rereadTokens / 1_000,
      fetchedThousands: this.#fetchedTokens / 1_000,
      readThousands: this.#readTokens / 1_000,
      heldPercent: percentOf(
        this.#heldTokens,
        this.#heldTokens + this.#fetchedTokens + this.#readTokens,
      ),
      overBound: this.loadBound.count,
      overBoundPercent: this.loadBound.worstPercent,
      furthestOver: this.loadBound.furthest,
      coldMost: this.coldServers.most,
      coldPerSecond: this.coldServers.perSecond,
    };
  }

  #windowAt(at: number): Window {
    const key = Math.floor(at / WINDOW_MS);
    const window = this.#windows.get(key) ?? {offeredWorth: 0, earnedWorth: 0};
    this.#windows.set(key, window);
    return window;
  }
}

export interface GatewaySimulationResult {
  readonly requests: number;
  readonly servedPercent: number;
  readonly onTimePercent: number;
  /** Share of the worth of all requests. */
  readonly worthPercent: number;
  /** The mean share over the two worst windows of two seconds. */
  readonly worstPercent: number;
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  /** Shared tokens that had recently been read before, thousands. */
  readonly rereadThousands: number;
  readonly fetchedThousands: number;
  readonly readThousands: number;
  /** Share of the shared tokens that the chosen engine held. */
  readonly heldPercent: number;
  /** Requests that reached a server beyond its load bound. */
  readonly overBound: number;
  /** Their largest share of one pool's requests within five seconds. */
  readonly overBoundPercent: number;
  /** Requests of one server beyond its load bound, at most. */
  readonly furthestOver: number;
  /** Most requests that a cold engine got within a second. */
  readonly coldMost: number;
  /** Requests that a cold engine got in a second, in the mean. */
  readonly coldPerSecond: number;
}
