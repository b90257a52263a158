/**
 * Hold and take: a sidecar with room and an empty queue takes one held request
 * from a longer queue of its pool.
 *
 * The victim removes the request from its own queue and tells the router,
 * which alone owns the request, where to go. The taker never gets a copy, so a
 * lost answer to Take costs a reservation and nothing else.
 */
import {type Random} from '@lovagepond/core';
import {type SidecarCacheIndex} from './sidecar_cache_index.js';
import {type HeldRequest, type SidecarFairQueue} from './sidecar_fair_queue.js';
import {type ChatWarmth, type Offer, WARMTH} from './sidecar_types.js';
import {type SidecarWaitEstimate} from './sidecar_wait_estimate.js';

const MS_PER_SECOND = 1_000;
/** Chance that a context of unknown state is still cached. */
const UNKNOWN_WARM_SHARE = 0.5;
/** Hops between two sidecars that a hand-over costs, milliseconds. */
const HAND_OVER_COST_MS = 5;
/** A rebuild counts so many times as much, or as little, at the extremes. */
const REBUILD_FACTOR_SPAN = 4;

/** What a victim needs to choose a request. */
export interface HandOverView {
  readonly queue: SidecarFairQueue;
  readonly cache: SidecarCacheIndex;
  readonly estimate: SidecarWaitEstimate;
  /** Room at the victim's own engine, tokens. */
  readonly roomTokens: number;
  readonly prefillTokensPerSecond: number;
  /** 0 weighs only skew, 1 only cache reuse. */
  readonly reuseWeight: number;
}

/**
 * @param warmth what is known of a context
 * @returns cached tokens to expect
 */
export function expectedWarmTokens({warmth, tokens}: ChatWarmth): number {
  return warmth === WARMTH.UNKNOWN ? tokens * UNKNOWN_WARM_SHARE : tokens;
}

/**
 * Chooses the held request with the least warm context whose rebuild costs
 * less than the wait that it saves.
 *
 * @param view the victim's queue and what it knows
 * @param takerRoomTokens room at the taker
 * @returns a request still in the queue, or undefined
 */
export function chooseHandOver(
  view: HandOverView,
  takerRoomTokens: number,
): HeldRequest | undefined {
  const rebuildFactor = REBUILD_FACTOR_SPAN ** (2 * view.reuseWeight - 1);
  let best: HeldRequest | undefined;
  let leastWarm = Infinity;
  let longestWait = 0;
  view.queue.forEachWithTokensAhead((held, tokensAhead) => {
    const {workspace, chat, tokens, handOvers} = held.offer;
    if (handOvers > 0 || tokens > takerRoomTokens) return true;
    const warm = expectedWarmTokens(view.cache.read(workspace, chat));
    const waitMs = view.estimate.waitMs(tokensAhead + tokens - view.roomTokens);
    const rebuildMs = (warm / view.prefillTokensPerSecond) * MS_PER_SECOND;
    if (rebuildFactor * rebuildMs + HAND_OVER_COST_MS >= waitMs) return true;
    if (warm > leastWarm) return true;
    if (warm === leastWarm && waitMs <= longestWait) return true;
    best = held;
    leastWarm = warm;
    longestWait = waitMs;
    return true;
  });
  return best;
}

/** One server of the pool as the load digest shows it. */
export interface PeerLoad {
  readonly backendServer: string;
  readonly address: string;
  /** Running and queued tokens. */
  readonly tokens: number;
}

/** Settings of {@link SidecarTaker}. */
export interface TakerSettings {
  /** Least time between two takes, milliseconds. */
  readonly takeIntervalMs: number;
  /** Longest pause after takes that brought nothing, milliseconds. */
  readonly maxTakeIntervalMs: number;
  /** How long room is kept for a request on its way, milliseconds. */
  readonly reservationMs: number;
}

/** Settings that suit a digest of once a second. */
export const DEFAULT_TAKER_SETTINGS: TakerSettings = Object.freeze({
  takeIntervalMs: 20,
  maxTakeIntervalMs: 1_000,
  reservationMs: 250,
});

/** Decides when to take and from whom. */
export class SidecarTaker {
  readonly #settings: TakerSettings;
  readonly #random: Random;
  #nextTakeAt = -Infinity;
  #intervalMs: number;

  /**
   * @param settings pauses and reservation
   * @param random breaks ties, so that idle servers don't all ask one victim
   */
  constructor(settings: TakerSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
    this.#intervalMs = settings.takeIntervalMs;
  }

  /**
   * @param peers the other servers of the pool
   * @param ownTokens own running and queued tokens
   * @param now present time
   * @returns whom to ask now, or undefined
   */
  chooseVictim(
    peers: readonly PeerLoad[],
    ownTokens: number,
    now: number,
  ): PeerLoad | undefined {
    if (now < this.#nextTakeAt || peers.length === 0) return undefined;
    const first = this.#random.pick(peers);
    const second = this.#random.pick(peers);
    const busier = first.tokens >= second.tokens ? first : second;
    if (busier.tokens <= ownTokens) return undefined;
    this.#nextTakeAt = now + this.#intervalMs;
    return busier;
  }

  /**
   * @param taken requests handed over; 0 also for a lost answer
   * @param now present time
   */
  noteAnswer(taken: number, now: number): void {
    const {takeIntervalMs, maxTakeIntervalMs} = this.#settings;
    this.#intervalMs =
      taken > 0
        ? takeIntervalMs
        : Math.min(maxTakeIntervalMs, this.#intervalMs * 2);
    this.#nextTakeAt = now + this.#intervalMs;
  }
}

interface Reservation {
  readonly tokens: number;
  readonly until: number;
}

/** Room kept for requests that were taken and are on their way here. */
export class TakeReservations {
  readonly #byVictim = new Map<string, Reservation>();

  /**
   * @param victim backend server that was asked
   * @param tokens room it was offered
   * @param until when the room is free again
   */
  add(victim: string, tokens: number, until: number): void {
    this.#byVictim.set(victim, {tokens, until});
  }

  /** @param victim backend server that had nothing to hand over */
  remove(victim: string): void {
    this.#byVictim.delete(victim);
  }

  /**
   * @param now present time
   * @returns tokens kept free
   */
  tokens(now: number): number {
    let tokens = 0;
    for (const [victim, reservation] of this.#byVictim) {
      if (reservation.until <= now) this.#byVictim.delete(victim);
      else tokens += reservation.tokens;
    }
    return tokens;
  }

  /** @param offer an arriving request; one that was taken uses up its room */
  use(offer: Offer): void {
    if (offer.handOvers === 0) return;
    const [victim] = this.#byVictim.keys();
    if (victim !== undefined) this.#byVictim.delete(victim);
  }
}
