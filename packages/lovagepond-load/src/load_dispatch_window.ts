/**
 * Limit of the work that one gateway has in flight at one server: a delay-based
 * congestion window.
 *
 * All gateways that send to the server see the same queueing delay and steer it
 * to the target without knowing of each other. The share of a gateway that
 * stops sending is taken up by the others. Engaged only by load that the server
 * can't serve in time; otherwise nothing is limited.
 */

/** Largest decrease and increase of the window per round trip. */
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 1.25;
/** Largest window on engagement, relative to the work in flight. */
const ENGAGE_FACTOR = 0.7;
/**
 * Exponent of the correction towards the target: it damps the correction, whose
 * effect is seen only a round trip later.
 */
const CORRECTION_EXPONENT = 0.5;
/**
 * Additive increase per round trip in requests, which makes the windows of the
 * gateways equal over time. With 1/8, a small workspace at 20 gateways had 0.95
 * to 0.99 of its requests in target, with 1/4 0.98 to 1.00.
 */
const ADDITIVE_REQUESTS = 1 / 4;
/**
 * The mean of the samples is steered to this part of the target delay, so that
 * most samples stay below the target.
 */
const AIM_PART = 0.6;
/** Bounds of the window: the least in requests, the most in slots. */
const MIN_REQUESTS = 1 / 16;
const MAX_SLOT_FACTOR = 2;
/**
 * Least window in requests after a response that left the server's queue empty:
 * a window far below one request would get its next sample too late, and a slow
 * server whose service time isn't learned yet would stay idle.
 */
const EMPTY_REQUESTS = 1;
/**
 * Requests of flows below their share that may be sent ahead of the window. With
 * 2, a small workspace at 20 gateways had 0.92 in target in the worst run.
 */
const BORROW_REQUESTS = 4;
/** A window that was no limit for this long is released, milliseconds. */
const RELEASE_MS = 1_000;

/**
 * Round trips without a sign of delay before a window is released. At a server
 * with a long queue, the next response may take longer than {@link RELEASE_MS}.
 */
const RELEASE_ROUND_TRIPS = 2;
/** Samples below this part of the target delay allow a release. */
const RELEASE_DELAY_PART = 0.5;
/** Weight of a new value in the means of request work and round trip. */
const SMOOTHING_FACTOR = 0.2;
/** Allows for rounding errors of sums of work, milliseconds. */
const EPSILON_MS = 1e-6;

/** An attempt as the window counts it. */
export interface WindowAttempt {
  readonly id: string;
  /** The server's time that it takes, milliseconds. */
  readonly workMs: number;
  /** Predicted time to its response at an idle server; 0 when unknown. */
  readonly idleMs: number;
  /** Queueing delay at the server above which the window shrinks. */
  readonly targetDelayMs: number;
}

interface InFlight extends WindowAttempt {
  readonly sentAt: number;
}

/** Samples of the current round trip. */
interface Round {
  startedAt: number;
  count: number;
  sampleMs: number;
  limited: boolean;
}

function makeRound(now: number): Round {
  return {startedAt: now, count: 0, sampleMs: 0, limited: false};
}

function smooth(former: number, value: number): number {
  return former === 0 ? value : former + SMOOTHING_FACTOR * (value - former);
}

/** The window of one gateway at one server. */
export class DispatchWindow {
  readonly #inFlight = new Map<string, InFlight>();
  #inFlightMs = 0;
  #slots = 1;
  #weight = 1;
  #engaged = false;
  #windowMs = 0;
  #round = makeRound(0);
  /** Means of the work of a request and of the round trip, milliseconds. */
  #requestMs = 0;
  #roundTripMs = 0;
  #lastSampleMs = 0;
  #meanSampleMs = 0;
  #lastTargetMs = 0;
  #lastSentAt = -Infinity;
  #limitedAt = -Infinity;
  #delayedAt = -Infinity;
  #decreasedAt = -Infinity;
  /** When the next request may be sent by a window below one request. */
  #pacedUntil = -Infinity;

  /** @returns mean of the recent samples, milliseconds; 0 if not engaged */
  get delayMs(): number {
    return this.#engaged ? this.#meanSampleMs : 0;
  }

  /** @returns number of attempts without a response */
  get inFlight(): number {
    return this.#inFlight.size;
  }

  /** @returns time of the last attempt sent; -Infinity before the first one */
  get lastSentAt(): number {
    return this.#lastSentAt;
  }

