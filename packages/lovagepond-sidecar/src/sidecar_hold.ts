/**
 * The requests that wait in the sidecar, outside the engine: what each may
 * expect, which goes next, and which must be answered because it can't be
 * served in time any more.
 */
import {type SidecarAdmission} from './sidecar_admission.js';
import {type SidecarDrain} from './sidecar_drain.js';
import {type HeldRequest, SidecarFairQueue} from './sidecar_fair_queue.js';
import {type HoldReview, reviewHeld} from './sidecar_hold_review.js';
import {TakeReservations} from './sidecar_take.js';
import {type Offer} from './sidecar_types.js';
import {SidecarWaitEstimate} from './sidecar_wait_estimate.js';

/** Pause between two looks at all waiting requests, milliseconds. */
const REVIEW_INTERVAL_MS = 250;
const NOTHING_DUE: HoldReview = Object.freeze({leaving: [], late: []});

/** Holds requests until the engine has room for them. */
export class SidecarHold {
  readonly #admission: SidecarAdmission;
  readonly #drain: SidecarDrain;
  readonly #reservations = new TakeReservations();
  #nextGiveUpAt = Infinity;
  #nextReviewAt = -Infinity;
  /** The waiting requests. */
  readonly queue = new SidecarFairQueue();
  /** How fast the backend server works. */
  readonly estimate: SidecarWaitEstimate;

  /**
   * @param admission the bound on the engine's work
   * @param drain whether the server is leaving
   * @param tokensPerSecond rate of work to assume at first
   */
  constructor(
    admission: SidecarAdmission,
    drain: SidecarDrain,
    tokensPerSecond: number,
  ) {
    this.#admission = admission;
    this.#drain = drain;
    this.estimate = new SidecarWaitEstimate(tokensPerSecond);
  }

  /**
   * @param now present time
   * @returns tokens that fit and are kept for nobody
   */
  freeTokens(now: number): number {
    const room = this.#admission.roomTokens(now);
    return Math.max(0, room - this.#reservations.tokens(now));
  }

  /**
   * @param offer a request that would come now
   * @param now present time
   * @returns its expected wait, milliseconds
   */
  expectedWaitMs(offer: Offer, now: number): number {
    const {workspace, priority, tokens} = offer;
    if (this.queue.size === 0 && this.#admits(offer, now)) return 0;
    const ahead = this.queue.tokensAhead(workspace, priority, tokens);
    return this.estimate.waitMs(ahead + tokens - this.freeTokens(now));
  }

  /**
   * @param offer a request to hold
   * @param maxHoldMs upper bound of its wait, milliseconds
   * @param now present time
   */
  add(offer: Offer, maxHoldMs: number, now: number): void {
    const latest = offer.deadlineAt - this.estimate.serviceMs(offer.tokens);
    const giveUpAt = Math.min(now + maxHoldMs, latest);
    this.#reservations.use(offer);
    this.queue.push({offer, heldAt: now, giveUpAt});
    this.#nextGiveUpAt = Math.min(this.#nextGiveUpAt, giveUpAt);
  }

  /**
   * @param now present time
   * @returns the next request that the engine has room for, out of the queue
   */
  next(now: number): HeldRequest | undefined {
    const head = this.queue.peek();
    if (!head || !this.#admits(head.offer, now)) return undefined;
    return this.queue.pop();
  }

  /**
   * @param now present time
   * @returns requests to answer as not run, out of the queue
   */
  removeDue(now: number): HoldReview {
    if (now < this.nextDueAt()) return NOTHING_DUE;
    const expired = now >= this.#nextGiveUpAt ? this.#findExpired(now) : [];
    this.#removeRequests(expired);
    const review = this.review(now);
    return {leaving: review.leaving, late: [...expired, ...review.late]};
  }

  /**
   * Looks at all waiting requests at once.
   *
   * @param now present time
   * @returns requests to answer as not run, out of the queue
   */
  review(now: number): HoldReview {
    this.#nextReviewAt = now + REVIEW_INTERVAL_MS;
    const review = reviewHeld(
      {
        queue: this.queue,
        estimate: this.estimate,
        drain: this.#drain,
        roomTokens: this.freeTokens(now),
      },
      now,
    );
    this.#removeRequests(review.leaving);
    this.#removeRequests(review.late);
    return review;
  }

  /** @returns all waiting requests, out of the queue */
  removeAll(): HeldRequest[] {
    const all = [...this.queue.values()];
    this.#removeRequests(all);
    return all;
  }

  /** @returns when {@link removeDue} is needed next; Infinity when never */
  nextDueAt(): number {
    if (this.queue.size === 0) return Infinity;
    return Math.min(this.#nextGiveUpAt, this.#nextReviewAt);
  }

  /**
   * Keeps room for a request that a take will bring.
   *
   * @param victim backend server that is asked
   * @param tokens the room offered; 0 gives it back
   * @param until when it is given back by itself
   */
  reserve(victim: string, tokens: number, until: number): void {
    if (tokens > 0) this.#reservations.add(victim, tokens, until);
    else this.#reservations.remove(victim);
  }

  #admits(offer: Offer, now: number): boolean {
    const reserved = this.#reservations.tokens(now);
    if (offer.handOvers > 0 || reserved <= 0) {
      return this.#admission.admits(offer.tokens, now);
    }
    return this.freeTokens(now) >= offer.tokens;
  }

  #findExpired(now: number): HeldRequest[] {
    const expired: HeldRequest[] = [];
    this.#nextGiveUpAt = Infinity;
    for (const held of this.queue.values()) {
      if (held.giveUpAt <= now) expired.push(held);
      else this.#nextGiveUpAt = Math.min(this.#nextGiveUpAt, held.giveUpAt);
    }
    return expired;
  }

  #removeRequests(requests: readonly HeldRequest[]): void {
    for (const {offer} of requests) this.queue.remove(offer.attemptId);
  }
}
