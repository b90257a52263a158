/**
 * Determines the next updates to one subscriber.
 *
 * A feed compares the state that it last sent with the present state, so that a
 * slow subscriber skips outdated updates: however far it lags, it gets one
 * configuration and one membership change, never a replay.
 */
import {
  type ReadingReportLog,
  type ReadingReport,
} from './reading_report_log.js';
import {type Configuration, type ConfigurationContent} from '@lovagepond/core';
import {type SuspectView} from './control_administration.js';
import {type MembershipChange} from './membership_log.js';
import {type LoadReport} from './membership_registry.js';
import {RunningRequestFeed} from './running_request_feed.js';
import {type RunningRequestTotals} from './running_request_totals.js';
import {type StreamPeerAddresses} from './stream_peer_table.js';
import {
  type OthersDemand,
  WorkspaceDemandFeed,
} from './workspace_demand_feed.js';
import {type WorkspaceDemandTotals} from './workspace_demand_totals.js';

/** The state of a member that it publishes to its subscribers. */
export interface FeedView {
  /** Whether this member is the leader with a valid lease. */
  readonly leads: boolean;
  readonly configuration: Configuration;
  /** @returns the content of a revision; undefined when no longer kept */
  contentOf(revision: number): ConfigurationContent | undefined;
  readonly membershipVersion: number;
  /** @returns the changes in a pool since a version */
  changesSince(version: number, pool: string): MembershipChange | undefined;
  /** @returns the newest load report; undefined when none is fresh */
  readLoad(): LoadReport | undefined;
  readonly readings: ReadingReportLog;
  readonly running: RunningRequestTotals;
  readonly demand: WorkspaceDemandTotals;
  /** Increases when {@link FeedView.suspects} may have changed. */
  readonly crashesVersion: number;
  /** @returns requests that are suspected of crashing servers */
  suspects(): readonly SuspectView[];
  readonly streamPeers: StreamPeerAddresses;
  /** `host:port` of the members of control; empty while none is known. */
  readonly controlMembers: readonly string[];
}

/** A node that subscribes, and the state that it already has. */
export interface Subscriber {
  readonly node: string;
  readonly role: string;
  /** The only pool to send; empty for all. */
  readonly pool: string;
  /** Configuration revision that it already holds. */
  readonly revision: number;
  /** Whether it can apply deltas to the configuration that it holds. */
  readonly takesDeltas: boolean;
  /** For a member of control: the newest log version that it can apply. */
  readonly logVersion?: number;
}

/** Intervals of periodic updates. */
export interface FeedSettings {
  readonly digestIntervalMs: number;
  readonly heartbeatIntervalMs: number;
}

/** One update to send. */
export type FeedUpdate =
  | {
      readonly kind: 'configuration';
      readonly configuration: Configuration;
      /** False when the subscriber already holds the content. */
      readonly withContent: boolean;
      /** The configuration that the subscriber holds, as base of a delta. */
      readonly base?: Configuration;
      /** A majority confirmed the revision after the subscription began. */
      readonly confirmed: boolean;
    }
  | {readonly kind: 'quarantine'; readonly suspects: readonly SuspectView[]}
  | {readonly kind: 'membership'; readonly change: MembershipChange}
  | {readonly kind: 'load'; readonly load: LoadReport}
  | {
      readonly kind: 'readings';
      readonly reports: readonly ReadingReport[];
      /** For a router: the number of other routers. */
      readonly routers?: number;
      /** For a router: the demand of the others in the pools it reports. */
      readonly demand?: readonly OthersDemand[];
    }
  | {
      readonly kind: 'controlMembers';
      readonly addresses: readonly string[];
      /** Redirects the subscriber to one of these members. */
      readonly goOn: boolean;
    }
  | {
      readonly kind: 'streamPeers';
      readonly whole: boolean;
      /** Names and addresses of gateways. */
      readonly peers: readonly (readonly [string, string])[];
      readonly gone: readonly string[];
    }
  | {
      readonly kind: 'heartbeat';
      readonly revision: number;
      /** Time since the last contact with the leader, ms; 0 if recent. */
      readonly contactAgeMs: number;
    };

/** Role of followers, which mirror the leader's membership. */
export const CONTROL_ROLE = 'control';

/** Role of routers, which get readings for the placement of prompts. */
export const ROUTER_ROLE = 'router';

/** Factor by which followers get loads more often, as they publish them. */
const FOLLOWER_LOAD_RATE = 4;

/** Factor by which followers get heartbeats more often: see `nextContact`. */
const FOLLOWER_HEARTBEAT_RATE = 2;

