/**
 * Confirms subscriptions by read barriers, many subscriptions by each barrier.
 */
import {type SubscriptionFeed} from './subscription_feed.js';

/** Starts a read barrier; resolves with the confirmed revision, if any. */
export type ConfirmRevision = () => Promise<number | undefined>;

/**
 * Collects the feeds that wait for a confirmation. A barrier confirms only the
 * feeds added before it began: the leader that answered it may have been
 * partitioned before a later feed was added.
 */
export class ConfirmationRounds {
  readonly #confirmRevision: ConfirmRevision;
  readonly #waiting = new Set<SubscriptionFeed>();
  #running = false;

  constructor(confirmRevision: ConfirmRevision) {
    this.#confirmRevision = confirmRevision;
  }

  /** @param feed a feed to confirm */
  add(feed: SubscriptionFeed): void {
    this.#waiting.add(feed);
  }

  /** @param feed a feed whose subscription has ended */
  remove(feed: SubscriptionFeed): void {
    this.#waiting.delete(feed);
  }

  /**
   * Starts a round when feeds wait and no round is running. The feeds of a
   * failed round keep waiting, so the caller repeats this call.
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
