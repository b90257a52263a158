import {afterEach, expect, it} from 'vitest';
import {
  answer,
  clock,
  GatewayHarness,
  type Script,
  silentLog,
} from './gateway_harness.js';

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

// Guards against logs that don't tell what a gateway assumed of a server.
it('logs the load and the limit that a server was chosen with', async () => {
  const ended: Record<string, unknown>[] = [];
  const log = {
    ...silentLog,
    info: (message: string, context?: object) => {
      if (message === 'request ended') ended.push({...context});
    },
  };
  const answers: Script = (req, res) => {
    answer(req, res, 200, 'ok');
  };
  harness = await GatewayHarness.start([answers, answers], {log});
  for (const state of harness.gatewayFleet.all()) {
    state.noteRemoteRequests('', 4, clock.now());
  }
  await harness.call({path: '/read/1'});
  expect(ended).toHaveLength(1);
  expect(ended[0]).toMatchObject({assumedLoad: 4, loadLimit: 12, meanOf: 2});
  expect(ended[0]?.['loadAgeMs']).toEqual(expect.any(Number));
  expect(ended[0]?.['sentMs']).toEqual(expect.any(Number));
  expect(ended[0]?.['choiceToSendMs']).toEqual(expect.any(Number));
});