function toReadingsUpdates(reports: readonly ReadingReport[]): FeedUpdate[] {
  return reports.length > 0 ? [{kind: 'readings', reports}] : [];
}

/** Tracks what was sent to one subscriber. */
export class SubscriptionFeed {
  readonly subscriber: Subscriber;
  readonly #settings: FeedSettings;
  readonly #digestIntervalMs: number;
  readonly #heartbeatIntervalMs: number;
  #heldRevision: number;
  /** A majority confirmed this revision after the subscription began. */
  #confirmedRevision: number | undefined;
  #sentConfirmed = false;
  #sentMembershipVersion = 0;
  #sentCrashesVersion = 0;
  #sentReadingsSequence: number | undefined;
  readonly #running: RunningRequestFeed;
  readonly #demand: WorkspaceDemandFeed;
  #sentMembers: readonly string[] = [];
  #sentStreamPeers: StreamPeerAddresses | undefined;
  #lastLoadAt = -Infinity;
  #lastSentAt = -Infinity;
  /** The subscriber knows that this member has lost the leader. */
  #hasToldLoss = false;

  constructor(subscriber: Subscriber, settings: FeedSettings) {
    this.subscriber = subscriber;
    this.#settings = settings;
    const isFollower = subscriber.role === CONTROL_ROLE;
    const {digestIntervalMs, heartbeatIntervalMs} = settings;
    this.#digestIntervalMs =
      digestIntervalMs / (isFollower ? FOLLOWER_LOAD_RATE : 1);
    this.#heartbeatIntervalMs =
      heartbeatIntervalMs / (isFollower ? FOLLOWER_HEARTBEAT_RATE : 1);
    this.#heldRevision = subscriber.revision;
    this.#running = new RunningRequestFeed(subscriber.node);
    this.#demand = new WorkspaceDemandFeed(subscriber.node);
  }

  /**
   * Records the result of a read barrier that began after the subscription. A
   * restarted process that holds this revision is as current as a majority and
   * may accept work.
   *
   * @param revision the revision in force at the barrier
   */
  confirm(revision: number): void {
    this.#confirmedRevision = revision;
  }

  /** Whether {@link SubscriptionFeed.confirm} was called. */
  get confirmed(): boolean {
    return this.#confirmedRevision !== undefined;
  }

  /**
   * @param view the member's present state
   * @param contactAgeMs time since the member's last contact with the leader
   * @param now monotonic milliseconds
   * @returns the updates to send now, in order
   */
  next(view: FeedView, contactAgeMs: number, now: number): FeedUpdate[] {
    // A leader without its lease sends nothing to followers: a heartbeat would
    // count as contact with the leader, and they would keep their subscribers.
    const isFollower = this.subscriber.role === CONTROL_ROLE;
    if (isFollower && !view.leads) return [];
    const updates = [
      ...this.#nextContact(view, contactAgeMs),
      ...this.#nextQuarantine(view),
      ...this.#nextConfiguration(view),
      ...this.#nextControlMembers(view),
      ...this.#nextMembership(view),
      ...this.#nextStreamPeers(view),
      ...this.#nextLoad(view, now),
      ...this.#nextReadings(view),
      ...this.#nextSums(view, now),
    ];
    const isIdle = now - this.#lastSentAt >= this.#heartbeatIntervalMs;
    if (updates.length === 0 && isIdle) {
      updates.push(this.#makeHeartbeat(view, contactAgeMs));
    }
    if (updates.length > 0) this.#lastSentAt = now;
    return updates;
  }

  /**
   * Tells at once that the member has lost the leader, and when it is back. The
   * leader sends followers something well within the time after which it counts
   * as lost.
   */
  #nextContact(view: FeedView, contactAgeMs: number): FeedUpdate[] {
    if (this.#hasLostLeader(contactAgeMs) === this.#hasToldLoss) return [];
    return [this.#makeHeartbeat(view, contactAgeMs)];
  }

  #makeHeartbeat(
    {configuration: {revision}}: FeedView,
    contactAgeMs: number,
  ): FeedUpdate {
    this.#hasToldLoss = this.#hasLostLeader(contactAgeMs);
    const toldMs = this.#hasToldLoss ? contactAgeMs : 0;
    return {kind: 'heartbeat', revision, contactAgeMs: toldMs};
  }

  #hasLostLeader(contactAgeMs: number): boolean {
    return contactAgeMs > this.#settings.heartbeatIntervalMs;
  }

