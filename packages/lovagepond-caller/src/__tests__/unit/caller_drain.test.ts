import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {type ResponseSink} from '../../index.js';
import {
  chatBody,
  openRaw,
  rawRequest,
  startServer,
  stopServers,
} from './caller_test_utils.js';

const sockets: Socket[] = [];

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  await stopServers();
});

const MEBIBYTE = 1024 * 1024;

/** Larger than the socket buffers of both ends together. */
const LARGE_ANSWER = new Uint8Array(24 * MEBIBYTE).fill(120);

/** Fits into the socket buffers of the sender alone. */
const SMALL_ANSWER = new Uint8Array(MEBIBYTE).fill(120);

interface Reader {
  readonly socket: Socket;
  /** Bytes and error at the close of the connection. */
  readonly closed: Promise<{bytes: number; error: string}>;
}

/** Sends a request and reads nothing until its socket is resumed. */
function openPaused(
  port: number,
  headers: Record<string, string> = {},
): Reader {
  const socket = connect(port, '127.0.0.1');
  sockets.push(socket);
  let bytes = 0;
  let error = '';
  socket.on('data', chunk => (bytes += chunk.length));
  socket.on('error', err => (error = err.message));
  socket.pause();
  socket.write(rawRequest(chatBody(), headers));
  const closed = once(socket, 'close').then(() => ({bytes, error}));
  return {socket, closed};
}

const LIMITS = {
  maxWholeAnswerBytes: 64 * MEBIBYTE,
  readerTimeoutMs: 60_000,
};

test('a drain delivers the rest of an ended answer to a slow reader', async () => {
  let isEnded = false;
  const server = await startServer((_req, sink) => {
    void sink.write(LARGE_ANSWER);
    sink.end();
    isEnded = true;
  }, LIMITS);
  const {socket, closed} = openPaused(server.port);
  await expect.poll(() => isEnded).toBe(true);
  const drained = server.drain(20_000);
  await wait(50);
  expect(server.counters.inFlight).toBe(1);
  socket.resume();
  const {bytes, error} = await closed;
  expect(error).toBe('');
  expect(bytes).toBeGreaterThan(LARGE_ANSWER.length);
  await drained;
});

test('a request that crosses the close of its connection resets no answer', async () => {
  const server = await startServer((_req, sink) => {
    void sink.write(SMALL_ANSWER);
    sink.end();
  }, LIMITS);
  const {socket, closed} = openPaused(server.port);
  await expect.poll(() => server.counters.requests).toBe(1);
  await expect.poll(() => server.counters.inFlight).toBe(0);
  const drained = server.drain(20_000);
  await wait(50);
  socket.write(rawRequest(chatBody()));
  await wait(50);
  socket.resume();
  const {bytes, error} = await closed;
  expect(error).toBe('');
  expect(bytes).toBeGreaterThan(SMALL_ANSWER.length);
  expect(server.counters.requests).toBe(1);
  await drained;
});

test('bytes behind a request do not reset its answer that announces a close', async () => {
  const server = await startServer((_req, sink) => {
    void sink.write(SMALL_ANSWER);
    sink.end();
  }, LIMITS);
  const {socket, closed} = openPaused(server.port, {connection: 'close'});
  await expect.poll(() => server.counters.requests).toBe(1);
  await expect.poll(() => server.counters.inFlight).toBe(0);
  await wait(50);
  socket.write(rawRequest(chatBody()));
  await wait(50);
  socket.resume();
  const {bytes, error} = await closed;
  expect(error).toBe('');
  expect(bytes).toBeGreaterThan(SMALL_ANSWER.length);
  expect(server.counters.requests).toBe(1);
});

test('a kept connection closes once the answer from before the drain ends', async () => {
  const sinks: ResponseSink[] = [];
  const server = await startServer((_req, sink) => sinks.push(sink));
  const text = rawRequest(chatBody({stream: true}));
  const first = openRaw(server, text);
  const second = openRaw(server, text);
  sockets.push(first.socket, second.socket);
  await expect.poll(() => sinks.length).toBe(2);
  for (const sink of sinks) sink.begin(200, 'text/event-stream');
  const drained = server.drain(20_000);
  await wait(20);
  sinks[0]!.end();
  const ended = await Promise.race([first.received, second.received]);
  expect(ended).toContain('[DONE]');
  sinks[1]!.end();
  await drained;
});

test('the answer to a body that becomes whole in a drain announces the close', async () => {
  const server = await startServer(
    (_req, sink) => {
      sink.end();
    },
    {drainGraceMs: 100},
  );
  const text = rawRequest(chatBody());
  const {socket, received} = openRaw(server, text.slice(0, -5));
  sockets.push(socket);
  await expect.poll(() => server.counters.requests).toBe(1);
  const drained = server.drain(20_000);
  socket.write(text.slice(-5));
  expect((await received).toLowerCase()).toContain('connection: close');
  await drained;
});

test('a body that is not whole at the end of a drain gets a refusal', async () => {
  let handled = 0;
  const server = await startServer(() => {
    handled += 1;
  });
  const text = rawRequest(chatBody());
  const {socket, received} = openRaw(server, text.slice(0, -5));
  sockets.push(socket);
  await expect.poll(() => server.counters.requests).toBe(1);
  const result = server.drain(2_000);
  const answer = await received;
  expect(answer).toContain('503 Service Unavailable');
  expect(answer).toContain('"kind":"draining","disposition":"notRun"');
  expect(await result).toEqual({unfinished: 0});
  expect(handled).toBe(0);
});

test('a connection without a request does not extend a drain', async () => {
  const server = await startServer((_req, sink) => {
    sink.end();
  });
  const whole = rawRequest(chatBody());
  for (const text of ['', whole.slice(0, 30)]) {
    sockets.push(openRaw(server, text).socket);
  }
  await expect.poll(() => server.counters.connections).toBe(2);
  const outcome = await Promise.race([
    server.drain(1_000).then(() => 'drained'),
    wait(4_000, 'waiting'),
  ]);
  expect(outcome).toBe('drained');
});

test('a request whose head arrives late in a drain is answered', async () => {
  const server = await startServer((_req, sink) => {
    setTimeout(() => sink.end(), 1_500);
  });
  const text = rawRequest(chatBody());
  const {socket, received} = openRaw(server, text.slice(0, 30));
  sockets.push(socket);
  await expect.poll(() => server.counters.connections).toBe(1);
  const drained = server.drain(20_000);
  await wait(50);
  socket.write(text.slice(30));
  expect(await received).toContain('200 OK');
  await drained;
});

test('a caller that does not read keeps a drain no longer than its limit', async () => {
  const server = await startServer((_req, sink) => {
    void sink.write(LARGE_ANSWER);
    sink.end();
  }, LIMITS);
  const {socket} = openPaused(server.port);
  await expect.poll(() => server.counters.inFlight).toBe(1);
  const outcome = await Promise.race([
    server.drain(500).then(() => 'drained'),
    wait(4_000, 'waiting'),
  ]);
  expect(outcome).toBe('drained');
  socket.destroy();
});
