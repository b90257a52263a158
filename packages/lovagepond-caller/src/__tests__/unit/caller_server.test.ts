import {afterEach, expect, test} from 'vitest';
import {makeFailure} from '@lovagepond/core';
import {type ResponseSink, type CallerRequest} from '../../index.js';
import {
  chatBody,
  errorOf,
  HEADERS,
  openRaw,
  post,
  rawRequest,
  startServer,
  stopServers,
} from './caller_test_utils.js';

afterEach(stopServers);

const encoder = new TextEncoder();
const respondOk = (_req: CallerRequest, sink: ResponseSink): void => {
  void sink.write(encoder.encode('{"ok":true}'));
  sink.end();
};

test('passes the decoded headers and body to the handler', async () => {
  const seen: CallerRequest[] = [];
  const server = await startServer((req, sink) => {
    seen.push(req);
    respondOk(req, sink);
  });
  const res = await post(
    server,
    '{"code":7}',
    {
      'x-lovagepond-request-kind': 'redeem',
      'idempotency-key': 'k-1',
      'x-lovagepond-deadline': '5000',
      'x-request-id': 'mine',
    },
    '/services/redemption/check?x=1',
  );
  expect(await res.json()).toEqual({ok: true});
  expect(res.headers.get('x-request-id')).toBe('mine');
  const [req] = seen;
  expect(res.headers.get('x-lovagepond-request-id')).toBe(req?.requestId);
  expect(req).toMatchObject({
    workspace: 'shop',
    requestKind: 'redeem',
    idempotencyKey: 'k-1',
    path: '/services/redemption/check?x=1',
    stream: false,
  });
  expect(req?.bodyDigest).toHaveLength(32);
});

test('an invalid request gets the error kind of its fault', async () => {
  // An invalid request gets an error kind and the disposition "not run" in the
  // common JSON shape. The handler is not called, and later requests are
  // served.
  let handled = 0;
  const server = await startServer(
    (req, sink) => {
      handled += 1;
      respondOk(req, sink);
    },
    {maxBodyBytes: 2_000, maxHeaderBytes: 4_000},
  );
  const big = chatBody({filler: 'x'.repeat(200_000)});
  const kind = {'x-lovagepond-request-kind': 'redeem'};
  const cases: [string, Record<string, string>, string, string, number][] = [
    ['{"messages":', {}, '', 'badRequest', 400],
    ['{"messages":[]}', {}, '', 'badRequest', 400],
    [chatBody(), {'x-lovagepond-workspace': ''}, '', 'badRequest', 400],
    [chatBody(), {'x-lovagepond-chat': 'a b'}, '', 'badRequest', 400],
    [chatBody(), {'x-lovagepond-deadline': 'soon'}, '', 'badDeadline', 400],
    [chatBody(), {'x-lovagepond-deadline': '-1'}, '', 'badDeadline', 400],
    [chatBody(), {'x-lovagepond-deadline': '9e9'}, '', 'badDeadline', 400],
    [big, {}, '', 'payloadTooLarge', 413],
    [chatBody(), {'x-large': 'x'.repeat(6_000)}, '', 'headersTooLarge', 431],
    [chatBody(), {}, '/v2/other', 'notFound', 404],
    [chatBody(), {}, '/services/a', 'badRequest', 400],
    [chatBody(), kind, '/services/..%2Fadmin', 'badRequest', 400],
  ];
  for (const [body, headers, path, wanted, status] of cases) {
    const res = await post(server, body, headers, path || undefined);
    expect([res.status, wanted]).toEqual([status, wanted]);
    const error = await errorOf(res);
    expect([error.kind, error.disposition]).toEqual([wanted, 'notRun']);
  }
  expect(handled).toBe(0);
  expect((await post(server, chatBody())).status).toBe(200);
});

test('bytes that are not HTTP get an error response', async () => {
  const server = await startServer(respondOk);
  const {received} = openRaw(server, 'HELLO\r\n\r\n');
  expect(await received).toContain('"kind":"badRequest"');
  expect(server.counters.malformed).toBe(1);
});

