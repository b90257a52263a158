import {Random} from '@lovagepond/core';
import {afterEach, expect, test} from 'vitest';
import {RouterRole} from '../../router_role.js';
import {DEFAULT_ROUTER_SETTINGS} from '../../router_settings.js';
import {
  FakeControl,
  FakeFront,
  FakeSidecar,
  FakeSink,
  makeConfiguration,
  makeRequest,
  QUIET_LOG,
  SYSTEM_CLOCK,
} from '../fakes/router_fakes.js';

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function startRouter(
  ...sidecars: FakeSidecar[]
): Promise<{role: RouterRole; front: FakeFront}> {
  for (const sidecar of sidecars) {
    await sidecar.start();
    closers.push(() => sidecar.stop());
  }
  const members = sidecars.map((sidecar, index) => sidecar.member(`s${index}`));
  const control = new FakeControl(makeConfiguration(1), members);
  await control.start();
  closers.push(() => control.stop());
  let front: FakeFront | undefined;
  const role = new RouterRole(
    {
      ...DEFAULT_ROUTER_SETTINGS,
      name: 'router-1',
      controlAddresses: [control.address],
    },
    {
      clock: SYSTEM_CLOCK,
      log: QUIET_LOG,
      random: new Random(1),
      createFront: handler => (front = new FakeFront(handler)),
    },
  );
  await role.start();
  closers.push(() => role.stop());
  await expect.poll(() => role.isReady()).toBe(true);
  return {role, front: front as FakeFront};
}

test('a request goes through a sidecar and its whole answer comes back', async () => {
  const {role, front} = await startRouter(new FakeSidecar('i1'));
  const sink = new FakeSink();
  void front.handler.handle(makeRequest(), sink, SYSTEM_CLOCK.now());
  await sink.done;
  expect(sink).toMatchObject({text: 'hello', status: 200, ended: true});
  expect(role.dump().state).toMatchObject({answered: 1, inFlight: 0});
});
