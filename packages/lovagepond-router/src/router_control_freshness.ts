/**
 * The age of what a member of control has told a subscriber.
 */
import {type lovagepond} from '@lovagepond/protocol';

type ControlUpdate = lovagepond.v1.ControlUpdate.$Properties;

/**
 * A member that has lost the leader goes on sending updates for a while, such as
 * heartbeats. The state counts as of the member's last contact then: the time for
 * which a member may lack a leader and that for which it may be silent would
 * otherwise add up.
 */
export class ControlFreshness {
  #updateAt: number;
  /** Last contact of a member that has lost the leader, monotonic ms. */
  #contactAt: number | undefined;

  /** @param now time of the subscription, monotonic milliseconds */
  constructor(now: number) {
    this.#updateAt = now;
  }

  /**
   * @param update an update of the subscription
   * @param now current time, monotonic milliseconds
   */
  note({heartbeat}: ControlUpdate, now: number): void {
    this.#updateAt = now;
    if (!heartbeat) return;
    const ageMs = heartbeat.contactAgeMs ?? 0;
    this.#contactAt = ageMs > 0 ? now - ageMs : undefined;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns age of the state, milliseconds
   */
  ageMs(now: number): number {
    return now - (this.#contactAt ?? this.#updateAt);
  }
}
