/**
 * Routers and sidecars with their real configuration state, subscribed to
 * control members through the real feeds. Connections are fakes, which can go
 * silent or end when their member stops.
 */
import {
  type Configuration,
  encodeConfiguration,
  type Unregister,
} from '@lovagepond/core';
import {
  CONTROL_DEFAULTS,
  ReadingReportLog,
  RunningRequestTotals,
  WorkspaceDemandTotals,
} from '@lovagepond/control';
import {
  type FeedUpdate,
  type FeedView,
  SubscriptionHub,
} from '@lovagepond/control/deciders';
import {DEFAULT_ROUTER_SETTINGS, RouterRevisions} from '@lovagepond/router';
import {SidecarRevisions} from '@lovagepond/sidecar';
import {type ControlGroup, type GroupMember} from './control_group.js';
import {type Timeline} from './timeline.js';

/** Configuration state of a router or a sidecar. */
interface RevisionHolder {
  revision(): number;
  install(configuration: Configuration): void;
  confirm(revision: number): void;
  mayServe(now: number): boolean;
}

function makeRouterHolder(): RevisionHolder {
  const revisions = new RouterRevisions(DEFAULT_ROUTER_SETTINGS);
  return {
    revision: () => revisions.configuration.revision,
    install: configuration => {
      revisions.install(encodeConfiguration(configuration));
    },
    confirm: revision => {
      revisions.confirm(revision);
    },
    mayServe: now => revisions.mayServe(now),
  };
}

function makeSidecarHolder(): RevisionHolder {
  const revisions = new SidecarRevisions({serveUnconfirmed: false});
  return {
    revision: () => revisions.revision,
    install: configuration => {
      revisions.install(configuration);
    },
    confirm: revision => {
      revisions.confirm(revision);
    },
    mayServe: () => revisions.mayServe(),
  };
}

const HOLDER_FACTORIES = {
  router: makeRouterHolder,
  sidecar: makeSidecarHolder,
} as const;

/** Role of a subscriber. */
export type SubscriberRole = keyof typeof HOLDER_FACTORIES;

const TICK_MS = 100;
const NETWORK_MS = 1;

/** One router or sidecar and its subscription. */
export class SubscribedNode {
  readonly name: string;
  readonly holder: RevisionHolder;
  /** Number of received updates that carried a whole configuration. */
  received = 0;
  /** True when the open connection delivers nothing, without an error. */
  isSilent = false;
  #lastUpdateAt = 0;
  #member = -1;
  #close: Unregister = () => undefined;
  readonly #role: SubscriberRole;
  readonly #subscribers: Subscribers;
  readonly #timeline: Timeline;

  constructor(
    role: SubscriberRole,
    name: string,
    subscribers: Subscribers,
    timeline: Timeline,
  ) {
    this.name = name;
    this.holder = HOLDER_FACTORIES[role]();
    this.#role = role;
    this.#subscribers = subscribers;
    this.#timeline = timeline;
    timeline.repeat(TICK_MS, () => {
      this.#reconnectWhenSilent();
    });
  }

  /** @param offset index of the member to subscribe to, modulo their number */
  connect(offset: number): void {
    this.#close();
    this.isSilent = false;
    this.#member = offset;
    this.#lastUpdateAt = this.#timeline.now;
    const subscriber = {
      node: this.name,
      role: this.#role,
      pool: '',
      revision: this.holder.revision(),
      takesDeltas: false,
    };
    let open = true;
    const receive = (update: FeedUpdate): void => {
      this.#timeline.schedule(NETWORK_MS, () => {
        if (open && !this.isSilent) this.#receive(update);
      });
    };
    const close = this.#subscribers.subscribe(
      offset,
      subscriber,
      receive,
      () => {
        if (open) this.#lastUpdateAt = -Infinity;
      },
    );
    this.#close = () => {
      open = false;
      close();
    };
  }

  #receive(update: FeedUpdate): void {
    this.#lastUpdateAt = this.#timeline.now;
    if (update.kind !== 'configuration') return;
    const {configuration, withContent, confirmed} = update;
    if (withContent) {
      this.received += 1;
      this.holder.install(configuration);
    }
    if (confirmed) this.holder.confirm(configuration.revision);
  }

  #reconnectWhenSilent(): void {
    const silentMs = this.#timeline.now - this.#lastUpdateAt;
    if (silentMs < DEFAULT_ROUTER_SETTINGS.controlSilentAfterMs) return;
    this.connect(this.#member + 1);
  }
}