test('a body without a length is rejected at the limit', async () => {
  // A chunked body declares no length. It must be rejected as soon as it
  // exceeds the limit, and not be buffered until its end.
  const server = await startServer(respondOk, {maxBodyBytes: 2_000});
  const lines = Object.entries({...HEADERS, 'transfer-encoding': 'chunked'});
  const head = lines.map(pair => pair.join(': ')).join('\r\n');
  const chunk = `1000\r\n${'x'.repeat(4096)}\r\n`;
  const {received} = openRaw(
    server,
    `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n${head}\r\n\r\n${chunk}`,
  );
  expect(await received).toContain('"kind":"payloadTooLarge"');
});

test('bodies above the shared limit get a retry time', async () => {
  // Many bodies arrive at once, each within its own limit. Those beyond the
  // shared limit are rejected immediately with a jittered retry time. The
  // others are served, and their bytes are released.
  const sinks: ResponseSink[] = [];
  const server = await startServer((_req, sink) => sinks.push(sink), {
    maxHeldBodyBytes: 5_000,
  });
  const body = chatBody({filler: 'x'.repeat(2_000)});
  const first = [post(server, body), post(server, body)];
  await expect.poll(() => sinks.length).toBe(2);
  const refused = await errorOf(await post(server, body));
  expect(refused).toMatchObject({kind: 'overloaded', disposition: 'notRun'});
  expect(refused.retryAfterMs).toBeGreaterThanOrEqual(1_000);
  for (const sink of sinks) sink.end();
  await Promise.all(first);
  await expect.poll(() => server.counters.heldBodyBytes).toBe(0);
});

test('a rejected sender gets its response before the close', async () => {
  // Rejected by its head while the caller still sends the body. An immediate
  // close would reset the connection, and the caller would see only the reset.
  const server = await startServer(respondOk, {maxBodyBytes: 2_000});
  const body = 'x'.repeat(8 * 1024 * 1024);
  const {socket, received} = openRaw(server, rawRequest(body));
  let failure = '';
  socket.on('error', err => (failure = err.message));
  expect(await received).toContain('"kind":"payloadTooLarge"');
  expect(failure).toBe('');
});

test('malformed bytes after a request leave its response intact', async () => {
  // While a response is streamed, its caller sends bytes that are not HTTP. An
  // error written to the connection would appear within the response.
  const sinks: ResponseSink[] = [];
  const server = await startServer((_req, sink) => sinks.push(sink));
  const text = rawRequest(chatBody({stream: true}));
  const {socket, received} = openRaw(server, text);
  await expect.poll(() => sinks.length).toBe(1);
  await sinks[0]!.write(encoder.encode('data: 1\n\n'));
  await new Promise(resolve => socket.once('data', resolve));
  socket.write('HELLO\r\n\r\n');
  const all = await received;
  expect(all).toContain('data: 1');
  expect(all).not.toContain('badRequest');
  expect(sinks[0]!.closed).toBe(true);
});

test('an exception of the handler fails only its own request', async () => {
  const server = await startServer((req, sink) => {
    if (req.chat === 'c1') throw new Error('a fault');
    respondOk(req, sink);
  });
  const res = await post(server, chatBody());
  expect((await errorOf(res)).kind).toBe('internal');
  const other = await post(server, chatBody(), {'x-lovagepond-chat': 'c2'});
  expect(other.status).toBe(200);
});

test('a slow sender gets an error and is disconnected', async () => {
  // The caller sends its head and a part of the body, then single bytes.
  // Without a time limit on the whole body it would occupy the connection and
  // memory indefinitely.
  const server = await startServer(respondOk, {senderTimeoutMs: 80});
  const whole = rawRequest(chatBody());
  const {socket, received} = openRaw(server, whole.slice(0, -5));
  const trickle = setInterval(() => socket.write(' '), 200);
  const text = await received;
  clearInterval(trickle);
  expect(text).toContain('"kind":"senderTooSlow"');
  expect(server.counters.inFlight).toBe(0);
});

