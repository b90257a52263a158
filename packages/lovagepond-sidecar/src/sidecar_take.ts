/**
 * Work stealing between the sidecars of a pool ("take"): a sidecar with free
 * capacity and an empty queue takes one held request from another sidecar.
 *
 * The victim removes the request from its queue and redirects the router, which
 * owns the request, to the taker. The answer to Take carries no copy of
 * the request, only the tokens to reserve, so a lost answer loses no request.
 */
import {type Random} from '@lovagepond/core';
import {type SidecarCacheIndex} from './sidecar_cache_index.js';
import {type HeldQueue, type HeldRequest} from './sidecar_held_queue.js';
import {type ChatWarmth, type Offer, WARMTH} from './sidecar_types.js';
import {type SidecarWaitEstimate} from './sidecar_wait_estimate.js';

const MS_PER_SECOND = 1_000;
/** Probability that a context of unknown state is still cached. */
const UNKNOWN_WARM_PROBABILITY = 0.5;
/** Network cost of a hand-over between two sidecars, milliseconds. */
const HAND_OVER_COST_MS = 5;
/**
 * The cost of rebuilding a context is multiplied by this factor at reuse weight
 * 1, divided by it at 0, and unchanged at 0.5.
 */
const MAX_REBUILD_FACTOR = 4;

/** The victim's state, by which it chooses a request to hand over. */
export interface HandOverView {
  readonly queue: HeldQueue;
  readonly cache: SidecarCacheIndex;
  readonly estimate: SidecarWaitEstimate;
  /** Free capacity of the victim's own engine, tokens. */
  readonly roomTokens: number;
  readonly prefillTokensPerSecond: number;
  /** 0 considers only load skew, 1 only cache reuse. */
  readonly reuseWeight: number;
}

/**
 * @param warmth cache state of a context
 * @returns expected number of cached tokens
 */
export function expectedWarmTokens({warmth, tokens}: ChatWarmth): number {
  return warmth === WARMTH.UNKNOWN ? tokens * UNKNOWN_WARM_PROBABILITY : tokens;
}

/**
 * Chooses the held request with the least cached context, at a tie the one with
 * the longest wait. Its context must take the taker less time to rebuild,
 * weighted by the reuse weight, than the request would still wait here. A
 * request is handed over only once.
 *
 * @param view the victim's queue, cache and estimates
 * @param takerRoomTokens free capacity of the taker, tokens
 * @returns the request, which stays in the queue, or undefined
 */
export function chooseHandOver(
  view: HandOverView,
  takerRoomTokens: number,
): HeldRequest | undefined {
  const rebuildFactor = MAX_REBUILD_FACTOR ** (2 * view.reuseWeight - 1);
  let best: HeldRequest | undefined;
  let leastWarmTokens = Infinity;
  let longestWaitMs = 0;
  view.queue.forEachWithCostAhead((held, tokensAhead) => {
    const {workspace, chat, tokens, handOvers} = held.offer;
    if (handOvers > 0 || tokens > takerRoomTokens) return true;
    const warm = expectedWarmTokens(view.cache.read(workspace, chat));
    const waitMs = view.estimate.waitMs(tokensAhead + tokens - view.roomTokens);
    const rebuildMs = (warm / view.prefillTokensPerSecond) * MS_PER_SECOND;
    if (rebuildFactor * rebuildMs + HAND_OVER_COST_MS >= waitMs) return true;
    if (warm > leastWarmTokens) return true;
    if (warm === leastWarmTokens && waitMs <= longestWaitMs) return true;
    best = held;
    leastWarmTokens = warm;
    longestWaitMs = waitMs;
    return true;
  });
  return best;
}

/** Load of one server of the pool, from the load digest. */
export interface PeerLoad {
  readonly backendServer: string;
  readonly address: string;
  /** Running and queued tokens. */
  readonly tokens: number;
}

export interface TakerSettings {
  /** Minimum time between two takes, milliseconds. */
  readonly takeIntervalMs: number;
  /**
   * Limit of the interval, which doubles after each take that brought no request;
   * milliseconds.
   */
  readonly maxTakeIntervalMs: number;
  /** How long capacity is reserved for a request in transit, milliseconds. */
  readonly reservationMs: number;
}

/** Defaults for a load digest that is sent once a second. */
export const DEFAULT_TAKER_SETTINGS: TakerSettings = Object.freeze({
  takeIntervalMs: 20,
  maxTakeIntervalMs: 1_000,
  reservationMs: 250,
});

/** Decides when to take a request, and from which server. */
export class SidecarTaker {
  readonly #settings: TakerSettings;
  readonly #random: Random;
  #nextTakeAt = -Infinity;
  #intervalMs: number;

  /**
   * @param settings intervals and reservation time
   * @param random samples two peers, so that idle servers do not all ask the
   *     same victim
   */
  constructor(settings: TakerSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
    this.#intervalMs = settings.takeIntervalMs;
  }

  /**
   * @param peers the other servers of the pool
   * @param ownTokens running and queued tokens of this server
   * @param now current time
   * @returns the server to ask now, or undefined
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
   * @param taken number of requests handed over; 0 also when no answer came
   * @param now current time
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

/** Capacity reserved for requests that were taken and are in transit. */
export class TakeReservations {
  readonly #byVictim = new Map<string, Reservation>();

  /**
   * @param victim the server from which the request was taken
   * @param tokens tokens to reserve
   * @param until when the reservation expires
   */
  add(victim: string, tokens: number, until: number): void {
    this.#byVictim.set(victim, {tokens, until});
  }

  /** @param victim the server whose reservation is released */
  remove(victim: string): void {
    this.#byVictim.delete(victim);
  }

  /**
   * @param now current time
   * @returns reserved tokens
   */
  tokens(now: number): number {
    let tokens = 0;
    for (const [victim, reservation] of this.#byVictim) {
      if (reservation.until <= now) this.#byVictim.delete(victim);
      else tokens += reservation.tokens;
    }
    return tokens;
  }

  /**
   * Releases one reservation when a request arrives that was taken. Any of them
   * serves, as the request does not name its victim.
   *
   * @param offer an arriving request
   */
  use(offer: Offer): void {
    if (offer.handOvers === 0) return;
    const [victim] = this.#byVictim.keys();
    if (victim !== undefined) this.#byVictim.delete(victim);
  }
}
