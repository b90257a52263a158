/**
 * The subscriptions of one member.
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

/** Receives the updates to a subscriber. */
export interface UpdateSink {
  /** @returns false while the connection applies backpressure */
  isWritable(): boolean;
  send(update: FeedUpdate): void;
  /** Ends the subscription, so that the subscriber moves to another member. */
  end(): void;
}

/**
 * Time for which a member that has just started accepts subscribers without a
 * leader, milliseconds.
 */
const START_LIMIT_MS = 2_500;

interface Subscription {
  readonly feed: SubscriptionFeed;
  readonly sink: UpdateSink;
  /** Whether the subscriber has been redirected to other members. */
  isRedirected?: boolean;
}

export interface HubSettings extends FeedSettings {
  /** Time without contact after which the member ends its subscriptions. */
  readonly leaderContactLimitMs: number;
}

/**
 * Sends updates to all subscribers, and ends all subscriptions when the member
 * loses contact: a leader with a majority, a follower with the leader.
 */
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

  /** The lowest log version among this member and its subscribed followers. */
  get oldestLogVersion(): number {
    const members = [...this.#subscriptions].filter(
      ({feed}) => feed.subscriber.role === CONTROL_ROLE,
    );
    const versions = members.map(({feed}) => feed.subscriber.logVersion ?? 0);
    return Math.min(LOG_VERSION, ...versions);
  }

  /** Number of open subscriptions. */
  get size(): number {
    return this.#subscriptions.size;
  }

  /**
   * @param now monotonic milliseconds
   * @returns true while this member's state is recent enough to serve
   */
  isFresh(now: number): boolean {
    return now - this.#contactAt < this.#settings.leaderContactLimitMs;
  }

  /**
   * After a start of all members, none has contact until a leader is elected.
   * Subscribers wait for it at a member that has just started: if refused, they
   * would cycle through all members and reach each too late.
   *
   * @param now monotonic milliseconds
   * @returns true while subscribers are accepted and kept
   */
  acceptsSubscribers(now: number): boolean {
    const isStarting =
      !this.#hasHadContact && now - this.#startedAt < START_LIMIT_MS;
    return isStarting || this.isFresh(now);
  }

  /**
   * @param subscriber the subscriber
   * @param sink receives its updates
   * @returns the feed, to be confirmed after a read barrier, and a function
   *     that removes the subscription
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
   * Without contact, ends all subscriptions, so that subscribers move to a
   * member that has contact. Those of a partitioned member would keep an old
   * configuration for as long as the partition lasts.
   *
   * @param contactAt time of the last contact, monotonic milliseconds
   * @param now monotonic milliseconds
   */
  recordContact(contactAt: number, now: number): void {
    this.#contactAt = Math.max(this.#contactAt, contactAt);
    this.#hasHadContact ||= this.isFresh(now);
    if (!this.acceptsSubscribers(now)) this.endAll();
  }

  /**
   * Sends pending updates to every subscriber with a writable connection.
   *
   * @param view the member's present state
   * @param now monotonic milliseconds
   */
  flush(view: FeedView, now: number): void {
    if (!this.#hasHadContact) return;
    const contactAgeMs = now - this.#contactAt;
    for (const {feed, sink} of this.#subscriptions) {
      if (!sink.isWritable()) continue;
      for (const update of feed.next(view, contactAgeMs, now)) {
        sink.send(update);
      }
    }
  }

  /**
   * Redirects subscribers, once each, to members that can serve them. After a
   * stop of all hosts, a host without stored state must first be admitted by
   * the leader, and gets the log some 0.7 s after the others. Without the
   * redirect, gateways whose settings name only such hosts would wait as long.
   *
   * @param members `host:port` of the members to redirect to; may be empty
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
