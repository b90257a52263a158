import {afterEach, expect, test} from 'vitest';
import {fakeAnswerText} from '../../index.js';
import {
  cleanUp,
  clock,
  collect,
  completion,
  connectEngine,
  contentOf,
  startEngine,
  startRawServer,
} from './backend_test_utils.js';

afterEach(cleanUp);

test('streams an answer, and finds the context warm the next time', async () => {
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const first = await collect(engine, completion('r1'));
  expect(first.events.slice(0, 2)).toEqual([
    {kind: 'dispatched'},
    expect.objectContaining({kind: 'started', cachedTokens: 0}),
  ]);
  expect(contentOf(first.text)).toBe(fakeAnswerText('r1', 20));
  expect(first.text).not.toContain('[DONE]');
  const totalBytes = first.text.length;
  expect(first.last).toMatchObject({kind: 'end', totalBytes});
  const second = await collect(engine, completion('r2'));
  expect(second.events[1]).toMatchObject({kind: 'started'});
  expect(second.last).toMatchObject({usage: {answerTokens: 20}});
  expect(JSON.stringify(second.last)).not.toContain('"cachedTokens":0');
});

test('makes one JSON answer when no stream is wanted', async () => {
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const {text, last} = await collect(engine, completion('r1', {stream: false}));
  const answer = JSON.parse(text) as Record<string, unknown>;
  expect(answer).toMatchObject({
    id: 'r1',
    object: 'chat.completion',
    choices: [
      {
        message: {role: 'assistant', content: fakeAnswerText('r1', 20)},
        finish_reason: 'stop',
      },
    ],
    usage: {completion_tokens: 20},
  });
  expect(last).toMatchObject({kind: 'end', totalBytes: text.length});
});

test('goes on over a fresh connection when the old one breaks', async () => {
  // The connection breaks after 7 tokens, while the engine still makes the
  // answer. The caller sees one answer: the adapter asks the engine to go on
  // from the delivered byte, and nothing is lost, doubled or made twice.
  const server = await startEngine();
  server.setFaults({cutAfterTokens: 7});
  const engine = connectEngine(server.address);
  const {events, text, last} = await collect(engine, completion('r1'));
  expect(contentOf(text)).toBe(fakeAnswerText('r1', 20));
  let expected = 0;
  for (const event of events) {
    if (event.kind !== 'data') continue;
    expect(event.offset).toBe(expected);
    expected += event.bytes.length;
  }
  expect(last).toMatchObject({kind: 'end', totalBytes: expected});
  expect(server.counters).toMatchObject({requests: 1, resumes: 1});
  const whole = await collect(engine, completion('r2', {stream: false}));
  expect(contentOf(whole.text)).toBe(fakeAnswerText('r2', 20));
  expect(server.counters).toMatchObject({requests: 2, resumes: 2});
});

