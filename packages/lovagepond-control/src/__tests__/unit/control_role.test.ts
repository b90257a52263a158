import {
  Client,
  credentials,
  Metadata,
  type MethodDefinition,
} from '@grpc/grpc-js';
import {MemoryStorage} from '@lovagepond/consensus';
import {Random} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {afterEach, expect, test, vi} from 'vitest';
import {ControlRole} from '../../control_role.js';
import {CONTROL_DEFAULTS} from '../../control_settings.js';
import {SILENT_LOG} from '../model/control_cluster.js';

const {v1} = lovagepond;
type Update = lovagepond.v1.ControlUpdate;

const CLOCK = {now: () => performance.now(), wallTime: () => Date.now()};
/** Crashes further apart than this don't count as one cause. */
const COMMON_CAUSE_MS = 250;

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Returns an address with a free port: members need all addresses at start. */
async function reserveAddress(): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
}

interface Member {
  readonly role: ControlRole;
  readonly client: Client;
}

async function startRole(
  address: string,
  members: readonly string[],
): Promise<Member> {
  const role = new ControlRole(
    {
      ...CONTROL_DEFAULTS,
      leaseMs: 60_000,
      leaderContactLimitMs: 4_000,
      nodeName: address,
      region: 'r',
      availabilityZone: 'z',
      address,
      host: '127.0.0.1',
      port: Number(address.split(':')[1]),
      administrationAddress: '',
      members,
      dataFolder: '',
    },
    {
      clock: CLOCK,
      log: SILENT_LOG,
      // With the same seed, the members' elections would split every vote.
      random: new Random(members.indexOf(address) + 1),
      storage: new MemoryStorage(`m-${address}`),
    },
  );
  await role.start();
  cleanups.push(() => role.stop());
  const client = new Client(address, credentials.createInsecure());
  cleanups.push(() => client.close());
  return {role, client};
}

/** Starts members and waits until all serve subscriptions. */
async function startMembers(count: number): Promise<Member[]> {
  const addresses: string[] = [];
  for (let n = 0; n < count; n += 1) addresses.push(await reserveAddress());
  const members = await Promise.all(
    addresses.map(address => startRole(address, addresses)),
  );
  const ready = () => members.every(({role}) => role.isReady());
  await vi.waitUntil(ready, {timeout: 10_000, interval: 20});
  return members;
}

function call<Req, Res>(
  client: Client,
  method: MethodDefinition<Req, Res>,
  req: Req,
): Promise<Res> {
  return new Promise((resolve, reject) => {
    const {path, requestSerialize, responseDeserialize} = method;
    client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      req,
      (err, res) => (res ? resolve(res) : reject(err as Error)),
    );
  });
}

/** Subscribes; `until` resolves when an update matches. */
function subscribe(client: Client): {
  until(matches: (update: Update) => boolean): Promise<Update>;
  readonly ended: Promise<void>;
} {
  const method = CONTROL_SERVICE.subscribe;
  const stream = client.makeServerStreamRequest(
    method.path,
    method.requestSerialize,
    method.responseDeserialize,
    new v1.SubscribeRequest({node: 'router-1', role: 'router'}),
    new Metadata(),
    {},
  );
  const ended = new Promise<void>(resolve => {
    stream.on('error', () => {
      resolve();
    });
  });
  cleanups.push(() => stream.cancel());
  const received: Update[] = [];
  let check = (): void => {};
  stream.on('data', (update: Update) => {
    received.push(update);
    check();
  });
  const until = (matches: (update: Update) => boolean): Promise<Update> =>
    new Promise(resolve => {
      check = () => {
        const found = received.find(matches);
        if (found) resolve(found);
      };
      check();
    });
  return {until, ended};
}

function announce(
  name: string,
  incarnation: string,
): lovagepond.v1.AnnounceRequest {
  return new v1.AnnounceRequest({
    backendServer: name,
    incarnation,
    pool: 'p',
    availabilityZone: 'z',
    address: '10.0.0.1:1',
    state: 'ready',
    runningTokens: 600,
    queuedTokens: 400,
    role: 'sidecar',
  });
}

