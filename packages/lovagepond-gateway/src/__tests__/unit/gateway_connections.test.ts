import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {
  GatewayConnections,
  type ServerConnection,
} from '../../gateway_connections.js';

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.close();
    server.closeAllConnections();
  }
});

/** @returns the address of a server that reports its open connections */
async function startServer(sockets: Set<Socket>): Promise<string> {
  const server = createServer((_req, res) => res.end('x'));
  servers.push(server);
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function use({client}: ServerConnection): Promise<void> {
  return new Promise((resolve, reject) => {
    client.dispatch(
      {path: '/', method: 'GET'},
      {
        onRequestStart: () => undefined,
        onResponseStart: () => undefined,
        onResponseData: () => undefined,
        onResponseEnd: () => {
          resolve();
        },
        onResponseError: (_controller, err) => {
          reject(err);
        },
      },
    );
  });
}

// Guards against idle connections that take the descriptors of new ones.
test('an idle connection is closed for a new one above the limit', async () => {
  const former = new Set<Socket>();
  const next = new Set<Socket>();
  const connections = new GatewayConnections({
    connectTimeoutMs: 1_000,
    maxConnections: 2,
  });
  const first = {name: 'first', address: await startServer(former)};
  const second = {name: 'second', address: await startServer(next)};
  const used = [connections.acquire(first), connections.acquire(first)];
  for (const connection of used) await use(connection);
  expect(former.size).toBe(2);
  for (const connection of used) connections.release(connection);
  const other = connections.acquire(second);
  await use(other);
  await expect.poll(() => former.size).toBe(1);
  expect(next.size).toBe(1);
  connections.release(other);
  expect(connections.idle).toBe(2);
  expect(connections.acquire(second)).toBe(other);
  connections.close();
});