test('an engine that begins anew in place of going on is not believed', async () => {
  // The connection breaks after the first event. The engine knows nothing of
  // resuming: it ignores the offset and sends a new generation from its start.
  // Joined to the first, the caller would read a text that no engine wrote.
  const chunk = (text: string): string =>
    `data: {"id":"r1","choices":[{"delta":{"content":"${text}"},` +
    '"finish_reason":"stop"}]}\n\n';
  const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
  const body = `${chunk('one')}data: [DONE]\n\n`;
  const whole = `${head}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
  const broken = `${head}${chunk('one').length.toString(16)}\r\n${chunk('one')}`;
  const engine = connectEngine(await startRawServer(broken, whole));
  const {text, last} = await collect(engine, completion('r1'));
  expect(text).toBe(chunk('one'));
  expect(last).toMatchObject({failure: {kind: 'backendFailed'}});
});

test('goes on when an answer stalls on a connection that stays', async () => {
  // Something between the two ends has lost track of the connection: it never
  // closes and nothing comes any more, while new ones work.
  const server = await startEngine();
  server.setFaults({stallAfterTokens: 5});
  const engine = connectEngine(server.address);
  const {text, last} = await collect(engine, completion('r1'));
  expect(contentOf(text)).toBe(fakeAnswerText('r1', 20));
  expect(last.kind).toBe('end');
});

test('a silent pooled connection is not held against the engine', async () => {
  // A connection that idled in the pool has gone silent for good. The request
  // written to it is never answered; a fresh connection must serve it, and
  // load reports and orders must get through as well.
  const server = await startEngine();
  const engine = connectEngine(server.address, {maxConnections: 1});
  await collect(engine, completion('r1'));
  server.silence();
  const {text} = await collect(engine, completion('r2'));
  expect(contentOf(text)).toBe(fakeAnswerText('r2', 20));
  await engine.loadReport(clock.now());
  server.silence();
  expect((await engine.loadReport(clock.now())).ok).toBe(true);
});

test('an answer that ends without its marker is never whole', async () => {
  // The stream ends cleanly after 4 tokens: HTTP calls that complete. Only the
  // missing end marker tells that there should have been more.
  const server = await startEngine();
  server.setFaults({truncateAfterTokens: 4});
  const engine = connectEngine(server.address);
  for (const stream of [true, false]) {
    const req = completion(`r-${stream}`, {stream});
    const {last, text} = await collect(engine, req);
    expect(last).toMatchObject({failure: {kind: 'answerTruncated'}});
    if (!stream) expect(text).toBe('');
  }
});

test('a restarted engine ends its answers, and its report tells', async () => {
  // The engine dies amid an answer and comes back at once, empty. What it had
  // delivered belongs to a generation that is gone; the new engine must not
  // be asked to make up the rest.
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const before = await engine.loadReport(clock.now());
  server.setFaults({dieAfterTokens: 6, requests: 1});
  const {last, text} = await collect(engine, completion('r1'));
  expect(last).toMatchObject({failure: {kind: 'backendFailed'}});
  expect(contentOf(text).length).toBeLessThan(fakeAnswerText('r1', 7).length);
  const after = await engine.loadReport(clock.now());
  expect(before.ok && before.value.incarnation).toBe('engine-1');
  expect(after.ok && after.value.incarnation).toBe('engine-2');
});

test("another request's answer never reaches this caller", async () => {
  const server = await startEngine();
  server.setFaults({crossAnswers: true});
  const engine = connectEngine(server.address);
  const {events} = await collect(engine, completion('r1'));
  expect(events).toEqual([
    {kind: 'dispatched'},
    {kind: 'failed', failure: expect.objectContaining({kind: 'backendFailed'})},
  ]);
});

test('a cancelled run passes nothing on, and the engine is told', async () => {
  // The caller goes away while the engine answers. Tokens that come after the
  // cancellation are dropped, and the engine stops working for nobody.
  const server = await startEngine({stepMs: 5});
  const engine = connectEngine(server.address);
  let dataAfterCancel = 0;
  let cancelled = false;
  const {last} = await collect(engine, completion('r1'), event => {
    if (event.kind !== 'data') return;
    if (cancelled) dataAfterCancel += 1;
    cancelled = true;
    engine.cancel('r1');
  });
  expect(last).toMatchObject({failure: {kind: 'callerGone'}});
  expect(dataAfterCancel).toBe(0);
  await expect.poll(() => server.counters.cancels).toBe(1);
  expect(server.engine.outstandingTokens).toBe(0);
});

test('drops what came with the event at which a run was cancelled', async () => {
  // Two events come in one segment. The caller goes away at the first; the
  // second is already here, and still must not be passed on.
  const event = 'data: {"id":"r1","choices":[{"delta":{"content":"x"}}]}\n\n';
  const head = 'HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n';
  const engine = connectEngine(await startRawServer(head + event + event));
  const {events} = await collect(engine, completion('r1'), seen => {
    if (seen.kind === 'data') engine.cancel('r1');
  });
  expect(events.filter(seen => seen.kind === 'data')).toHaveLength(1);
  expect(events.at(-1)).toMatchObject({failure: {kind: 'callerGone'}});
});

test('ends at the deadline, and drops what comes later', async () => {
  const server = await startEngine();
  server.setFaults({answerDelayMs: 300});
  const engine = connectEngine(server.address);
  const deadline = clock.now() + 60;
  const {events} = await collect(engine, completion('r1', {deadline}));
  expect(events.map(event => event.kind)).toEqual(['dispatched', 'failed']);
  expect(events[1]).toMatchObject({failure: {kind: 'deadlineExceeded'}});
});

test('a deadline that lies far ahead ends nothing', async () => {
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const {last} = await collect(engine, completion('r1', {deadline: Infinity}));
  expect(last.kind).toBe('end');
});

test('tells what was not run from what may have run', async () => {
  const server = await startEngine();
  const engine = connectEngine(server.address);
  server.setFaults({refuse: true});
  const refused = await collect(engine, completion('r1'));
  expect(refused.last).toMatchObject({failure: {kind: 'overloaded'}});
  const unknown = await collect(engine, completion('r2', {resumeFrom: 10}));
  expect(unknown.last).toMatchObject({failure: {kind: 'answerTruncated'}});
  await server.stop();
  // Without a pooled connection: one that broke unnoticed takes bytes.
  const freshClient = connectEngine(server.address);
  const gone = await collect(freshClient, completion('r3'));
  expect(gone.events).toEqual([
    {kind: 'failed', failure: expect.objectContaining({kind: 'unreachable'})},
  ]);
});

test('an engine that dies for good may have run the request', async () => {
  // The first connection breaks after the request went out, the fresh one is
  // refused. "Unreachable" would say that it was not run; it may have.
  const server = await startEngine();
  const engine = connectEngine(server.address);
  let stopped: Promise<void> | undefined;
  const {last} = await collect(engine, completion('r1'), event => {
    if (event.kind === 'started') stopped = server.stop();
  });
  await stopped;
  expect(last).toMatchObject({failure: {kind: 'backendFailed'}});
});

test('tells of lost cache events and of a restart by a gap', async () => {
  // Event 2 is lost, and so is event 4, after which nothing happens for long.
  // Whatever they said, the listener must learn that something is missing:
  // before it hears of event 3, and by the engine's position alone after it.
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const received: string[] = [];
  engine.subscribeCache(event =>
    received.push(`${event.kind} ${event.sequence}`),
  );
  server.setFaults({dropCacheEventEvery: 2});
  const runAll = async (...chats: string[]): Promise<void> => {
    for (const chat of chats) await collect(engine, completion(chat, {chat}));
  };
  await runAll('c1');
  await expect.poll(() => received).toEqual(['stored 1']);
  await runAll('c2', 'c3', 'c4');
  const wanted = ['stored 1', 'gap 2', 'stored 3', 'gap 4'];
  await expect.poll(() => received).toEqual(wanted);
  server.restart();
  await engine.loadReport(clock.now());
  await expect.poll(() => received).toEqual([...wanted, 'gap 0']);
});

test('cache events go on after their connection went silent', async () => {
  // The connection that carries the events is forgotten by something in
  // between. The events made meanwhile are asked for again, so none is lost.
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const received: string[] = [];
  engine.subscribeCache(event =>
    received.push(`${event.kind} ${event.sequence}`),
  );
  await collect(engine, completion('r1', {chat: 'c1'}));
  await expect.poll(() => received).toEqual(['stored 1']);
  server.silence();
  await collect(engine, completion('r2', {chat: 'c2'}));
  await expect
    .poll(() => received, {timeout: 10_000})
    .toEqual(['stored 1', 'stored 2']);
});

test('moves a KV cache, and passes orders with their fencing', async () => {
  const servers = [await startEngine(), await startEngine()];
  const [from, to] = servers.map(server => connectEngine(server.address));
  const key = {workspace: 'shop', chat: 'c1'};
  expect(await from!.exportCache(key)).toMatchObject({
    failure: {kind: 'notFound'},
  });
  await collect(from!, completion('r1'));
  const cache = await from!.exportCache(key);
  if (!cache.ok) throw new Error(cache.failure.message);
  expect((await to!.importCache(key, cache.value)).ok).toBe(true);
  const {last} = await collect(to!, completion('r2'));
  expect(last).not.toMatchObject({usage: {cachedTokens: 0}});

  const order = {orderId: 'o', action: 'loadModel', arguments: {model: 'm2'}};
  const send = async (fencingToken: number): Promise<unknown> => {
    const result = await to!.order({...order, fencingToken} as never);
    return result.ok && result.value.outcome;
  };
  expect(await send(8)).toBe('done');
  expect(await send(7)).toBe('fenced');
  servers[1]!.setFaults({ignoreFencing: true});
  expect(await send(7)).toBe('done');
});
