/**
 * Bounds how stale a gateway's configuration may be.
 *
 * A gateway that is partitioned, suspended or subscribed to a lagging member of
 * control must not accept a removed API key. Each gateway therefore keeps
 * querying the newest revision confirmed by a majority. The configuration's age
 * counts from the sending of the last query whose revision is installed.
 */

import {type Clock} from '@lovagepond/core';

/** The current time by two clocks. */
export interface ClockReading {
  /** Monotonic milliseconds; stopped while the machine is suspended. */
  readonly now: number;
  /** Wall-clock milliseconds; may jump in either direction. */
  readonly wallTime: number;
}

/** @returns the present times of both clocks */
export function readClock(clock: Clock): ClockReading {
  return {now: clock.now(), wallTime: clock.wallTime()};
}

/**
 * The monotonic clock does not count a suspension and the wall clock may be set
 * back, so the larger of the two intervals is used.
 *
 * @param since an earlier time
 * @param at current time
 * @returns milliseconds in between
 */
export function elapsedMs(since: ClockReading, at: ClockReading): number {
  return Math.max(at.now - since.now, at.wallTime - since.wallTime);
}

/**
 * Fraction of the bound for which API keys are trusted. The rest allows for a
 * request's processing time and for clock drift.
 */
const KEY_TRUST_FRACTION = 0.85;

/**
 * Fraction of the bound for which contact with control counts as current, so
 * that an unknown route or key can be rejected with a final error.
 */
const DENIAL_FRACTION = 0.4;

/**
 * Time for which the subscribed member may lag behind a confirmed revision
 * before the gateway switches to another member, milliseconds. Normally a
 * member pushes a change within a few hundredths of a second after the leader
 * confirmed it. A member can lag and still look healthy: heartbeats and log
 * entries use separate connections, and the member may have been removed from
 * the group or be receiving the whole log again. Its gateways would keep the
 * previous configuration meanwhile. With a query every half second, a gateway
 * switches at most 1.2 s after the change; operators rely on 2 s.
 */
const MAX_LAG_MS = 500;

/** Tracks the confirmed and the installed revision, and the latter's age. */
export class ConfigurationAuthority {
  readonly #boundMs: number;
  #freshAt: ClockReading | undefined;
  #pending:
    {readonly revision: number; readonly askedAt: ClockReading} | undefined;
  #installedRevision = 0;
  /** When a revision newer than the installed one was first confirmed. */
  #behindSince: number | undefined;

  /**
   * @param boundMs longest time for which a removed API key may still be
   *     accepted, milliseconds
   */
  constructor(boundMs: number) {
    this.#boundMs = boundMs;
  }

  /**
   * @param revision the newest revision, confirmed by a majority
   * @param askedAt when the query was sent
   * @param now current time, monotonic milliseconds
   */
  confirm(revision: number, askedAt: ClockReading, now: number): void {
    if (revision <= this.#installedRevision) {
      this.#freshAt = askedAt;
      return;
    }
    this.#pending = {revision, askedAt};
    // Counts from the response, not from the query: a process that was itself
    // stalled receives the change together with the response.
    this.#behindSince ??= now;
  }

  /** @param revision the revision that is now installed */
  noteInstalled(revision: number): void {
    this.#installedRevision = revision;
    if (!this.#pending || this.#pending.revision > revision) return;
    this.#freshAt = this.#pending.askedAt;
    this.#pending = undefined;
    this.#behindSince = undefined;
  }

  /**
   * Reports whether the subscribed member of control has lagged for too long.
   * When it returns true, the time limit starts again for the next member.
   *
   * @param now current time, monotonic milliseconds
   * @returns true when the subscription should move to another member
   */
  shouldSwitchMember(now: number): boolean {
    const since = this.#behindSince;
    if (since === undefined || now - since < MAX_LAG_MS) return false;
    this.#behindSince = now;
    return true;
  }

  /**
   * @param at current time
   * @returns true while API keys of the installed configuration may be accepted
   */
  trustsKeys(at: ClockReading): boolean {
    return this.#age(at) < this.#boundMs * KEY_TRUST_FRACTION;
  }

  /**
   * @param at current time
   * @returns true while the configuration is recent enough to reject an unknown
   *     route or key with a final error
   */
  canDeny(at: ClockReading): boolean {
    return this.#age(at) < this.#boundMs * DENIAL_FRACTION;
  }

  #age(at: ClockReading): number {
    return this.#freshAt ? elapsedMs(this.#freshAt, at) : Infinity;
  }
}
