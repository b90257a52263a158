import {
  Server,
  ServerCredentials,
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
import {afterEach, expect, test} from 'vitest';
import {DEFAULT_HEADER_NAMES} from '../../gateway_headers.js';
import {GatewayRole} from '../../gateway_role.js';
import {DEFAULT_GATEWAY_SETTINGS} from '../../gateway_settings.js';
import {clock, CONTENT, silentLog} from './gateway_harness.js';

const {v1} = lovagepond;
type Stream = ServerWritableStream<
  lovagepond.v1.SubscribeRequest,
  lovagepond.v1.ControlUpdate
>;

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startControl(
  subscribe: (call: Stream) => void,
): Promise<string> {
  const server = new Server();
  server.addService(CONTROL_SERVICE, {subscribe});
  cleanups.push(() => server.forceShutdown());
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', credentials, (err, port) => {
      if (err) reject(err);
      else resolve(`127.0.0.1:${port}`);
    });
  });
}

async function startGateway(control: string): Promise<GatewayRole> {
  const gateway = new GatewayRole(
    {
      ...DEFAULT_GATEWAY_SETTINGS,
      name: 'gateway',
      host: '127.0.0.1',
      port: 0,
      controlAddresses: [control],
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

// A gateway is told of a change to a configuration that it doesn't hold. Left at
// that, it would serve by the old one until the next change. It says what it holds
// on a new subscription, and gets what it lacks.
test('subscribes anew when a change does not fit what it holds', async () => {
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

test('applies a change to what it holds', async () => {
  const control = await startControl(call => {
    const configuration = encodeConfiguration(first!);
    call.write(update({revision: 1, configuration}));
    const delta = encodeDelta(makeDelta(first!, second!)!);
    call.write(update({revision: 2, delta}));
  });
  const gateway = await startGateway(control);
  await expect.poll(() => revisionOf(gateway)).toBe(2);
});