test('a reused key with another body is rejected while in flight', async () => {
  const sinks: ResponseSink[] = [];
  const server = await startServer((_req, sink) => sinks.push(sink));
  const headers = {'idempotency-key': 'k'};
  const first = post(server, chatBody(), headers);
  await expect.poll(() => sinks.length).toBe(1);
  const other = await post(server, chatBody({max_tokens: 3}), headers);
  expect((await errorOf(other)).kind).toBe('keyReuse');
  sinks[0]!.end();
  await first;
  const later = post(server, chatBody({max_tokens: 3}), headers);
  await expect.poll(() => sinks.length).toBe(2);
  sinks[1]!.end();
  expect((await later).status).toBe(200);
});

test('a stream ends with [DONE] only when it is complete', async () => {
  // A response fails after its first event. The caller must be able to
  // distinguish it from a complete one: it gets an error event and no [DONE].
  const server = await startServer(async (req, sink) => {
    sink.begin(200, 'text/event-stream');
    await sink.write(encoder.encode('data: {"a":1}\n\n'));
    if (req.chat === 'c1') sink.end();
    else sink.fail(makeFailure('answerTruncated'));
    sink.fail(makeFailure('internal'));
    void sink.write(encoder.encode('data: late\n\n'));
  });
  const body = chatBody({stream: true});
  const whole = await (await post(server, body)).text();
  expect(whole).toBe('data: {"a":1}\n\ndata: [DONE]\n\n');
  const res = await post(server, body, {'x-lovagepond-chat': 'c2'});
  const cut = await res.text();
  expect(cut).toMatch(/^data: {"a":1}\n\nevent: error\ndata: {.*}\n\n$/);
  expect(cut).toContain('"kind":"answerTruncated","disposition":"mayHaveRun"');
});

test('a buffered response is sent completely or not at all', async () => {
  // The engine crashes in the middle of a response that is not streamed. The
  // caller must get only the error, and no part of the response.
  const server = await startServer(async (_req, sink) => {
    sink.begin(200, 'application/json');
    await sink.write(encoder.encode('{"half":'));
    sink.fail(makeFailure('overloaded', {retryAfterMs: 1_200}));
  });
  const res = await post(server, chatBody());
  expect(res.status).toBe(503);
  expect(res.headers.get('retry-after')).toBe('2');
  const error = await errorOf(res);
  expect(error).toMatchObject({kind: 'overloaded', retryAfterMs: 1_200});
});

test('a reader that stops is limited in memory and disconnected', async () => {
  // The caller requests a stream and stops reading. Backpressure must stop the
  // producer, so that little is buffered. After the time limit the request is
  // cancelled, so that the engine does no wasted work.
  let produced = 0;
  let cancelled = '';
  const server = await startServer(
    async (_req, sink) => {
      sink.onCancel(failure => (cancelled = failure.kind));
      const chunk = new Uint8Array(16 * 1024);
      while (!sink.closed) {
        await sink.write(chunk);
        produced += chunk.length;
      }
    },
    {readerTimeoutMs: 100},
  );
  const {socket} = openRaw(server, rawRequest(chatBody({stream: true})));
  socket.pause();
  await expect.poll(() => cancelled, {timeout: 10_000}).toBe('callerGone');
  // The kernel's socket buffers at both ends hold a few megabytes.
  expect(produced).toBeLessThan(16 * 1024 * 1024);
  await expect.poll(() => server.counters.slowReadersEnded).toBe(1);
  socket.destroy();
});

test('a reader that pauses and resumes gets the whole response', async () => {
  // The caller pauses while far more data is produced than all buffers hold.
  // The producer waits, and nothing is cut off or dropped.
  const chunk = new Uint8Array(64 * 1024).fill(120);
  const server = await startServer(async (_req, sink) => {
    for (let i = 0; i < 320; i += 1) await sink.write(chunk);
    sink.end();
  });
  const text = rawRequest(chatBody({stream: true}), {connection: 'close'});
  const {socket, received} = openRaw(server, text);
  await new Promise(resolve => socket.once('data', resolve));
  socket.pause();
  await new Promise(resolve => setTimeout(resolve, 50));
  socket.resume();
  const all = await received;
  expect(all.match(/x{1000}/g)?.length).toBeGreaterThan(20_000);
  expect(all).toContain('data: [DONE]');
});