  /**
   * @param slots requests that the server runs at once
   * @param weight this gateway's part relative to the mean gateway
   */
  configure(slots: number, weight: number): void {
    this.#slots = Math.max(1, slots);
    this.#weight = weight;
  }

  /**
   * @param now current time
   * @returns true while the window limits what is sent
   */
  isEngaged(now: number): boolean {
    if (!this.#engaged) return false;
    const quietSince = Math.max(this.#limitedAt, this.#delayedAt);
    const releaseMs = Math.max(
      RELEASE_MS,
      RELEASE_ROUND_TRIPS * this.#roundTripMs,
    );
    if (now - quietSince >= releaseMs) this.#engaged = false;
    return this.#engaged;
  }

  /**
   * @param workMs work of a request, milliseconds
   * @param mayBorrow whether it may be sent ahead of the window; later requests
   *     wait until this is made up for
   * @param now current time
   * @returns true when the request may be sent
   */
  hasRoom(workMs: number, mayBorrow: boolean, now: number): boolean {
    if (!this.isEngaged(now)) return true;
    const {paced, limitMs} = this.#limit(workMs);
    const spareMs = limitMs - this.#inFlightMs;
    const borrowed = mayBorrow ? BORROW_REQUESTS : 0;
    const inWindow = spareMs >= (1 - borrowed) * workMs - EPSILON_MS;
    const pacedUntil = this.#pacedUntil - borrowed * this.#pacingMs(workMs);
    if (inWindow && (!paced || now >= pacedUntil)) {
      return true;
    }
    this.#limitedAt = now;
    this.#round.limited = true;
    return false;
  }

  /** @returns when pacing allows the next request; -Infinity without pacing */
  get pacedUntil(): number {
    return this.#engaged ? this.#pacedUntil : -Infinity;
  }

  /**
   * @param attempt an attempt that goes to the server
   * @param now current time
   */
  noteSent(attempt: WindowAttempt, now: number): void {
    this.noteEnded(attempt.id);
    this.#inFlight.set(attempt.id, {...attempt, sentAt: now});
    this.#inFlightMs += attempt.workMs;
    this.#noteWork(attempt.workMs);
    this.#lastSentAt = now;
    if (!this.isEngaged(now) || !this.#limit(attempt.workMs).paced) return;
    const from = Math.max(now, this.#pacedUntil);
    this.#pacedUntil = from + this.#pacingMs(attempt.workMs);
  }

  /**
   * @param id an attempt whose response has begun
   * @param hasQueue false when the server reports that no request waits there:
   *     the response took long for another reason, such as a wrong estimate
   * @param now current time
   */
  noteResponse(id: string, hasQueue: boolean, now: number): void {
    const attempt = this.#inFlight.get(id);
    if (!attempt) return;
    const {sentAt, idleMs, targetDelayMs} = attempt;
    const tookMs = now - sentAt;
    const inFlightMs = this.#inFlightMs;
    this.noteEnded(id);
    this.#roundTripMs = smooth(this.#roundTripMs, tookMs);
    // Without an estimate, the queueing delay is unknown.
    if (idleMs <= 0) return;
    const sampleMs = hasQueue ? Math.max(0, tookMs - idleMs) : 0;
    this.#lastSampleMs = sampleMs;
    this.#meanSampleMs = smooth(this.#meanSampleMs, sampleMs);
    this.#lastTargetMs = targetDelayMs;
    if (sampleMs > RELEASE_DELAY_PART * targetDelayMs) this.#delayedAt = now;
    if (this.isEngaged(now)) {
      if (!hasQueue) this.#openTo(EMPTY_REQUESTS);
      this.#addSample(sampleMs, attempt, now);
    } else if (sampleMs > targetDelayMs) {
      const factor = (idleMs + targetDelayMs) / tookMs;
      this.#engage(inFlightMs * Math.min(ENGAGE_FACTOR, factor), now);
    }
  }

  /**
   * @param id an attempt that the server refused as not run
   * @param hasFreeSlot whether the server reported a free slot, so that load
   *     wasn't the cause
   * @param now current time
   */
  noteRefused(id: string, hasFreeSlot: boolean, now: number): void {
    const attempt = this.#inFlight.get(id);
    const inFlightMs = this.#inFlightMs;
    this.noteEnded(id);
    if (!attempt || hasFreeSlot) return;
    this.#delayedAt = now;
    if (!this.isEngaged(now)) {
      this.#engage(inFlightMs * ENGAGE_FACTOR, now);
      return;
    }
    // Refusals of one burst count once.
    if (attempt.sentAt < this.#decreasedAt) return;
    this.#decreasedAt = now;
    this.#setWindow(this.#windowMs * MIN_FACTOR);
    this.#round = makeRound(now);
  }

  /** @param id an attempt that is over or has got its response */
  noteEnded(id: string): void {
    const attempt = this.#inFlight.get(id);
    if (!attempt) return;
    this.#inFlight.delete(id);
    const left = this.#inFlightMs - attempt.workMs;
    this.#inFlightMs = this.#inFlight.size === 0 ? 0 : Math.max(0, left);
  }

  /**
   * @param now current time
   * @returns the window's state for operators; times in milliseconds
   */
  describe(now: number): Readonly<Record<string, number | boolean>> {
    return {
      engaged: this.isEngaged(now),
      windowMs: this.#engaged ? this.#windowMs : 0,
      inFlight: this.#inFlight.size,
      inFlightMs: this.#inFlightMs,
      requestMs: this.#requestMs,
      roundTripMs: this.#roundTripMs,
      sampleMs: this.#lastSampleMs,
      targetMs: this.#lastTargetMs,
    };
  }

  /**
   * A window that engaged before any work was known is 0 and would admit
   * nothing; it becomes one request with the first work.
   */
  #noteWork(workMs: number): void {
    const isFirst = this.#requestMs === 0;
    this.#requestMs = smooth(this.#requestMs, workMs);
    if (!this.#engaged) return;
    this.#setWindow(isFirst ? this.#requestMs : this.#windowMs);
  }

  #engage(windowMs: number, now: number): void {
    this.#engaged = true;
    this.#limitedAt = now;
    this.#delayedAt = now;
    this.#decreasedAt = now;
    this.#pacedUntil = -Infinity;
    this.#round = makeRound(now);
    this.#setWindow(Math.max(windowMs, this.#requestMs));
  }

  #addSample(
    sampleMs: number,
    {sentAt, idleMs, targetDelayMs}: InFlight,
    now: number,
  ): void {
    // What was sent before a decrease doesn't show its effect yet.
    if (sentAt < this.#decreasedAt) return;
    const round = this.#round;
    round.count += 1;
    round.sampleMs += sampleMs;
    if (now - round.startedAt < this.#roundTripMs) return;
    this.#round = makeRound(now);
    const meanMs = round.sampleMs / round.count;
    const factor = this.#factor(meanMs, idleMs, targetDelayMs);
    if (factor < 1) {
      this.#setWindow(this.#windowMs * factor);
      this.#decreasedAt = now;
    } else if (round.limited) {
      this.#setWindow(this.#windowMs * factor + this.#additiveMs());
    }
  }

  /**
   * By Little's law, the work in flight is proportional to the response time;
   * the ratio of the wanted and the measured one leads to the target delay.
   */
  #factor(sampleMs: number, idleMs: number, targetMs: number): number {
    const aimMs = AIM_PART * targetMs;
    const ratio = (idleMs + aimMs) / (idleMs + sampleMs);
    const factor = ratio ** CORRECTION_EXPONENT;
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }

  /** Below one request, the increase shrinks with the root of the window. */
  #additiveMs(): number {
    const requests = this.#windowMs / Math.max(EPSILON_MS, this.#requestMs);
    const part = Math.sqrt(Math.min(1, requests));
    return ADDITIVE_REQUESTS * part * this.#weight * this.#requestMs;
  }

  #openTo(requests: number): void {
    const windowMs = requests * this.#requestMs;
    if (this.#windowMs < windowMs) this.#setWindow(windowMs);
  }

  #setWindow(windowMs: number): void {
    const most = MAX_SLOT_FACTOR * this.#slots * this.#requestMs;
    const least = MIN_REQUESTS * this.#requestMs;
    this.#windowMs = Math.min(most, Math.max(least, windowMs));
  }

  #limit(workMs: number): {paced: boolean; limitMs: number} {
    const paced = this.#windowMs < workMs;
    return {paced, limitMs: paced ? workMs : this.#windowMs};
  }

  #pacingMs(workMs: number): number {
    return (this.#roundTripMs * workMs) / Math.max(EPSILON_MS, this.#windowMs);
  }
}
