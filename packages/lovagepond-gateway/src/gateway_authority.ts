/**
 * How surely this gateway's configuration is the newest.
 *
 * A gateway that is cut off, frozen or behind a stale member must not let a
 * removed key in. It asks again and again for the newest revision, confirmed
 * by a majority; the time of the last question whose answer it holds counts.
 */

/** A present time by two clocks. */
export interface ClockReading {
  /** Monotonic milliseconds; stands still while the machine is suspended. */
  readonly now: number;
  /** Wall-clock milliseconds; may jump either way. */
  readonly wallTime: number;
}

/**
 * Part of the bound after which keys are no longer believed. The rest covers
 * a request's way through this process and what clocks may differ.
 */
const USED_PART_OF_BOUND = 0.85;

/** Control counts as out of touch after this part of the bound. */
const SURE_PART_OF_BOUND = 0.4;

/** Follows what was confirmed, and when it was asked. */
export class ConfigurationAuthority {
  readonly #boundMs: number;
  #askedAt: ClockReading | undefined;
  #awaited:
    {readonly revision: number; readonly askedAt: ClockReading} | undefined;
  #heldRevision = 0;

  /** @param boundMs a removed key's longest use after its removal */
  constructor(boundMs: number) {
    this.#boundMs = boundMs;
  }

  /**
   * @param revision the newest revision, confirmed by a majority
   * @param askedAt when the question was sent
   */
  confirm(revision: number, askedAt: ClockReading): void {
    if (revision <= this.#heldRevision) this.#askedAt = askedAt;
    else this.#awaited = {revision, askedAt};
  }

  /** @param revision the revision that is in force here by now */
  hold(revision: number): void {
    this.#heldRevision = revision;
    if (!this.#awaited || this.#awaited.revision > revision) return;
    this.#askedAt = this.#awaited.askedAt;
    this.#awaited = undefined;
  }

  /**
   * @param at present time
   * @returns true while API keys may be believed
   */
  trustsKeys(at: ClockReading): boolean {
    return this.#age(at) < this.#boundMs * USED_PART_OF_BOUND;
  }

  /**
   * @param at present time
   * @returns true while "there is no such route or key" can be said
   */
  isSure(at: ClockReading): boolean {
    return this.#age(at) < this.#boundMs * SURE_PART_OF_BOUND;
  }

  /**
   * The monotonic clock doesn't count a suspension, the wall clock may be set
   * back: whichever saw more time pass is believed.
   */
  #age({now, wallTime}: ClockReading): number {
    if (!this.#askedAt) return Infinity;
    return Math.max(now - this.#askedAt.now, wallTime - this.#askedAt.wallTime);
  }
}