test('a producer without backpressure is stopped at the limit', async () => {
  // Writes that are not awaited would accumulate for a caller that has stopped
  // reading. The buffer limit disconnects it, whatever the producer does.
  let cancelled = false;
  const server = await startServer((_req, sink) => {
    sink.onCancel(() => (cancelled = true));
    const chunk = new Uint8Array(64 * 1024);
    for (let i = 0; i < 1_000; i += 1) void sink.write(chunk);
  });
  const {socket} = openRaw(server, rawRequest(chatBody({stream: true})));
  socket.pause();
  await expect.poll(() => cancelled).toBe(true);
  socket.destroy();
});

test('a request is cancelled when its caller disconnects', async () => {
  const cancels: string[] = [];
  const server = await startServer((_req, sink) =>
    sink.onCancel(failure => cancels.push(failure.kind)),
  );
  const {socket} = openRaw(server, rawRequest(chatBody()));
  await expect.poll(() => server.counters.inFlight).toBe(1);
  socket.destroy();
  await expect.poll(() => cancels).toEqual(['callerGone']);
  await expect.poll(() => server.counters.callersGone).toBe(1);
});

test('a pipelined request is rejected, and the first one served', async () => {
  const sinks: ResponseSink[] = [];
  const server = await startServer((_req, sink) => sinks.push(sink));
  const one = rawRequest(chatBody());
  const {received} = openRaw(server, one + one);
  await expect.poll(() => sinks.length).toBe(1);
  sinks[0]!.end();
  const text = await received;
  expect(text.match(/HTTP\/1.1 (\d+)/g)).toEqual([
    'HTTP/1.1 200',
    'HTTP/1.1 400',
  ]);
});

test('a graceful shutdown cuts off no response', async () => {
  // A shutdown begins while one response is streamed and one keep-alive
  // connection is idle. The response is completed, the idle connection closes,
  // and a request in the grace period is served with connection: close.
  const sinks: ResponseSink[] = [];
  const server = await startServer((_req, sink) => sinks.push(sink), {
    drainGraceMs: 100,
  });
  const streamed = post(server, chatBody({stream: true}));
  await expect.poll(() => sinks.length).toBe(1);
  sinks[0]!.begin(200, 'text/event-stream');
  await sinks[0]!.write(encoder.encode('data: 1\n\n'));
  const drained = server.drain(10_000);
  const late = post(server, chatBody());
  await expect.poll(() => sinks.length).toBe(2);
  sinks[1]!.end();
  expect((await late).headers.get('connection')).toBe('close');
  await expect
    .poll(() => fetch(`http://127.0.0.1:${server.port}/`).catch(() => 'closed'))
    .toBe('closed');
  await sinks[0]!.write(encoder.encode('data: 2\n\n'));
  sinks[0]!.end();
  const text = await (await streamed).text();
  expect(text).toBe('data: 1\n\ndata: 2\n\ndata: [DONE]\n\n');
  expect(await drained).toEqual({unfinished: 0});
});

// Guards against an end of the process that cuts a response and looks like a
// whole drain to the service manager.
test('a drain tells how many responses its limit cuts off', async () => {
  const sinks: ResponseSink[] = [];
  const server = await startServer((_req, sink) => sinks.push(sink));
  const cut = post(server, chatBody()).catch(() => 'cut');
  await expect.poll(() => sinks.length).toBe(1);
  expect(await server.drain(50)).toEqual({unfinished: 1});
  expect(await cut).toBe('cut');
});

test('connections above the limit are refused, others are served', async () => {
  const server = await startServer(respondOk, {maxConnections: 2});
  const open = [openRaw(server, ''), openRaw(server, '')];
  await expect.poll(() => server.counters.connections).toBe(2);
  const third = openRaw(server, rawRequest(chatBody()));
  expect(await third.received).toBe('');
  open[0]!.socket.write(rawRequest(chatBody(), {connection: 'close'}));
  expect(await open[0]!.received).toContain('200 OK');
  expect(server.counters.refusedConnections).toBe(1);
  open[1]!.socket.destroy();
});
