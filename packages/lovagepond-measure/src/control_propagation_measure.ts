/**
 * Propagation time of an accepted change, and the cost of subscribers.
 */
import {ControlRole} from '@lovagepond/control';
import {type ConfigurationContent, Random} from '@lovagepond/core';
import {announceServers} from './control_announcements.js';
import {singleMemberSettings} from './control_group.js';
import {CountingForwarder, StubSubscriber} from './control_subscribers.js';
import {withTemporaryFolder} from './measure_disk.js';
import {MEASURE_CLOCK, NO_LOG, waitUntil} from './measure_environment.js';
import {Distribution, roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SUBSCRIBERS = [10, 100, 1_000] as const;
const CHANGES = 20;
const WORKSPACES = 480;
const MODELS = 25;
const SERVERS = 640;
const IDLE_SUBSCRIBERS = 20;
const IDLE_MS = 8_000;
/** Server lease; control publishes list and loads one lease after its start. */
const LEASE_MS = 4_000;
/** Exceeds the lease; expiry is suspended when all servers' leases end. */
const WARM_UP_MS = 5_000;
const CHANGES_PER_DAY = 1_300;
const SECONDS_PER_DAY = 86_400;

/** A configuration as large as the largest user plans. */
export function makeContent(workspaces: number): ConfigurationContent {
  return {
    pools: Array.from({length: MODELS}, (_, n) => ({
      name: `model-${n}`,
      kind: 'engine',
      labels: {model: `model-${n}`, tier: 'gold'},
      loadBound: 1.5,
      reuseWeight: 0.5,
      maxHoldMs: 8_000,
      prefillTokensPerSecond: 8_000,
      decodeTokensPerSecond: 2_400,
    })),
    selectors: Array.from({length: MODELS}, (_, n) => ({
      name: `selector-${n}`,
      workspaces: ['*'],
      requestKinds: ['*'],
      chatPrefixes: [],
      pools: `model=model-${n}`,
      backendServers: '',
      priority: n,
    })),
    workspaces: Array.from({length: workspaces}, (_, n) => ({
      name: `workspace-${n}`,
      weight: 1,
      priority: 5,
      maxQueuedTokens: 0,
    })),
    requestKinds: [{name: 'redemption', nonRepeatable: true}],
  };
}

async function withRole<Value>(
  run: (role: ControlRole) => Promise<Value>,
): Promise<Value> {
  return withTemporaryFolder(async folder => {
    const settings = {...singleMemberSettings(folder), leaseMs: LEASE_MS};
    const dependencies = {
      clock: MEASURE_CLOCK,
      log: NO_LOG,
      random: new Random(1),
    };
    const role = new ControlRole(settings, dependencies);
    await role.start();
    await waitUntil(() => role.isReady());
    try {
      return await run(role);
    } finally {
      await role.stop();
    }
  });
}

/** Installs the content as revision 1; later revisions change a workspace. */
async function change(role: ControlRole, revision: number): Promise<void> {
  const object = {name: 'workspace-0', weight: revision};
  const put = {kind: 'put', section: 'workspaces', object} as const;
  const replace = {kind: 'replace', content: makeContent(WORKSPACES)} as const;
  const answer = await role.administration.change({
    operationId: `change-${revision}`,
    baseRevision: revision - 1,
    dryRun: false,
    change: revision === 1 ? replace : put,
  });
  if (answer.kind !== 'accepted') throw new Error(answer.kind);
}

async function subscribe(
  target: string,
  count: number,
): Promise<StubSubscriber[]> {
  const subscribers = Array.from(
    {length: count},
    (_, n) => new StubSubscriber(target, `router-${n}`),
  );
  await waitUntil(() => subscribers.every(one => one.confirmed));
  return subscribers;
}

/** Resolves when all subscribers have received the revision. */
function waitForRevision(
  subscribers: readonly StubSubscriber[],
  revision: number,
): Promise<void> {
  return new Promise(resolve => {
    let missing = subscribers.length;
    for (const subscriber of subscribers) {
      subscriber.onRevision = applied => {
        if (applied !== revision) return;
        missing -= 1;
        if (missing === 0) resolve();
      };
    }
  });
}

async function measurePropagation(count: number): Promise<(string | number)[]> {
  return withRole(async role => {
    const subscribers = await subscribe(`127.0.0.1:${role.port}`, count);
    const accept = new Distribution(0.01);
    const propagation = new Distribution(0.01);
    for (let revision = 1; revision <= CHANGES; revision += 1) {
      const propagated = waitForRevision(subscribers, revision);
      const started = performance.now();
      await change(role, revision);
      const accepted = performance.now();
      await propagated;
      accept.record(accepted - started);
      propagation.record(performance.now() - accepted);
    }
    for (const subscriber of subscribers) subscriber.close();
    return [
      count,
      roundTo(accept.percentile(50), 1),
      roundTo(propagation.percentile(50), 1),
      roundTo(propagation.max, 1),
    ];
  });
}

/** @returns time from acceptance to receipt by the last subscriber */
export async function measureChangePropagation(): Promise<MeasureSection> {
  const rows: (string | number)[][] = [];
  for (const count of SUBSCRIBERS) rows.push(await measurePropagation(count));
  return {
    title: 'Propagation of an accepted change to all subscribers, over sockets',
    columns: [
      'subscribers',
      'accept p50 ms',
      'propagation p50 ms',
      'propagation max ms',
    ],
    rows,
    notes: [
      `${CHANGES} changes, ${WORKSPACES} workspaces, ${MODELS} pools; one member`,
      'all subscribers and the member share one process and one core',
    ],
  };
}

interface IdleCost {
  readonly bytesPerSecond: number;
  readonly microsecondsPerSecond: number;
  readonly bytesPerChange: number;
}

async function measureIdle(servers: number): Promise<IdleCost> {
  return withRole(async role => {
    await announceServers(role.port, servers);
    await change(role, 1);
    const forwarder = new CountingForwarder(role.port);
    const target = await forwarder.listen();
    const subscribers = await subscribe(target, IDLE_SUBSCRIBERS);
    const pause = (ms: number): Promise<void> =>
      new Promise(resolve => setTimeout(resolve, ms));
    await pause(WARM_UP_MS);
    const bytes = forwarder.bytesToClients + forwarder.bytesToServer;
    const cpu = process.cpuUsage();
    await pause(IDLE_MS);
    const used = process.cpuUsage(cpu);
    const idleBytes =
      forwarder.bytesToClients + forwarder.bytesToServer - bytes;
    const propagated = waitForRevision(subscribers, 2);
    const before = forwarder.bytesToClients;
    await change(role, 2);
    await propagated;
    const pushed = forwarder.bytesToClients - before;
    for (const subscriber of subscribers) subscriber.close();
    forwarder.close();
    const subscriberSeconds = (IDLE_SUBSCRIBERS * IDLE_MS) / 1000;
    return {
      bytesPerSecond: idleBytes / subscriberSeconds,
      microsecondsPerSecond: (used.user + used.system) / subscriberSeconds,
      bytesPerChange: pushed / IDLE_SUBSCRIBERS,
    };
  });
}

/** @returns traffic and processor time of an idle subscriber */
export async function measureIdleSubscribers(): Promise<MeasureSection> {
  const rows: (string | number)[][] = [];
  for (const servers of [0, SERVERS]) {
    const cost = await measureIdle(servers);
    const changes = (cost.bytesPerChange * CHANGES_PER_DAY) / SECONDS_PER_DAY;
    rows.push([
      servers,
      roundTo(cost.bytesPerSecond, 0),
      Math.round(cost.bytesPerChange),
      roundTo(changes, 1),
      roundTo(cost.bytesPerSecond + changes, 0),
      Math.round(cost.microsecondsPerSecond),
    ]);
  }
  return {
    title: 'Cost of a subscriber',
    columns: [
      'backend servers',
      'idle B/s',
      'B/change',
      `B/s at ${CHANGES_PER_DAY} changes/day`,
      'sum B/s',
      'idle CPU µs/s',
    ],
    rows,
    notes: [
      'bytes of TCP streams in both directions, counted by a proxy',
      `${IDLE_SUBSCRIBERS} subscribers, ${IDLE_MS} ms; CPU of member, clients and proxy`,
      '0 servers: heartbeats only; 640: with the load digest each second',
    ],
  };
}
