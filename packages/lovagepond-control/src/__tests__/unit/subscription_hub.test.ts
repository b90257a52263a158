import {EMPTY_CONFIGURATION} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {ConfirmationRounds} from '../../confirmation_rounds.js';
import {type OrderView} from '../../control_administration.js';
import {OrderDelivery} from '../../order_delivery.js';
import {type FeedUpdate, type FeedView} from '../../subscription_feed.js';
import {LOG_VERSION} from '../../control_commands.js';
import {SubscriptionHub, type UpdateSink} from '../../subscription_hub.js';
import {makeView} from '../model/feed_view.js';

const SETTINGS = {
  digestIntervalMs: 1_000,
  heartbeatIntervalMs: 1_000,
  leaderContactLimitMs: 3_000,
};
const ROUTER = {
  node: 'router',
  role: 'router',
  pool: '',
  revision: 0,
  takesDeltas: false,
};

class Sink implements UpdateSink {
  readonly sent: FeedUpdate[] = [];
  writable = true;
  ended = false;

  isWritable(): boolean {
    return this.writable;
  }

  send(update: FeedUpdate): void {
    this.sent.push(update);
  }

  end(): void {
    this.ended = true;
  }

  /** @returns the updates sent since the last call */
  take(): FeedUpdate[] {
    return this.sent.splice(0);
  }
}

function startHub(): SubscriptionHub {
  const hub = new SubscriptionHub(SETTINGS, 0);
  hub.recordContact(0, 0);
  return hub;
}

// A router's connection applies backpressure while hundreds of changes are
// accepted. When it is writable again, the router must get only the newest
// configuration, not a replay.
test('a lagging subscriber gets one configuration', () => {
  const hub = startHub();
  const sink = new Sink();
  const {feed} = hub.add(ROUTER, sink);
  feed.confirm(0);
  hub.flush(makeView(1), 0);
  sink.take();
  sink.writable = false;
  for (let revision = 2; revision < 500; revision += 1) {
    hub.flush(makeView(revision), revision);
  }
  sink.writable = true;
  hub.flush(makeView(500), 500);
  expect(sink.take()).toMatchObject([
    {kind: 'configuration', configuration: {revision: 500}, confirmed: true},
  ]);
});

// The log keeps the latest reports only. A router whose connection was stalled for
// longer would never learn what engines have prefilled in between.
test('a subscriber that has missed reports gets all kept readings', () => {
  const hub = startHub();
  const sink = new Sink();
  hub.add(ROUTER, sink);
  const view = makeView(1);
  hub.flush(view, 0);
  sink.take();
  sink.writable = false;
  const reading = {backendServer: 's', prefix: '/a', tokens: 100};
  view.readings.add({node: 'g', readings: [reading], running: []});
  for (let at = 0; at < 3_000; at += 1) {
    view.readings.add({node: 'g', readings: [], running: []});
  }
  hub.flush(view, 100);
  sink.writable = true;
  hub.flush(view, 200);
  const reports = [{readings: [{...reading, tokens: 0}]}];
  expect(sink.take()).toMatchObject([{kind: 'readings', reports}]);
});

// A restarted router subscribes to a member that lags behind. It may install
// the member's revision, but must accept work only with a revision as new as
// that of a majority: only such a revision may be marked as confirmed.
test('a revision older than the barrier is never marked confirmed', () => {
  const hub = startHub();
  const sink = new Sink();
  const {feed} = hub.add(ROUTER, sink);
  hub.flush(makeView(6), 0);
  feed.confirm(7);
  hub.flush(makeView(6), 100);
  expect(sink.take()).toMatchObject([
    {kind: 'configuration', confirmed: false},
  ]);
  hub.flush(makeView(7), 200);
  expect(sink.take()).toMatchObject([
    {configuration: {revision: 7}, withContent: true, confirmed: true},
  ]);
  const held = new Sink();
  hub.add({...ROUTER, revision: 7}, held).feed.confirm(7);
  hub.flush(makeView(7), 300);
  expect(held.take()).toMatchObject([
    {kind: 'configuration', withContent: false, confirmed: true},
  ]);
});