test('a member serves sidecars, routers and operators', async () => {
  const [{role, client}] = (await startMembers(1)) as [Member];
  const service = CONTROL_SERVICE;
  const joined = await call(client, service.announce, announce('s', 'i1'));
  expect(joined).toMatchObject({
    accepted: true,
    poolMeanTokens: 1000,
    poolMeanRunningTokens: 600,
    poolReadyServers: 1,
    wantedState: 'ready',
    fencingFloor: 1,
    fencingFloorKnown: true,
  });
  const updates = subscribe(client);
  const first = await updates.until(u => u.configuration !== null);
  expect(first.configuration).toMatchObject({revision: 0});
  await updates.until(u => u.configuration?.majorityConfirmed === true);
  const list = await updates.until(u => u.membership !== null);
  expect(list.membership?.members).toMatchObject([
    {backendServer: 's', state: 'ready', slot: 0},
  ]);

  const {administration} = role;
  const put = {
    operationId: 'op1',
    baseRevision: 0,
    dryRun: false,
    change: {kind: 'put', section: 'workspaces', object: {name: 'w'}},
  } as const;
  const dryRun = await administration.change({...put, dryRun: true});
  expect(dryRun).toMatchObject({kind: 'accepted', revision: 1});
  expect(await administration.change(put)).toEqual(dryRun);
  expect(await administration.change(put)).toEqual(dryRun);
  const pushed = await updates.until(u => u.configuration?.revision === 1);
  expect(pushed.configuration?.majorityConfirmed).toBe(true);
  const bad = {
    kind: 'put',
    section: 'workspaces',
    object: {name: '!'},
  } as const;
  const refused = {...put, operationId: 'op2', baseRevision: 1, change: bad};
  expect(await administration.change(refused)).toMatchObject({
    kind: 'invalid',
    faults: [{place: 'workspaces[1].name'}],
  });
  expect(await administration.change({...put, operationId: 'op3'})).toEqual({
    kind: 'conflict',
    currentRevision: 1,
    differences: [expect.objectContaining({place: 'workspaces/w'})],
  });

  const claim = new v1.ClaimRequest({
    workspace: 'w',
    idempotencyKey: 'k',
    bodyDigest: new Uint8Array([1]),
    backendServer: 's',
    incarnation: 'i1',
    attemptId: 'a1',
  });
  expect((await call(client, service.claim, claim)).outcome).toBe('granted');
  await call(client, service.announce, announce('s', 'i2'));
  const repeat = new v1.ClaimRequest({...claim, attemptId: 'a2'});
  expect((await call(client, service.claim, repeat)).outcome).toBe('unknown');
});

// Sidecars renew their leases at the leader, and a router is subscribed to a
// follower. When the leader stops, the follower must keep the subscription and
// all backend servers, and the open stream must deliver a change that the next
// leader accepts.
test('a router at a follower stays subscribed after a failover', async () => {
  const members = await startMembers(3);
  const isLeader = ({role}: Member): boolean =>
    role.administration
      .listMembers()
      .some(m => m.leader && m.address === nameOf(role));
  const leader = members.find(isLeader) as Member;
  const follower = members.find(member => member !== leader) as Member;
  const method = CONTROL_SERVICE.announce;
  const refused = await call(follower.client, method, announce('s', 'i1'));
  expect(refused).toMatchObject({accepted: false, leader: nameOf(leader.role)});
  await call(leader.client, method, announce('s', 'i1'));
  const updates = subscribe(follower.client);
  await updates.until(u => u.configuration?.majorityConfirmed === true);
  await updates.until(u => u.membership?.members?.length === 1);

  await leader.role.stop();
  const rest = members.filter(member => member !== leader);
  await vi.waitUntil(() => rest.some(isLeader), {timeout: 10_000});
  const next = rest.find(isLeader) as Member;
  const change = {
    operationId: 'op',
    baseRevision: 0,
    dryRun: false,
    change: {kind: 'put', section: 'workspaces', object: {name: 'w'}},
  } as const;
  expect(await next.role.administration.change(change)).toMatchObject({
    kind: 'accepted',
  });
  const pushed = await updates.until(u => u.configuration?.revision === 1);
  expect(pushed.configuration?.majorityConfirmed).toBe(true);
  expect(follower.role.administration.listBackendServers()).toMatchObject([
    {server: {name: 's', slot: 0}},
  ]);

  // Without a majority, the last member ends its streams within the limit.
  const last = rest.find(member => member !== follower) as Member;
  await last.role.stop();
  await updates.ended;
  expect(follower.role.isReady()).toBe(false);
});

