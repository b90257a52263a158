import {Agent, request} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {
  answer,
  GatewayHarness,
  KEY,
  NAMES,
  type Script,
} from './gateway_harness.js';

const TURNS = 25;
const BUSY_MS = 60;
const CONNECTIONS_PER_TURN = 4;

let harness: GatewayHarness | undefined;
const kept = new Agent({keepAlive: true, maxSockets: 1});

afterEach(() => {
  harness?.stop();
  harness = undefined;
  kept.destroy();
});

const healthy: Script = (req, res, body) => {
  answer(req, res, 200, body);
};

/** Keeps the event loop, which the gateway shares, from its other work. */
function occupyLoop(): void {
  const endsAt = performance.now() + BUSY_MS;
  while (performance.now() < endsAt);
}

/** @returns the status, or 0 if the connection ended without an answer */
function call(agent: Agent | false, id: string): Promise<number> {
  return new Promise(resolve => {
    const headers = {
      host: 'shop.example',
      [NAMES.requestId]: id,
      [NAMES.apiKey]: KEY,
    };
    const port = harness?.server.port;
    const path = '/read/a';
    const req = request({port, path, agent, headers}, res => {
      res.resume();
      res.once('close', () => {
        resolve(res.statusCode ?? 0);
      });
    });
    req.on('error', () => {
      resolve(0);
    });
    req.end();
  });
}

// Guards against a gateway beyond its capacity that reads all requests and
// answers ever fewer in time, while other gateways are idle.
it('closes new connections unread while its event loop is late', async () => {
  harness = await GatewayHarness.start([healthy]);
  expect(await call(kept, 'first')).toBe(200);
  const fresh: Promise<number>[] = [];
  const onKept: Promise<number>[] = [];
  for (let turn = 0; turn < TURNS; turn += 1) {
    for (let nth = 0; nth < CONNECTIONS_PER_TURN; nth += 1) {
      fresh.push(call(false, `fresh-${turn}-${nth}`));
    }
    onKept.push(call(kept, `kept-${turn}`));
    occupyLoop();
    await wait(1);
  }
  const statuses = await Promise.all(fresh);
  expect(new Set(statuses)).toEqual(new Set([200, 0]));
  expect(new Set(await Promise.all(onKept))).toEqual(new Set([200]));
});