// A router subscribes while a barrier is running. The barrier may be answered
// by a leader that was partitioned before the subscription, so it must not
// confirm that subscription.
test('a barrier confirms only subscriptions that began before it', async () => {
  const answers: ((revision: number | undefined) => void)[] = [];
  const rounds = new ConfirmationRounds(
    () => new Promise(resolve => answers.push(resolve)),
  );
  const hub = startHub();
  const early = hub.add(ROUTER, new Sink()).feed;
  const late = hub.add(ROUTER, new Sink()).feed;
  rounds.add(early);
  const first = rounds.run();
  rounds.add(late);
  expect(await rounds.run()).toBe(false);
  answers[0]!(3);
  await first;
  expect([early.confirmed, late.confirmed]).toEqual([true, false]);
  const failed = rounds.run();
  answers[1]!(undefined);
  await failed;
  const second = rounds.run();
  answers[2]!(4);
  await second;
  expect(late.confirmed).toBe(true);
});

// A silent partition cuts off a member while its streams to routers stay open.
// Unless the member ends them, these routers never get another change.
test('a member without contact ends subscriptions within the limit', () => {
  const hub = startHub();
  const sink = new Sink();
  hub.add(ROUTER, sink);
  hub.recordContact(0, 2_999);
  expect([sink.ended, hub.isFresh(2_999)]).toEqual([false, true]);
  hub.recordContact(0, 3_000);
  expect([sink.ended, hub.isFresh(3_000), hub.size]).toEqual([true, false, 0]);
  hub.recordContact(4_000, 4_000);
  expect(hub.isFresh(4_000)).toBe(true);
});

// A partitioned leader has lost its lease, with one follower on its side. That
// follower would count heartbeats as contact, and keep its routers at an old
// configuration for as long as the old leader runs.
test('a leader without its lease sends nothing to followers', () => {
  const hub = startHub();
  const [follower, router] = [new Sink(), new Sink()];
  hub.add({...ROUTER, role: 'control'}, follower);
  hub.add(ROUTER, router);
  hub.recordContact(2_000, 2_000);
  hub.flush({...makeView(0, 3), leads: false}, 2_000);
  expect([follower.sent.length, router.sent.length]).toEqual([0, 1]);
  hub.flush(makeView(0, 3), 2_100);
  expect(follower.take()).toMatchObject([{kind: 'load'}]);
});

test('an idle subscriber gets one heartbeat or load per second', () => {
  const hub = startHub();
  const sink = new Sink();
  hub.add(ROUTER, sink).feed.confirm(0);
  const flushAt = (view: FeedView, now: number): void => {
    hub.recordContact(now, now);
    hub.flush(view, now);
  };
  for (let now = 0; now < 5_000; now += 100) flushAt(makeView(0), now);
  const kinds = sink.take().map(update => update.kind);
  expect(kinds).toEqual(['configuration', ...Array(4).fill('heartbeat')]);
  for (let now = 5_000; now < 8_000; now += 100) flushAt(makeView(0, 3), now);
  expect(sink.take().map(update => update.kind)).toEqual([
    ...['load', 'load', 'load'],
  ]);
});

// Guards against subscribers that take the heartbeats of a member without a leader
// for news.
test('a subscriber is told once when the leader is lost, and when it is back', () => {
  const hub = startHub();
  const sink = new Sink();
  hub.add(ROUTER, sink).feed.confirm(0);
  const agesUntil = (start: number, end: number): number[] => {
    for (let now = start; now < end; now += 100) hub.flush(makeView(0), now);
    const ages: number[] = [];
    for (const update of sink.take()) {
      if (update.kind === 'heartbeat') ages.push(update.contactAgeMs);
    }
    return ages;
  };
  expect(agesUntil(0, 1_100)).toEqual([0]);
  expect(agesUntil(1_100, 2_000)).toEqual([1_100]);
  expect(agesUntil(2_000, 2_200)).toEqual([2_100]);
  hub.recordContact(2_200, 2_200);
  expect(agesUntil(2_200, 2_400)).toEqual([0]);
});

// Many model loads are ordered at once, but the weight store is rate-limited.
// Only a limited number may be delivered, an unavailable server doesn't count,
// and no order may overtake a waiting one of its server, which it would fence.
test('model loads share the limit of the weight store', () => {
  const order = (n: number, server: string, action: string): OrderView =>
    ({
      orderId: `o${n}`,
      backendServer: server,
      action,
      arguments: {},
      fencingToken: n,
      message: '',
    }) as OrderView;
  const delivery = new OrderDelivery(2);
  const waiting = [
    order(1, 'away', 'loadModel'),
    order(2, 'a', 'loadModel'),
    order(3, 'b', 'loadModel'),
    order(4, 'c', 'loadModel'),
    order(5, 'c', 'unloadModel'),
    order(6, 'd', 'unloadModel'),
  ];
  const deliver = (orders: OrderView[]): string[] => {
    delivery.refresh(orders, server => server !== 'away');
    return ['away', 'a', 'b', 'c', 'd'].flatMap(server =>
      delivery.ordersFor(server).map(given => given.orderId),
    );
  };
  expect(deliver(waiting)).toEqual(['o2', 'o3', 'o6']);
  expect(deliver(waiting.slice(2))).toEqual(['o3', 'o4', 'o5', 'o6']);
});

