import {afterEach, expect, test} from 'vitest';
import {SidecarConnections} from '../../router_connections.js';
import {openAttempt, revokeAttempt} from '../../router_sidecar_calls.js';
import {FakeSidecar} from '../fakes/router_fakes.js';

const sidecar = new FakeSidecar('i1');

afterEach(() => sidecar.stop());

// A server leaves the membership while a request is about to use its connection
// or to revoke an attempt over it. The library throws on a call over a closed
// channel; uncaught, the error would end the router and truncate all streams.
test('a call over a closed connection is lost and does not end the process', async () => {
  await sidecar.start();
  const connections = new SidecarConnections(1_000);
  const connection = await connections.open(sidecar.address);
  expect(connection).toBeDefined();
  connections.keepOnly(new Set());
  const outcome = await revokeAttempt(connection!, 'r.1', 'i1', 1_000);
  expect(outcome).toBe('lost');
  const listener = {onFrame: () => {}, onEnd: () => {}};
  expect(openAttempt(connection!, {}, listener)).toBeUndefined();
  expect(await connections.open(sidecar.address)).not.toBe(connection);
  connections.close();
});

// Guards against an announced address at which the library throws, which would
// end the router.
test.each(['', '127.0.0.1:70000'])(
  'no connection to %j is opened',
  async address => {
    const connections = new SidecarConnections(100);
    expect(await connections.open(address)).toBeUndefined();
    expect(await connections.openFresh(address)).toBeUndefined();
    expect(connections.size).toBe(0);
  },
);
