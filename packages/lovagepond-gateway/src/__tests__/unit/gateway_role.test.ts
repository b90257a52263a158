import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type ServerWritableStream,
} from '@grpc/grpc-js';
import {
  type Configuration,
  encodeConfiguration,
  encodeDelta,
  makeDelta,
  Random,
} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {DEFAULT_HEADER_NAMES} from '../../gateway_headers.js';
import {GatewayRole} from '../../gateway_role.js';
import {DEFAULT_GATEWAY_SETTINGS} from '../../gateway_settings.js';
import {callPort} from './gateway_caller.js';
import {clock, CONTENT, silentLog} from './gateway_harness.js';

const {v1} = lovagepond;
type Stream = ServerWritableStream<
  lovagepond.v1.SubscribeRequest,
  lovagepond.v1.ControlUpdate
>;

/** Poll timeout, milliseconds: conditions take longer on a busy machine. */
const WAIT_MS = 8_000;

const ROUNDS = 4;

const HEARTBEAT_MS = 100;

const ADMISSION = {
  maxQueuedRequests: 10,
  maxQueuedBytes: 65_536,
  serverQueuePart: 0.4,
  lowerPriorityPart: 0.1,
};

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

type Report = ServerUnaryCall<
  lovagepond.v1.ConvergenceReport,
  lovagepond.v1.ConvergenceResponse
>;

/**
 * Starts a fake control member.
 *
 * @param subscribe handles each subscription
 * @param newestRevision the revision that the member confirms; it confirms none
 *     when undefined
 * @returns the member's address
 */
async function startControl(
  subscribe: (call: Stream) => void,
  newestRevision?: number,
): Promise<string> {
  const server = new Server();
  const reportConvergence = (
    _call: Report,
    answer: sendUnaryData<lovagepond.v1.ConvergenceResponse>,
  ): void => {
    const confirmed = newestRevision !== undefined;
    const revision = newestRevision ?? 0;
    answer(null, new v1.ConvergenceResponse({revision, confirmed}));
  };
  const handler = (call: Stream): void => {
    subscribe(call);
    const timer = setInterval(() => {
      call.write(new v1.ControlUpdate({heartbeat: {}}));
    }, HEARTBEAT_MS);
    call.on('cancelled', () => {
      clearInterval(timer);
    });
  };
  server.addService(CONTROL_SERVICE, {subscribe: handler, reportConvergence});
  cleanups.push(() => server.forceShutdown());
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', credentials, (err, port) => {
      if (err) reject(err);
      else resolve(`127.0.0.1:${port}`);
    });
  });
}

async function startGateway(...control: string[]): Promise<GatewayRole> {
  const gateway = new GatewayRole(
    {
      ...DEFAULT_GATEWAY_SETTINGS,
      name: 'gateway',
      host: '127.0.0.1',
      port: 0,
      controlAddresses: control,
      controlRetryMs: 1,
    },
    {clock, log: silentLog, random: new Random(1), names: DEFAULT_HEADER_NAMES},
  );
  await gateway.start();
  cleanups.push(() => gateway.stop());
  return gateway;
}

function revisionOf(gateway: GatewayRole): unknown {
  return gateway.dump().state['revision'];
}

function update(
  configuration: lovagepond.v1.ConfigurationUpdate.$Properties,
): lovagepond.v1.ControlUpdate {
  return new v1.ControlUpdate({configuration});
}

const [first, second, third]: readonly Configuration[] = [1, 2, 3].map(
  revision => ({revision, content: {...CONTENT, documentVersion: revision}}),
);

// A gateway receives a delta whose base revision it has not installed. Without
// a new subscription it would use the old configuration until the next change.
// The subscription sends the installed revision and gets the missing changes.
test('resubscribes if a delta does not fit the held revision', async () => {
  const held: number[] = [];
  const control = await startControl(call => {
    held.push(call.request.revision);
    const isFirst = held.length === 1;
    const delta = encodeDelta(makeDelta(second!, third!)!);
    const whole = encodeConfiguration(isFirst ? first! : third!);
    call.write(update({revision: isFirst ? 1 : 3, configuration: whole}));
    if (isFirst) call.write(update({revision: 3, delta}));
  });
  const gateway = await startGateway(control);
  await expect.poll(() => revisionOf(gateway)).toBe(3);
  expect(held).toEqual([0, 1]);
});

