/**
 * What callers got, and what it cost, in one play.
 */
import {type SimulatedRequestKind} from './gateway_simulation_types.js';
import {Distribution, percentOf} from './measure_statistics.js';

/** Length of the windows of which the worst counts, milliseconds. */
const WINDOW_MS = 2_000;

/** A shared part read again counts within this time of its last use, ms. */
const REREAD_WITHIN_MS = 10_000;

interface Window {
  offeredWorth: number;
  earnedWorth: number;
}

/** Counts one play. */
export class GatewaySimulationStatistics {
  readonly firstMs = new Distribution(0.1);
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

  /** A request came. */
  recordRequest(kind: SimulatedRequestKind, at: number): void {
    this.#requests += 1;
    this.#offeredWorth += kind.worth;
    this.#windowAt(at).offeredWorth += kind.worth;
  }

  /**
   * A request was answered in full.
   *
   * @param kind its kind
   * @param at when it came
   * @param firstMs time until its answer, or the first event of it
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
   * An engine needs a shared part.
   *
   * @param id the part with all before it
   * @param tokens its length
   * @param how whether the engine holds it, takes it over or reads it
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
    if (how !== 'read') return;
    this.#readTokens += tokens;
    const isAgain = this.#readParts.has(id) && at - last < REREAD_WITHIN_MS;
    if (isAgain) this.#rereadTokens += tokens;
    this.#readParts.add(id);
  }

  /** Engines forgot what they held, all of them: nobody could have kept it. */
  clearReadParts(): void {
    this.#readParts.clear();
  }

  /** @returns the figures of the play */
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
    };
  }

  #windowAt(at: number): Window {
    const key = Math.floor(at / WINDOW_MS);
    const window = this.#windows.get(key) ?? {offeredWorth: 0, earnedWorth: 0};
    this.#windows.set(key, window);
    return window;
  }
}

/** Figures of one play. */
export interface GatewaySimulationResult {
  readonly requests: number;
  readonly servedPercent: number;
  readonly onTimePercent: number;
  /** Of the worth asked for. */
  readonly worthPercent: number;
  /** The same over the two worst windows of two seconds. */
  readonly worstPercent: number;
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  /** Shared tokens read though an engine had read them, thousands. */
  readonly rereadThousands: number;
  readonly fetchedThousands: number;
  readonly readThousands: number;
}
