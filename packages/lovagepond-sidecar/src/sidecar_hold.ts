/**
 * Requests held in the sidecar, outside the engine: their expected waits, which
 * one is dispatched next, and which must be refused because they can no longer
 * be served in time.
 */
import {type SidecarAdmission} from './sidecar_admission.js';
import {type SidecarDrain} from './sidecar_drain.js';
import {
  type HeldRequest,
  makeHeldQueue,
  makeHeldRequest,
} from './sidecar_held_queue.js';
import {type HoldReview, reviewHeld} from './sidecar_hold_review.js';
import {TakeReservations} from './sidecar_take.js';
import {type Offer} from './sidecar_types.js';
import {SidecarWaitEstimate} from './sidecar_wait_estimate.js';

/** Interval between reviews of all held requests, milliseconds. */
const REVIEW_INTERVAL_MS = 250;
const NOTHING_DUE: HoldReview = Object.freeze({leaving: [], late: []});

/** Holds requests until the engine has capacity for them. */
export class SidecarHold {
  readonly #admission: SidecarAdmission;
  readonly #drain: SidecarDrain;
  readonly #reservations = new TakeReservations();
  #nextGiveUpAt = Infinity;
  #nextReviewAt = -Infinity;
  readonly queue = makeHeldQueue();
  /** Processing rate of the backend server. */
  readonly estimate: SidecarWaitEstimate;

  /**
   * @param admission the limit on the work at the engine
   * @param drain draining state of the server
   * @param tokensPerSecond initial processing rate
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
   * @param now current time
   * @returns tokens that can be admitted and are not reserved
   */
  freeTokens(now: number): number {
    const room = this.#admission.roomTokens(now);
    return Math.max(0, room - this.#reservations.tokens(now));
  }

  /**
   * @param offer a request that arrives now
   * @param now current time
   * @returns its expected wait, milliseconds
   */
  expectedWaitMs(offer: Offer, now: number): number {
    const {tokens} = offer;
    if (this.queue.size === 0 && this.#admits(offer, now)) return 0;
    const ahead = this.queue.costAhead({...offer, cost: tokens});
    return this.estimate.waitMs(ahead + tokens - this.freeTokens(now));
  }

  /**
   * @param offer a request that was not dispatched
   * @param waitMs expected wait until its dispatch, milliseconds
   * @param now current time
   * @returns false when it ends only after the drain limit
   */
  mayServe(offer: Offer, waitMs: number, now: number): boolean {
    const tokens = this.#admission.runningTokens(now) + offer.tokens;
    const meanMs = this.estimate.waitMs(tokens);
    // The outcome of such a call stays unknown to its caller if it is cut.
    const guessMs = offer.nonRepeatable ? Infinity : meanMs;
    return this.#drain.mayServe(offer, waitMs, guessMs, now);
  }

  /**
   * @param offer a request to hold
   * @param maxHoldMs longest wait, milliseconds
   * @param now current time
   */
  add(offer: Offer, maxHoldMs: number, now: number): void {
    const latest = offer.deadlineAt - this.estimate.serviceMs(offer.tokens);
    const giveUpAt = Math.min(now + maxHoldMs, latest);
    this.#reservations.use(offer);
    this.queue.push(makeHeldRequest(offer, now, giveUpAt));
    this.#nextGiveUpAt = Math.min(this.#nextGiveUpAt, giveUpAt);
  }

  /**
   * @param now current time
   * @returns the next request for which the engine has capacity, removed from
   *     the queue
   */
  next(now: number): HeldRequest | undefined {
    const head = this.queue.peek();
    if (!head || !this.#admits(head.offer, now)) return undefined;
    return this.queue.pop();
  }

  /**
   * @param now current time
   * @returns requests to refuse as not run, removed from the queue
   */
  removeDue(now: number): HoldReview {
    if (now < this.nextDueAt()) return NOTHING_DUE;
    const expired = now >= this.#nextGiveUpAt ? this.#findExpired(now) : [];
    this.#removeRequests(expired);
    const review = this.review(now);
    return {leaving: review.leaving, late: [...expired, ...review.late]};
  }

  /**
   * @param now current time
   * @returns requests to refuse as not run, removed from the queue
   */
  review(now: number): HoldReview {
    this.#nextReviewAt = now + REVIEW_INTERVAL_MS;
    const review = reviewHeld(
      {
        queue: this.queue,
        estimate: this.estimate,
        mayServe: (offer, waitMs) => this.mayServe(offer, waitMs, now),
        roomTokens: this.freeTokens(now),
      },
      now,
    );
    this.#removeRequests(review.leaving);
    this.#removeRequests(review.late);
    return review;
  }

  /** @returns all held requests, removed from the queue */
  removeAll(): HeldRequest[] {
    const all = [...this.queue.values()];
    this.#removeRequests(all);
    return all;
  }

  /** @returns when {@link removeDue} is needed next; Infinity for never */
  nextDueAt(): number {
    if (this.queue.size === 0) return Infinity;
    return Math.min(this.#nextGiveUpAt, this.#nextReviewAt);
  }

  /**
   * Reserves capacity for a request taken from another server.
   *
   * @param victim the server from which the request was taken
   * @param tokens tokens to reserve; 0 releases the reservation
   * @param until when the reservation expires
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