test('applies a delta to the installed revision', async () => {
  const control = await startControl(call => {
    const configuration = encodeConfiguration(first!);
    call.write(update({revision: 1, configuration}));
    const delta = encodeDelta(makeDelta(first!, second!)!);
    call.write(update({revision: 2, delta}));
  });
  const gateway = await startGateway(control);
  await expect.poll(() => revisionOf(gateway)).toBe(2);
});

// Guards against a queue that outlives its configuration, and against metrics
// that read a path which the state dump does not have.
test('has admission control while the configuration has it', async () => {
  const [pool] = CONTENT.pools;
  const content = {...CONTENT, pools: [{...pool!, admission: ADMISSION}]};
  let send = (_update: lovagepond.v1.ControlUpdate): void => {};
  const control = await startControl(call => {
    send = update => call.write(update);
    const configuration = encodeConfiguration({revision: 1, content});
    send(update({revision: 1, configuration}));
  });
  const gateway = await startGateway(control);
  const admission = (): unknown => gateway.dump().state['admission'];
  await expect.poll(admission).toMatchObject({
    waitingByPool: {servers: 0},
    engagedByPool: {servers: 0},
    refusedByReason: {},
    waitedRequests: 0,
    waitSeconds: 0,
    pools: {
      servers: {
        ...{waiting: 0, congested: false, windows: {}},
        shares: {congested: false, shared: false, gatewayWeight: 1},
      },
    },
  });
  const configuration = encodeConfiguration(second!);
  send(update({revision: 2, configuration}));
  await expect.poll(admission).toMatchObject({pools: {}, waitingByPool: {}});
  await expect.poll(() => revisionOf(gateway)).toBe(2);
});

// A member relays the leader's confirmation of a newer revision and keeps
// sending heartbeats, but its own log does not advance. Guards against a
// gateway that stays subscribed to it and keeps using the previous
// configuration.
test('leaves a member that lags behind the confirmed revision', async () => {
  const behind = await startControl(call => {
    const configuration = encodeConfiguration(first!);
    call.write(update({revision: 1, configuration}));
  }, 2);
  const configuration = encodeConfiguration(second!);
  const caughtUp = await startControl(call => {
    call.write(update({revision: 2, configuration}));
  }, 2);
  const gateways = await Promise.all([
    startGateway(behind, caughtUp),
    startGateway(caughtUp, behind),
  ]);
  const held = (): unknown[] => gateways.map(revisionOf);
  await expect.poll(held, {timeout: WAIT_MS}).toEqual([2, 2]);
});

// After a stop of all hosts, every member may lag for a moment. The gateway
// cycles through them and gets the change from the first one that has it.
test('cycles through members that all lag', async () => {
  const asked: string[] = [];
  const start = (name: string): Promise<string> =>
    startControl(call => {
      asked.push(name);
      const isLate = asked.length >= ROUNDS;
      const held = isLate ? second! : first!;
      const configuration = encodeConfiguration(held);
      call.write(update({revision: held.revision, configuration}));
    }, 2);
  const [one, other] = [await start('one'), await start('other')];
  const gateway = await startGateway(one, other);
  await expect.poll(() => revisionOf(gateway), {timeout: WAIT_MS}).toBe(2);
  expect(new Set(asked).size).toBe(2);
  expect(asked).toHaveLength(ROUNDS);
});

// Guards against an end of the process that cuts a response and looks like a
// whole drain to the service manager.
test('a drain tells how many responses its limit leaves open', async () => {
  let received = 0;
  const silent = createServer(() => (received += 1));
  await new Promise<void>(resolve => silent.listen(0, '127.0.0.1', resolve));
  cleanups.push(() => {
    silent.closeAllConnections();
    silent.close();
  });
  const {port} = silent.address() as AddressInfo;
  const member = {
    backendServer: 'server',
    incarnation: 'i1',
    pool: 'servers',
    address: `127.0.0.1:${port}`,
    state: 'ready',
    directSlots: 8,
  };
  const control = await startControl(call => {
    const configuration = encodeConfiguration(first!);
    call.write(update({revision: 1, configuration}));
    const membership = {version: 1, whole: true, members: [member]};
    call.write(new v1.ControlUpdate({membership}));
  }, 1);
  const idle = await startGateway(control);
  const busy = await startGateway(control);
  await expect.poll(() => busy.isReady(), {timeout: WAIT_MS}).toBe(true);
  const answered = callPort(busy.port, 'r', {path: '/talk/x'});
  answered.catch(() => undefined);
  await expect.poll(() => received).toBe(1);
  const limitMs = 100;
  expect(await idle.drain(limitMs)).toEqual({unfinished: 0});
  expect(await busy.drain(limitMs)).toEqual({unfinished: 1});
});
