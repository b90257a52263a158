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

test('hands on what the headers and the body say', async () => {
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

test('bad input gets its error from the closed table', async () => {
  // The caller sends something unusable. It gets the kind and the disposition
  // "not run" in the one JSON shape, the handler never hears of it, and the
  // next caller's request is answered as if nothing had happened.
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

test('bytes that are not HTTP are answered without harm', async () => {
  const server = await startServer(respondOk);
  const {received} = openRaw(server, 'HELLO\r\n\r\n');
  expect(await received).toContain('"kind":"badRequest"');
  expect(server.counters.malformed).toBe(1);
});

test('a body without a length is cut at the limit', async () => {
  // A chunked body tells no length. It must be refused once it has passed the
  // limit, not kept until its end.
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

test('all bodies together are bounded, and callers told to come back', async () => {
  // A wave of callers sends bodies that are each within the limit. Those that
  // would fill the process's memory are refused at once and spread; the others
  // are answered, and their bytes are given back.
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

test('a refused sender reads its answer before the connection ends', async () => {
  // The caller is refused by its head while it still sends its body. A close
  // at that moment resets the connection, and it sees the reset alone.
  const server = await startServer(respondOk, {maxBodyBytes: 2_000});
  const body = 'x'.repeat(8 * 1024 * 1024);
  const {socket, received} = openRaw(server, rawRequest(body));
  let failure = '';
  socket.on('error', err => (failure = err.message));
  expect(await received).toContain('"kind":"payloadTooLarge"');
  expect(failure).toBe('');
});

test('malformed bytes behind a request stay out of its answer', async () => {
  // While an answer streams, its caller sends bytes that are not HTTP. An
  // error written to the connection would stand amid the answer's text.
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

test('a fault of the handler ends its own request only', async () => {
  const server = await startServer((req, sink) => {
    if (req.chat === 'c1') throw new Error('a fault');
    respondOk(req, sink);
  });
  const res = await post(server, chatBody());
  expect((await errorOf(res)).kind).toBe('internal');
  const other = await post(server, chatBody(), {'x-lovagepond-chat': 'c2'});
  expect(other.status).toBe(200);
});

test('a slow sender is ended and told so', async () => {
  // The caller sends its head and a part of the body, then a byte now and
  // then. Without a limit on the whole body it would hold its connection and
  // its bytes for good.
  const server = await startServer(respondOk, {senderTimeoutMs: 80});
  const whole = rawRequest(chatBody());
  const {socket, received} = openRaw(server, whole.slice(0, -5));
  const trickle = setInterval(() => socket.write(' '), 200);
  const text = await received;
  clearInterval(trickle);
  expect(text).toContain('"kind":"senderTooSlow"');
  expect(server.counters.inFlight).toBe(0);
});

test('a reused key with another body is refused while in flight', async () => {
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

test('a streamed answer ends with [DONE] only when it is whole', async () => {
  // An answer breaks off after its first event. The caller must be able to
  // tell it from a whole one: it gets an error event, and no [DONE].
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

test('an answer that is not streamed goes out whole or not at all', async () => {
  // The engine dies amid an answer that the caller wants in one piece: it
  // must get the failure alone, and nothing of what came before.
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

test('a reader that takes nothing is bounded and ended', async () => {
  // The caller asks for a stream and stops reading. The producer must be held
  // back, so that little is kept for it, and after the limit the request is
  // cancelled, so that the engine doesn't work for nobody.
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
  // Socket buffers of the kernel on both ends take a few megabytes.
  expect(produced).toBeLessThan(16 * 1024 * 1024);
  await expect.poll(() => server.counters.slowReadersEnded).toBe(1);
  socket.destroy();
});

test('a reader that pauses and goes on gets its whole answer', async () => {
  // The caller stops reading for a moment while far more is made than any
  // buffer takes. The producer waits for it; nothing is cut or dropped.
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

test('a producer that ignores backpressure is cut at the limit', async () => {
  // Writes that aren't awaited would pile up for a caller that stopped
  // reading; the buffer's limit ends that caller, whatever the producer does.
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

test('a caller that goes away cancels its request', async () => {
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

test('pipelined requests are refused, and the first is answered', async () => {
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

test('a graceful shutdown cuts no answer', async () => {
  // A stop is planned while one answer streams and one keep-alive connection
  // idles. The answer goes on to its end, the idle connection closes, and a
  // request that comes in the grace time is answered with connection: close.
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
  await drained;
});

test('connections above the limit are refused, the others served', async () => {
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
