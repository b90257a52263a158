import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {MetricsRegistry, PlatformServer} from '../../index.js';

const HOST = '127.0.0.1';
/** More than the buffers of a connection hold. */
const DUMP_BYTES = 16_000_000;

const sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
});

async function request(
  path: string,
  limitMs: number,
): Promise<[PlatformServer, Socket]> {
  const server = new PlatformServer(
    {host: HOST, port: 0},
    {
      isReady: () => false,
      renderDump: () => 'x'.repeat(DUMP_BYTES),
      metrics: new MetricsRegistry(),
    },
    limitMs,
  );
  const {port} = await server.start();
  const socket = connect(port, HOST).pause();
  sockets.push(socket);
  await once(socket, 'connect');
  socket.write(`GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`);
  await new Promise(resolve => setTimeout(resolve, 50));
  return [server, socket];
}

// Guards against a state dump that is cut because its process ends.
it('delivers a dump that is being read when the process ends', async () => {
  const [server, socket] = await request('/dump', 10_000);
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => (bytes += chunk.length));
  const stopped = server.stop();
  socket.resume();
  await once(socket, 'close');
  await stopped;
  expect(bytes).toBeGreaterThan(DUMP_BYTES);
});

// Guards against a process that stays until it is killed, as a reader of its
// dump has stopped.
it('ends although a reader of the dump reads nothing', async () => {
  const [server, socket] = await request('/dump', 50);
  await server.stop();
  socket.on('error', () => undefined).resume();
  await once(socket, 'close');
});