// Routers report to different members. Each one must get the demand of all
// others, also after a failover.
test('a router gets the demand reported at other members', async () => {
  const members = await startMembers(3);
  const isLeader = ({role}: Member): boolean =>
    role.administration
      .listMembers()
      .some(m => m.leader && m.address === nameOf(role));
  const leader = members.find(isLeader) as Member;
  const [here, there] = members.filter(member => member !== leader);
  if (!here || !there) throw new Error('a follower is missing');
  const report = (client: Client, node: string, served: number) => {
    const workspaces = [{workspace: 'w', offered: 2 * served}];
    const demand = [{pool: 'p', served, workspaces}];
    const message = new v1.ReadingReport({node, demand});
    return call(client, CONTROL_SERVICE.reportReadings, message);
  };
  const updates = subscribe(here.client);
  const servedBy = (update: Update): number =>
    update.readings?.demand?.[0]?.served ?? 0;
  await updates.until(u => u.configuration?.majorityConfirmed === true);
  await report(here.client, 'router-1', 70);
  await report(there.client, 'router-2', 8);
  const sums = await updates.until(u => servedBy(u) > 0);
  expect(sums.readings?.demand).toMatchObject([
    {pool: 'p', served: 8, routers: 1, workspaces: [{offered: 16}]},
  ]);

  await leader.role.stop();
  const rest = [here, there];
  await vi.waitUntil(() => rest.some(isLeader), {timeout: 10_000});
  // A report is lost while its member has no leader, and is sent again.
  const reports = setInterval(() => {
    void report(here.client, 'router-1', 70);
    void report(there.client, 'router-3', 9);
  }, 500);
  cleanups.push(() => {
    clearInterval(reports);
  });
  await updates.until(u => servedBy(u) === 9);
});

function nameOf(role: ControlRole): string {
  return role.dump().state['nodeName'] as string;
}

// Guards against crash counts kept by each router or member alone. Routers
// report to different members, and every router must get the quarantine.
test('every member adds up crashes reported to different members', async () => {
  const members = await startMembers(3);
  const request = Buffer.alloc(16, 7);
  const updates = subscribe(members[0]!.client);
  await updates.until(u => u.configuration?.majorityConfirmed === true);
  for (const [at, {client}] of members.entries()) {
    const crash = {backendServer: `s${at}`, requests: [request], ageMs: 0};
    const report = new v1.CrashReport({node: `r${at}`, crashes: [crash]});
    await vi.waitUntil(async () => {
      const method = CONTROL_SERVICE.reportCrashes;
      return (await call(client, method, report)).recorded;
    });
    // Simultaneous crashes count once.
    await new Promise(resolve => setTimeout(resolve, COMMON_CAUSE_MS));
  }
  const isQuarantined = (update: Update): boolean =>
    update.quarantine?.suspects?.some(
      one => one.crashes === 3 && (one.quarantinedForMs ?? 0) > 0,
    ) ?? false;
  await updates.until(isQuarantined);
  const fingerprint = request.toString('hex');
  for (const {role} of members) {
    const listed = (): boolean =>
      role.administration
        .listQuarantine()
        .some(one => one.request === fingerprint && one.quarantinedForMs > 0);
    await vi.waitUntil(listed);
  }
});

// Guards against an evacuation that only the member knows to which it was sent,
// and against one that a change of leader undoes.
test('every member publishes an evacuation, also after a failover', async () => {
  const members = await startMembers(3);
  const leads = ({role}: Member): boolean =>
    role.administration
      .listMembers()
      .some(one => one.leader && one.address === nameOf(role));
  const leader = members.find(leads) as Member;
  await call(leader.client, CONTROL_SERVICE.announce, announce('s', 'i1'));
  const [follower, other] = members.filter(member => member !== leader);
  if (!follower || !other) throw new Error('needs three members');
  const updates = subscribe(follower.client);
  await updates.until(one => one.membership?.members?.[0]?.state === 'ready');
  const evacuate = {operationId: 'o1', zone: 'z', evacuated: true};
  const {administration} = leader.role;
  expect(await follower.role.administration.setEvacuation(evacuate)).toEqual({
    kind: 'notLeader',
    leader: nameOf(leader.role),
  });
  expect(
    await administration.setEvacuation({...evacuate, zone: 'elsewhere'}),
  ).toMatchObject({kind: 'invalid'});
  expect(await administration.setEvacuation(evacuate)).toEqual({
    kind: 'accepted',
  });
  await updates.until(
    one => one.membership?.members?.[0]?.state === 'draining',
  );
  await leader.role.stop();
  const rest = [follower, other];
  await vi.waitUntil(() => rest.some(leads), {timeout: 10_000});
  const next = rest.find(leads) as Member;
  const listed = (): unknown =>
    next.role.administration.listBackendServers()[0]?.server.state;
  await vi.waitUntil(async () => {
    const method = CONTROL_SERVICE.announce;
    return (await call(next.client, method, announce('s', 'i1'))).accepted;
  });
  expect(next.role.administration.listZones()).toMatchObject([
    {zone: 'z', evacuated: true},
  ]);
  expect(listed()).toBe('draining');
  const resume = {operationId: 'o2', zone: 'z', evacuated: false};
  expect(await next.role.administration.setEvacuation(resume)).toEqual({
    kind: 'accepted',
  });
  expect(listed()).toBe('ready');
});
