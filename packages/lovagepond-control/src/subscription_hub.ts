/**
 * All subscriptions of one member, and when they end.
 */
import {type Unregister} from '@lovagepond/core';
import {LOG_VERSION} from './control_commands.js';
import {
  CONTROL_ROLE,
  type FeedSettings,
  type FeedUpdate,
  type FeedView,
  type Subscriber,
  SubscriptionFeed,
} from './subscription_feed.js';

/** Where a subscriber's updates go. */
export interface UpdateSink {
  /** @returns false when the connection takes no more at the moment */
  isWritable(): boolean;
  send(update: FeedUpdate): void;
  /** Ends the subscription; the subscriber goes on to another member. */
  end(): void;
}

interface Subscription {
  readonly feed: SubscriptionFeed;
  readonly sink: UpdateSink;
  /** It has been told of members that can serve it. */
  isRedirected?: boolean;
}

/** Settings of the hub. */
export interface HubSettings extends FeedSettings {
  /** Out of touch this long, the member ends its subscriptions. */
  readonly leaderContactLimitMs: number;
}

/** The subscriptions of one control member. */
export class SubscriptionHub {
  readonly #settings: HubSettings;
  readonly #subscriptions = new Set<Subscription>();
  readonly #startedAt: number;
  #contactAt: number;
  #hasHadContact = false;

  /**
   * @param settings intervals and the contact limit
   * @param now monotonic milliseconds
   */
  constructor(settings: HubSettings, now: number) {
    this.#settings = settings;
    this.#startedAt = now;
    this.#contactAt = now - settings.leaderContactLimitMs;
  }

  /** The oldest version of the log's commands that a subscribed member knows. */
  get oldestLogVersion(): number {
    const members = [...this.#subscriptions].filter(
      ({feed}) => feed.subscriber.role === CONTROL_ROLE,
    );
    const versions = members.map(({feed}) => feed.subscriber.logVersion ?? 0);
    return Math.min(LOG_VERSION, ...versions);
  }

  /** Subscriptions open at this member. */
  get size(): number {
    return this.#subscriptions.size;
  }

  /**
   * @param now monotonic milliseconds
   * @returns true while what this member knows is fresh enough to serve
   */
  isFresh(now: number): boolean {
    return now - this.#contactAt < this.#settings.leaderContactLimitMs;
  }

  /**
   * A member that has just started knows nothing yet, as all the others may
   * that were started with it. Subscribers wait here for the first leader:
   * sent away, they would go around all members and come too late to each.
   *
   * @param now monotonic milliseconds
   * @returns true while subscribers may come or stay
   */
  acceptsSubscribers(now: number): boolean {
    const {leaderContactLimitMs} = this.#settings;
    const isStarting =
      !this.#hasHadContact && now - this.#startedAt < leaderContactLimitMs;
    return isStarting || this.isFresh(now);
  }

  /**
   * Adds a subscription.
   *
   * @param subscriber who it is
   * @param sink where its updates go
   * @returns the feed, to confirm once a read barrier has ended, and a
   *     function that takes the subscription out
   */
  add(
    subscriber: Subscriber,
    sink: UpdateSink,
  ): {readonly feed: SubscriptionFeed; readonly remove: Unregister} {
    const feed = new SubscriptionFeed(subscriber, this.#settings);
    const subscription = {feed, sink};
    this.#subscriptions.add(subscription);
    const remove = (): void => {
      this.#subscriptions.delete(subscription);
    };
    return {feed, remove};
  }

  /**
   * Notes when this member was in touch: as leader with a majority, as
   * follower with the leader. A member on the far side of a silent partition
   * would otherwise hold its subscribers at an old configuration for as long
   * as the partition lasts; ended, they find a member that is in touch.
   *
   * @param contactAt when it last was, monotonic milliseconds
   * @param now monotonic milliseconds
   */
  recordContact(contactAt: number, now: number): void {
    this.#contactAt = Math.max(this.#contactAt, contactAt);
    this.#hasHadContact ||= this.isFresh(now);
    if (!this.acceptsSubscribers(now)) this.endAll();
  }

  /**
   * Sends every subscriber what it lacks.
   *
   * @param view what there is
   * @param now monotonic milliseconds
   */
  flush(view: FeedView, now: number): void {
    if (!this.#hasHadContact) return;
    for (const {feed, sink} of this.#subscriptions) {
      if (!sink.isWritable()) continue;
      for (const update of feed.next(view, now)) sink.send(update);
    }
  }

  /**
   * Sends subscribers on to members that can serve them. A host without a memory
   * is let in by the leader, and then has the log, some 0.7 s after the others
   * when all were stopped; where all addresses of the settings are of such hosts,
   * every gateway waited for that.
   *
   * @param members `host:port` of members that are there
   */
  redirectSubscribers(members: readonly string[]): void {
    if (members.length === 0) return;
    for (const subscription of this.#subscriptions) {
      if (subscription.isRedirected) continue;
      subscription.isRedirected = true;
      subscription.sink.send({
        kind: 'controlMembers',
        addresses: members,
        goOn: true,
      });
    }
  }

  /** Ends every subscription. */
  endAll(): void {
    const ended = [...this.#subscriptions];
    this.#subscriptions.clear();
    for (const {sink} of ended) sink.end();
  }
}
