/**
 * Confirms subscriptions by read barriers, many by one barrier.
 */
import {type SubscriptionFeed} from './subscription_feed.js';

/** Resolves the revision in force at a barrier that began with the call. */
export type ConfirmRevision = () => Promise<number | undefined>;

/**
 * Collects subscriptions that wait for a confirmation. A barrier confirms only
 * those that were there before it began: one that began earlier may have been
 * answered by a leader that a partition has cut off since.
 */
export class ConfirmationRounds {
  readonly #confirmRevision: ConfirmRevision;
  readonly #waiting = new Set<SubscriptionFeed>();
  #running = false;

  constructor(confirmRevision: ConfirmRevision) {
    this.#confirmRevision = confirmRevision;
  }

  /** @param feed a feed that waits from now on */
  add(feed: SubscriptionFeed): void {
    this.#waiting.add(feed);
  }

  /** @param feed a feed whose subscription has ended */
  remove(feed: SubscriptionFeed): void {
    this.#waiting.delete(feed);
  }

  /**
   * Starts a round when feeds wait and none runs; call it again later, as a
   * failed round leaves its feeds waiting.
   *
   * @returns true when feeds were confirmed
   */
  async run(): Promise<boolean> {
    if (this.#running || this.#waiting.size === 0) return false;
    this.#running = true;
    const feeds = [...this.#waiting];
    try {
      const revision = await this.#confirmRevision();
      if (revision === undefined) return false;
      for (const feed of feeds) {
        feed.confirm(revision);
        this.#waiting.delete(feed);
      }
      return true;
    } finally {
      this.#running = false;
    }
  }
}