/** All subscribers, and the subscription hub of each control member. */
export class Subscribers {
  readonly nodes: SubscribedNode[] = [];
  readonly #control: ControlGroup;
  readonly #timeline: Timeline;
  readonly #hubs: readonly SubscriptionHub[];
  readonly #unconfirmedFeeds = new Set<
    ReturnType<SubscriptionHub['add']>['feed']
  >();

  constructor(control: ControlGroup, timeline: Timeline) {
    this.#control = control;
    this.#timeline = timeline;
    this.#hubs = control.members.map(
      () => new SubscriptionHub(CONTROL_DEFAULTS, timeline.now),
    );
    timeline.repeat(TICK_MS, () => {
      this.#pump();
    });
    this.#pump();
  }

  /**
   * @param role role of the new nodes
   * @param count number of nodes to start
   * @returns the new nodes, subscribed to the members in turn
   */
  add(role: SubscriberRole, count: number): readonly SubscribedNode[] {
    const added = Array.from({length: count}, (_, index) => {
      const name = `${role}-${this.nodes.length + index + 1}`;
      return new SubscribedNode(role, name, this, this.#timeline);
    });
    added.forEach((node, index) => {
      node.connect(index);
    });
    this.nodes.push(...added);
    return added;
  }

  /**
   * @param offset index of the member, modulo their number
   * @param subscriber the subscribing node
   * @param onUpdate called with each update
   * @param onEnd called when the member ends the subscription
   * @returns a function that ends the subscription
   */
  subscribe(
    offset: number,
    subscriber: Parameters<SubscriptionHub['add']>[0],
    onUpdate: (update: FeedUpdate) => void,
    onEnd: () => void,
  ): Unregister {
    const index = offset % this.#hubs.length;
    const hub = this.#hubs[index] as SubscriptionHub;
    const member = this.#control.members[index] as GroupMember;
    if (this.#control.isStopped(member)) {
      this.#timeline.schedule(NETWORK_MS, onEnd);
      return () => undefined;
    }
    const sink = {isWritable: () => true, send: onUpdate, end: onEnd};
    const {feed, remove} = hub.add(subscriber, sink);
    this.#unconfirmedFeeds.add(feed);
    return remove;
  }

  /** Confirms the revision while a majority runs; the next tick retries. */
  #confirm(): void {
    if (!this.#control.hasMajority) return;
    const {machine} = this.#control.leader;
    const {revision} = machine.configuration.current.read();
    for (const feed of this.#unconfirmedFeeds) feed.confirm(revision);
    this.#unconfirmedFeeds.clear();
  }

  #pump(): void {
    this.#confirm();
    const {now} = this.#timeline;
    this.#hubs.forEach((hub, index) => {
      const member = this.#control.members[index] as GroupMember;
      if (this.#control.isStopped(member)) {
        hub.endAll();
        return;
      }
      if (this.#control.hasMajority) hub.recordContact(now, now);
      hub.flush(this.#makeView(member), now);
    });
  }

  #makeView(member: GroupMember): FeedView {
    return {
      leads: this.#control.leader === member,
      configuration: member.machine.configuration.current.read(),
      contentOf: () => undefined,
      membershipVersion: 0,
      running: new RunningRequestTotals(),
      demand: new WorkspaceDemandTotals(),
      readings: new ReadingReportLog(),
      streamPeers: new Map(),
      crashesVersion: 0,
      suspects: () => [],
      controlMembers: [],
      changesSince: () => undefined,
      readLoad: () => undefined,
    };
  }
}
