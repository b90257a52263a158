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
const KEY_TRUST_FRACTION = 0.85;

/** Control counts as out of touch after this part of the bound. */
const DENIAL_FRACTION = 0.4;

/**
 * A member of control pushes a change once it has it, so it is with a gateway a
 * few hundredths of a second after the leader confirmed it. A member can lag and
 * look well: it hears the leader on one connection and gets the log on another, and
 * may be off the group, or be sent all of the log anew. Its gateways would serve by
 * the former configuration for as long. Asking every half second, a gateway goes
 * on 1.2 s after the change at the latest; operators count on two.
 */
const MAX_LAG_MS = 500;

/** Follows what was confirmed, and when it was asked. */
export class ConfigurationAuthority {
  readonly #boundMs: number;
  #freshAt: ClockReading | undefined;
  #pending:
    {readonly revision: number; readonly askedAt: ClockReading} | undefined;
  #installedRevision = 0;
  /** Since when something newer than what is held is known to be in force. */
  #behindSince: number | undefined;

  /** @param boundMs a removed key's longest use after its removal */
  constructor(boundMs: number) {
    this.#boundMs = boundMs;
  }

  /**
   * @param revision the newest revision, confirmed by a majority
   * @param askedAt when the question was sent
   * @param now present time, monotonic milliseconds
   */
  confirm(revision: number, askedAt: ClockReading, now: number): void {
    if (revision <= this.#installedRevision) {
      this.#freshAt = askedAt;
      return;
    }
    this.#pending = {revision, askedAt};
    // Not from the question on: a process that was slow itself has the change
    // waiting beside the answer.
    this.#behindSince ??= now;
  }

  /** @param revision the revision that is in force here by now */
  noteInstalled(revision: number): void {
    this.#installedRevision = revision;
    if (!this.#pending || this.#pending.revision > revision) return;
    this.#freshAt = this.#pending.askedAt;
    this.#pending = undefined;
    this.#behindSince = undefined;
  }

  /**
   * Asks whether the member that this process hears is behind the others. Each
   * member that is gone on to has the same time again.
   *
   * @param now monotonic milliseconds
   * @returns true when it is time to go on to another member
   */
  shouldSwitchMember(now: number): boolean {
    const since = this.#behindSince;
    if (since === undefined || now - since < MAX_LAG_MS) return false;
    this.#behindSince = now;
    return true;
  }

  /**
   * @param at present time
   * @returns true while API keys may be believed
   */
  trustsKeys(at: ClockReading): boolean {
    return this.#age(at) < this.#boundMs * KEY_TRUST_FRACTION;
  }

  /**
   * @param at present time
   * @returns true while "there is no such route or key" can be said
   */
  canDeny(at: ClockReading): boolean {
    return this.#age(at) < this.#boundMs * DENIAL_FRACTION;
  }

  /**
   * The monotonic clock doesn't count a suspension, the wall clock may be set
   * back: whichever saw more time pass is believed.
   */
  #age({now, wallTime}: ClockReading): number {
    if (!this.#freshAt) return Infinity;
    return Math.max(now - this.#freshAt.now, wallTime - this.#freshAt.wallTime);
  }
}
