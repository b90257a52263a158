/**
 * What callers got, and what it cost, in one play.
 */
import {Distribution, percentOf} from './measure_statistics.js';
import {type PlayKind} from './play_types.js';

/** Length of the windows of which the worst counts, milliseconds. */
const WINDOW_MS = 2_000;

/** A shared part read again counts within this time of its last use, ms. */
const REREAD_WITHIN_MS = 10_000;

interface Window {
  owed: number;
  earned: number;
}

/** Counts one play. */
export class PlayAccount {
  readonly firstMs = new Distribution(0.1);
  #asked = 0;
  #served = 0;
  #onTime = 0;
  #owed = 0;
  #earned = 0;
  readonly #windows = new Map<number, Window>();
  readonly #usedAt = new Map<string, number>();
  readonly #readOnce = new Set<string>();
  #readTokens = 0;
  #rereadTokens = 0;
  #fetchedTokens = 0;

  /** A request came. */
  asked(kind: PlayKind, at: number): void {
    this.#asked += 1;
    this.#owed += kind.worth;
    this.#windowAt(at).owed += kind.worth;
  }

  /**
   * A request was answered in full.
   *
   * @param kind its kind
   * @param at when it came
   * @param firstMs time until its answer, or the first event of it
   */
  served(kind: PlayKind, at: number, firstMs: number): void {
    this.#served += 1;
    this.firstMs.record(firstMs);
    const isOnTime = firstMs <= kind.targetLatencyMs;
    if (isOnTime) this.#onTime += 1;
    const worth = isOnTime ? kind.worth : kind.lateWorth;
    this.#earned += worth;
    this.#windowAt(at).earned += worth;
  }

  /**
   * An engine needs a shared part.
   *
   * @param id the part with all before it
   * @param tokens its length
   * @param how whether the engine holds it, takes it over or reads it
   * @param at virtual time
   */
  used(
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
    const isAgain = this.#readOnce.has(id) && at - last < REREAD_WITHIN_MS;
    if (isAgain) this.#rereadTokens += tokens;
    this.#readOnce.add(id);
  }

  /** Engines forgot what they held, all of them: nobody could have kept it. */
  forgetReadings(): void {
    this.#readOnce.clear();
  }

  /** @returns the figures of the play */
  result(): PlayResult {
    const shares = [...this.#windows.values()]
      .filter(({owed}) => owed > 0)
      .map(({owed, earned}) => earned / owed)
      .sort((left, right) => left - right);
    const worst = shares.slice(0, 2);
    return {
      asked: this.#asked,
      servedPercent: percentOf(this.#served, this.#asked),
      onTimePercent: percentOf(this.#onTime, this.#asked),
      worthPercent: percentOf(this.#earned, this.#owed),
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
    const window = this.#windows.get(key) ?? {owed: 0, earned: 0};
    this.#windows.set(key, window);
    return window;
  }
}

/** Figures of one play. */
export interface PlayResult {
  readonly asked: number;
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