// A router whose settings name three members must receive the fourth member's
// address before these three are lost: after that, none could send it.
test('a subscriber gets all member addresses and each change', () => {
  const hub = startHub();
  const sink = new Sink();
  hub.add(ROUTER, sink);
  hub.flush({...makeView(1), controlMembers: ['a', 'b']}, 0);
  expect(sink.take()).toContainEqual({
    kind: 'controlMembers',
    addresses: ['a', 'b'],
    goOn: false,
  });
  hub.flush({...makeView(1), controlMembers: ['a', 'b']}, 1);
  expect(sink.take()).toEqual([]);
  hub.flush({...makeView(1), controlMembers: ['b', 'c']}, 2);
  expect(sink.take()).toEqual([
    {kind: 'controlMembers', addresses: ['b', 'c'], goOn: false},
  ]);
});

// Operators send 1,900 rules to change one. A subscriber with the previous
// revision gets only that change. New subscribers, those with a revision that
// is no longer kept, and those that can't apply deltas get all rules.
test('a subscriber gets a delta to the revision that it holds', () => {
  const hub = startHub();
  const {content} = EMPTY_CONFIGURATION;
  const view = {
    ...makeView(9),
    contentOf: (revision: number) => (revision >= 7 ? content : undefined),
  };
  const baseOf = (revision: number, takesDeltas: boolean): unknown => {
    const sink = new Sink();
    hub.add({...ROUTER, revision, takesDeltas}, sink);
    hub.flush(view, 0);
    const [update] = sink.take();
    return update?.kind === 'configuration' && update.base?.revision;
  };
  expect(baseOf(8, true)).toBe(8);
  expect(baseOf(6, true)).toBeUndefined();
  expect(baseOf(0, true)).toBeUndefined();
  expect(baseOf(8, false)).toBeUndefined();
});

// After a stop of all hosts, gateways may know only addresses of hosts without
// a disk, which the leader must first admit. Gateways that wait there must be
// redirected once, as soon as the leader is known.
test('a member without a log redirects its subscribers once', () => {
  const hub = new SubscriptionHub(SETTINGS, 0);
  const sink = new Sink();
  hub.add(ROUTER, sink);
  hub.redirectSubscribers([]);
  expect(sink.take()).toEqual([]);
  hub.redirectSubscribers(['leader']);
  hub.redirectSubscribers(['leader']);
  expect(sink.take()).toEqual([
    {kind: 'controlMembers', addresses: ['leader'], goOn: true},
  ]);
});

// Guards against a starting router that runs a quarantined request because it
// gets the servers first.
test('a router gets quarantines before it gets servers', () => {
  const hub = startHub();
  const suspect = {
    request: 'ab',
    crashes: 3,
    quarantinedForMs: 1_000,
    companions: [],
  };
  const change = {
    version: 1,
    whole: true,
    wholeDirect: false,
    members: [],
    gone: [],
  };
  let suspects = [suspect];
  const view = (crashesVersion: number): FeedView => ({
    ...makeView(1),
    crashesVersion,
    suspects: () => suspects,
    membershipVersion: 1,
    changesSince: () => change,
  });
  const sink = new Sink();
  hub.add(ROUTER, sink);
  hub.flush(view(1), 0);
  const kinds = sink.take().map(({kind}) => kind);
  expect(kinds[0]).toBe('quarantine');
  expect(kinds).toContain('membership');
  hub.flush(view(1), 1);
  expect(sink.take()).toEqual([]);
  suspects = [];
  hub.flush(view(2), 2);
  expect(sink.take()).toEqual([{kind: 'quarantine', suspects: []}]);
});

// Guards against log entries that make members of the previous release stop.
test('the oldest log version is that of the oldest follower', () => {
  const hub = startHub();
  hub.add(ROUTER, new Sink());
  expect(hub.oldestLogVersion).toBe(LOG_VERSION);
  const member = {...ROUTER, role: 'control', logVersion: LOG_VERSION};
  hub.add(member, new Sink());
  expect(hub.oldestLogVersion).toBe(LOG_VERSION);
  const former = hub.add({...ROUTER, role: 'control'}, new Sink());
  expect(hub.oldestLogVersion).toBe(0);
  former.remove();
  expect(hub.oldestLogVersion).toBe(LOG_VERSION);
});
