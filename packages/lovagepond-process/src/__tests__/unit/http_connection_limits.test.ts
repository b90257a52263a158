import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {
  createServer,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {HEAD_ERROR} from '../../http_connection_limits.js';
import {HttpConnections} from '../../http_connections.js';
import {
  DEFAULT_HTTP_LIMITS,
  HTTP_SERVER_OPTIONS,
  type HttpLimits,
} from '../../http_limits.js';

const MAX_PIPELINED = 4;
const LONGER_THAN_QUIET_MS = 600;

let server: Server;

interface Started {
  readonly port: number;
  readonly connections: HttpConnections;
}

async function start(
  listener: RequestListener,
  limits: Partial<HttpLimits> = {},
): Promise<Started> {
  server = createServer(HTTP_SERVER_OPTIONS);
  const used = {...DEFAULT_HTTP_LIMITS, maxPipelined: MAX_PIPELINED, ...limits};
  const connections = new HttpConnections(server, used);
  connections.onRequest(listener);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {port: (server.address() as AddressInfo).port, connections};
}

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

/** @returns all that arrives until the connection ends */
async function exchange(port: number, sent: Buffer | string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', chunk => (received += String(chunk)));
  socket.on('error', () => undefined);
  socket.write(sent);
  await new Promise(resolve => socket.on('close', resolve));
  return received;
}

function get(path: string, ...headers: string[]): string {
  return [`GET ${path} HTTP/1.1`, 'Host: h', ...headers, '', ''].join('\r\n');
}

test('requests ahead within the limit are answered in order, each once', async () => {
  const paths: string[] = [];
  const {port} = await start((req, res) => {
    paths.push(req.url ?? '');
    // Later requests end first.
    setTimeout(() => res.end(`<${req.url}>`), 50 - 10 * paths.length);
  });
  const last = get('/4', 'Connection: close');
  const sent = [get('/1'), get('/2'), get('/3'), last].join('');
  const received = await exchange(port, sent);
  expect(received.match(/<[^>]*>/g)).toEqual(['</1>', '</2>', '</3>', '</4>']);
  expect(paths).toEqual(['/1', '/2', '/3', '/4']);
});

// Guards against objects of thousands of requests from one read.
test('a connection with more requests ahead is closed', async () => {
  let requests = 0;
  const {port, connections} = await start(() => {
    requests += 1;
  });
  expect(await exchange(port, get('/').repeat(5_000))).toBe('');
  expect(requests).toBe(MAX_PIPELINED);
  expect(connections.limits.closedByLimit['pipelined']).toBe(1);
});

test('requests in turn on one connection are no requests ahead', async () => {
  const {port} = await start((_req, res) => res.end('<>'));
  const socket = connect(port, '127.0.0.1');
  for (let nth = 0; nth < 3 * MAX_PIPELINED; nth += 1) {
    socket.write(get('/'));
    const [answer] = (await once(socket, 'data')) as [Buffer];
    expect(String(answer)).toContain('<>');
  }
  socket.destroy();
});

test('a large body arrives as it was sent, with the request after it', async () => {
  const body = Buffer.alloc(300_000, 'abc');
  const {port} = await start((req, res) => {
    const hash = createHash('sha256');
    req.on('data', (chunk: Buffer) => hash.update(chunk));
    req.on('end', () => res.end(`<${hash.digest('hex')}>`));
  });
  const head = `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}`;
  const sent = [`${head}\r\n\r\n`, body, get('/', 'Connection: close')];
  const received = await exchange(
    port,
    Buffer.concat(sent.map(part => Buffer.from(part))),
  );
  const digests = [body, ''].map(
    text => `<${createHash('sha256').update(text).digest('hex')}>`,
  );
  expect(received.match(/<[^>]*>/g)).toEqual(digests);
});

test('a request without the header Host is refused', async () => {
  let requests = 0;
  const {port} = await start(() => {
    requests += 1;
  });
  const received = await exchange(port, 'GET / HTTP/1.1\r\n\r\n');
  expect(received).toMatch(/^HTTP\/1\.1 400 /);
  expect(requests).toBe(0);
});

// Guards against a response that is held for as long as its reader likes.
test('a connection whose response is not read is closed', async () => {
  const {port, connections} = await start(
    (_req, res) => res.end(Buffer.alloc(32 * 1024 * 1024)),
    {unreadTimeoutMs: 300},
  );
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(get('/'));
  await expect
    .poll(() => connections.limits.closedByLimit['unread'], {timeout: 10_000})
    .toBe(1);
  expect(connections.undelivered).toBe(0);
  socket.destroy();
});

test('a connection that waits for its response is kept', async () => {
  const {port, connections} = await start(
    (_req, res) => {
      setTimeout(() => res.end('<late>'), 600);
    },
    {unreadTimeoutMs: 100},
  );
  const received = await exchange(port, get('/', 'Connection: close'));
  expect(received).toContain('<late>');
  expect(connections.limits.closedByLimit['unread']).toBe(0);
});

/** @returns resolves once the server has accepted that many connections */
async function openQuiet(port: number, count: number): Promise<Socket[]> {
  const sockets: Socket[] = [];
  for (let nth = 0; nth < count; nth += 1) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
  }
  return sockets;
}

// Guards against connections without requests that shut other clients out.
test('the connection that was quiet the longest is closed for another', async () => {
  const {port, connections} = await start((_req, res) => res.end('<>'), {
    maxConnections: 2,
  });
  const [first, second] = await openQuiet(port, 2);
  await wait(LONGER_THAN_QUIET_MS);
  const closed = once(first!, 'close');
  const received = await exchange(port, get('/', 'Connection: close'));
  expect(received).toContain('<>');
  await closed;
  expect(second?.readyState).toBe('open');
  expect(connections.limits.closedByLimit['quiet']).toBe(1);
  second?.destroy();
});

test('connections with requests under way are closed for no other', async () => {
  const waiting: ServerResponse[] = [];
  const {port, connections} = await start((_req, res) => waiting.push(res), {
    maxConnections: 2,
  });
  const [first, second] = await openQuiet(port, 2);
  for (const socket of [first, second]) socket?.write(get('/'));
  await expect.poll(() => waiting.length).toBe(2);
  await wait(LONGER_THAN_QUIET_MS);
  expect(await exchange(port, get('/'))).toBe('');
  expect(connections.limits.closedByLimit['connections']).toBe(1);
  const answer = once(first!, 'data');
  waiting[0]?.end('<>');
  expect(String((await answer)[0])).toContain('<>');
  for (const socket of [first, second]) socket?.destroy();
});

test('a head over the limit is an error of its connection', async () => {
  const {port, connections} = await start((_req, res) => res.end('<>'));
  connections.limits.useMaxHeadBytes(4_096);
  const errors: string[] = [];
  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    errors.push(err.code ?? '');
    connections.answerUnparsable(socket as Socket, 'too large');
  });
  const endless = `GET / HTTP/1.1\r\na: ${'x'.repeat(6_000)}`;
  expect(await exchange(port, endless)).toBe('too large');
  expect(errors).toEqual([HEAD_ERROR.TOO_LARGE]);
  const within = get('/', `a: ${'x'.repeat(2_500)}`, 'Connection: close');
  expect(await exchange(port, within)).toContain('<>');
});