  #nextConfiguration(view: FeedView): FeedUpdate[] {
    // A follower gets the configuration from the log.
    if (this.subscriber.role === CONTROL_ROLE) return [];
    const {configuration} = view;
    const {revision} = configuration;
    const confirmed =
      this.#confirmedRevision !== undefined &&
      revision >= this.#confirmedRevision;
    const withContent = revision > this.#heldRevision;
    const newlyConfirmed = confirmed && !this.#sentConfirmed;
    if (!withContent && !newlyConfirmed) return [];
    const base = withContent ? this.#baseOf(view) : undefined;
    this.#heldRevision = Math.max(this.#heldRevision, revision);
    this.#sentConfirmed ||= confirmed;
    const update = {configuration, withContent, confirmed, ...(base && {base})};
    return [{kind: 'configuration', ...update}];
  }

  #baseOf(view: FeedView): Configuration | undefined {
    const revision = this.#heldRevision;
    if (!this.subscriber.takesDeltas || revision === 0) return undefined;
    const content = view.contentOf(revision);
    return content && {revision, content};
  }

  /** Sent before the servers, as a router without servers runs no request. */
  #nextQuarantine(view: FeedView): FeedUpdate[] {
    if (this.subscriber.role !== ROUTER_ROLE) return [];
    const {crashesVersion} = view;
    if (crashesVersion === this.#sentCrashesVersion) return [];
    this.#sentCrashesVersion = crashesVersion;
    return [{kind: 'quarantine', suspects: view.suspects()}];
  }

  /** Followers get the members from the log. */
  #nextControlMembers({controlMembers: addresses}: FeedView): FeedUpdate[] {
    if (this.subscriber.role === CONTROL_ROLE) return [];
    const sent = this.#sentMembers;
    const isSame =
      sent.length === addresses.length &&
      sent.every((address, at) => address === addresses[at]);
    if (isSame) return [];
    this.#sentMembers = addresses;
    return [{kind: 'controlMembers', addresses, goOn: false}];
  }

  #nextMembership(view: FeedView): FeedUpdate[] {
    if (view.membershipVersion <= this.#sentMembershipVersion) return [];
    const {pool} = this.subscriber;
    const change = view.changesSince(this.#sentMembershipVersion, pool);
    this.#sentMembershipVersion = view.membershipVersion;
    if (!change) return [];
    const {members, gone, whole, wholeDirect} = change;
    const isEmpty = members.length === 0 && gone.length === 0;
    if (isEmpty && !whole && !wholeDirect) return [];
    return [{kind: 'membership', change}];
  }

  #nextStreamPeers({streamPeers: present}: FeedView): FeedUpdate[] {
    const sent = this.#sentStreamPeers;
    if (this.subscriber.role !== ROUTER_ROLE || sent === present) return [];
    if (!sent && present.size === 0) return [];
    this.#sentStreamPeers = present;
    const peers = [...present].filter(([node, at]) => sent?.get(node) !== at);
    const gone = [...(sent?.keys() ?? [])].filter(node => !present.has(node));
    return [{kind: 'streamPeers', whole: !sent, peers, gone}];
  }

  #nextReadings({readings}: FeedView): FeedUpdate[] {
    const {role} = this.subscriber;
    const isFollower = role === CONTROL_ROLE;
    if (!isFollower && role !== ROUTER_ROLE) return [];
    const last = this.#sentReadingsSequence;
    this.#sentReadingsSequence = readings.sequence;
    // A subscriber that lags behind the kept reports gets all kept readings.
    const isComplete = last !== undefined && readings.keepsSince(last);
    if (!isComplete) return toReadingsUpdates(readings.history());
    // A follower needs all reports, for its own totals and its routers.
    const reports = isFollower
      ? readings.since(last)
      : readings.readingsSince(last);
    return toReadingsUpdates(reports);
  }

  /** Sent together, as both consist of sums of all other routers' reports. */
  #nextSums(view: FeedView, now: number): FeedUpdate[] {
    const {role, node} = this.subscriber;
    if (role !== ROUTER_ROLE) return [];
    const running = this.#running.next(view.running, now);
    const demand = this.#demand.next(view.demand, now);
    if (running.length === 0 && demand.length === 0) return [];
    const routers = view.running.countOtherRouters(node);
    const reports =
      running.length > 0 ? [{node: '', readings: [], running}] : [];
    const sums = demand.length > 0 && {demand};
    return [{kind: 'readings', reports, routers, ...sums}];
  }

  #nextLoad(view: FeedView, now: number): FeedUpdate[] {
    if (now - this.#lastLoadAt < this.#digestIntervalMs) return [];
    const load = view.readLoad();
    if (!load || load.loads.length === 0) return [];
    this.#lastLoadAt = now;
    return [{kind: 'load', load}];
  }
}
