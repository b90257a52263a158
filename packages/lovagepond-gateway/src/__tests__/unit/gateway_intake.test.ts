import {connect, type Socket} from 'node:net';
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
const sockets: Socket[] = [];

afterEach(() => {
  harness?.stop();
  harness = undefined;
  for (const socket of sockets.splice(0)) socket.destroy();
});

const healthy: Script = (req, res, body) => {
  answer(req, res, 200, body);
};

/** Keeps the event loop, which the gateway shares, from its other work. */
function occupyLoop(): void {
  const endsAt = performance.now() + BUSY_MS;
  while (performance.now() < endsAt);
}

function open(): Socket {
  const socket = connect({host: '127.0.0.1', port: harness?.server.port ?? 0});
  sockets.push(socket);
  return socket;
}

/** @returns the status, or 0 if the connection was refused or closed unread */
function call(socket: Socket, id: string): Promise<number> {
  const lines = [
    'GET /read/a HTTP/1.1',
    'host: shop.example',
    `${NAMES.requestId}: ${id}`,
    `${NAMES.apiKey}: ${KEY}`,
  ];
  return new Promise(resolve => {
    socket.once('data', bytes => {
      resolve(Number(bytes.toString('latin1').split(' ')[1]));
    });
    socket.once('error', () => {
      resolve(0);
    });
    socket.once('close', () => {
      resolve(0);
    });
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  });
}

// Guards against a gateway beyond its capacity that reads all requests and
// answers ever fewer in time, while other gateways are idle.
it('refuses new connections while its event loop is late', async () => {
  harness = await GatewayHarness.start([healthy]);
  const kept = open();
  expect(await call(kept, 'first')).toBe(200);
  const fresh: Promise<number>[] = [];
  const onKept: number[] = [];
  let isKeptFree = true;
  for (let turn = 0; turn < TURNS; turn += 1) {
    for (let nth = 0; nth < CONNECTIONS_PER_TURN; nth += 1) {
      fresh.push(call(open(), `fresh-${turn}-${nth}`));
    }
    if (isKeptFree) {
      isKeptFree = false;
      void call(kept, `kept-${turn}`).then(status => {
        onKept.push(status);
        isKeptFree = true;
      });
    }
    occupyLoop();
    await wait(1);
  }
  expect(new Set(await Promise.all(fresh))).toEqual(new Set([200, 0]));
  await expect.poll(() => isKeptFree).toBe(true);
  expect(new Set(onKept)).toEqual(new Set([200]));
  await expect.poll(() => call(open(), 'last')).toBe(200);
});
