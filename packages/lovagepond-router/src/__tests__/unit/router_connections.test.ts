import {afterEach, expect, test} from 'vitest';
import {SidecarConnections} from '../../router_connections.js';
import {openAttempt, revokeAttempt} from '../../router_sidecar_calls.js';
import {FakeSidecar} from '../fakes/router_fakes.js';

const sidecar = new FakeSidecar('i1');

afterEach(() => sidecar.stop());

// A server leaves the list while a request is about to use its connection, or
// to take its attempt back over it. The library throws at a call on a closed
// channel: the whole router would end, and cut every caller's stream.
test('a call on a connection closed meanwhile is lost and ends nothing', async () => {
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
