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

test('streams an answer, and uses the cached context for the next one', async () => {
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

test('returns one JSON answer to a non-streaming request', async () => {
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

test('resumes over a new connection when the old one breaks', async () => {
  // The connection breaks after 7 tokens, while the engine still generates the
  // answer. The adapter resumes from the delivered offset. The caller gets one
  // answer, in which nothing is lost, duplicated or generated twice.
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

test('an answer that starts again instead of resuming is rejected', async () => {
  // The connection breaks after the first event. The engine does not support
  // resuming: it ignores the offset and sends a new generation from its start.
  // Appended to the first one, it would give a text that no engine generated.
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

test('resumes when an answer stalls on an open connection', async () => {
  // A device on the network path has dropped the connection's state: it stays
  // open but nothing arrives any more, while new connections work.
  const server = await startEngine();
  server.setFaults({stallAfterTokens: 5});
  const engine = connectEngine(server.address);
  const {text, last} = await collect(engine, completion('r1'));
  expect(contentOf(text)).toBe(fakeAnswerText('r1', 20));
  expect(last.kind).toBe('end');
});

test('a silent pooled connection does not count as an engine failure', async () => {
  // An idle connection in the pool has become silent forever. The request sent
  // on it is never answered; a new connection must serve it, and load reports
  // and orders must succeed as well.
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

test('an answer without its end marker is never complete', async () => {
  // The stream ends cleanly after 4 tokens, which is complete in terms of HTTP.
  // Only the missing end marker shows that the answer is truncated.
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

test('a restarted engine fails its answers, and its load report shows it', async () => {
  // The engine crashes during an answer and restarts at once without its state.
  // The delivered part belongs to a lost generation, so the answer must not be
  // completed by the restarted engine.
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

test('a cancelled run forwards nothing, and the engine gets a cancellation', async () => {
  // The caller disconnects while the engine answers. Tokens that arrive after
  // the cancellation are dropped, and the engine stops its work.
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

test('drops events that arrived together with the last one before a cancel', async () => {
  // Two events arrive in one segment. The caller disconnects at the first one.
  // The second one is already received but must not be forwarded.
  const event = 'data: {"id":"r1","choices":[{"delta":{"content":"x"}}]}\n\n';
  const head = 'HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n';
  const engine = connectEngine(await startRawServer(head + event + event));
  const {events} = await collect(engine, completion('r1'), seen => {
    if (seen.kind === 'data') engine.cancel('r1');
  });
  expect(events.filter(seen => seen.kind === 'data')).toHaveLength(1);
  expect(events.at(-1)).toMatchObject({failure: {kind: 'callerGone'}});
});

test('fails at the deadline, and drops later events', async () => {
  const server = await startEngine();
  server.setFaults({answerDelayMs: 300});
  const engine = connectEngine(server.address);
  const deadline = clock.now() + 60;
  const {events} = await collect(engine, completion('r1', {deadline}));
  expect(events.map(event => event.kind)).toEqual(['dispatched', 'failed']);
  expect(events[1]).toMatchObject({failure: {kind: 'deadlineExceeded'}});
});

test('a deadline in the far future does not abort a run', async () => {
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const {last} = await collect(engine, completion('r1', {deadline: Infinity}));
  expect(last.kind).toBe('end');
});

test('distinguishes requests that were not run from those that may have run', async () => {
  const server = await startEngine();
  const engine = connectEngine(server.address);
  server.setFaults({refuse: true});
  const refused = await collect(engine, completion('r1'));
  expect(refused.last).toMatchObject({failure: {kind: 'overloaded'}});
  const unknown = await collect(engine, completion('r2', {resumeFrom: 10}));
  expect(unknown.last).toMatchObject({failure: {kind: 'answerTruncated'}});
  await server.stop();
  // A new client has no pooled connections. Bytes can still be written to a
  // pooled connection whose end was not noticed yet.
  const freshClient = connectEngine(server.address);
  const gone = await collect(freshClient, completion('r3'));
  expect(gone.events).toEqual([
    {kind: 'failed', failure: expect.objectContaining({kind: 'unreachable'})},
  ]);
});

test('an engine that crashes for good may have run the request', async () => {
  // The first connection breaks after the request was sent, and the new one is
  // refused. "unreachable" would mean that it was not run, but it may have run.
  const server = await startEngine();
  const engine = connectEngine(server.address);
  let stopped: Promise<void> | undefined;
  const {last} = await collect(engine, completion('r1'), event => {
    if (event.kind === 'started') stopped = server.stop();
  });
  await stopped;
  expect(last).toMatchObject({failure: {kind: 'backendFailed'}});
});

test('reports lost cache events and a restart as a gap', async () => {
  // Event 2 is lost, and so is event 4, which no other event follows for long.
  // The listener must get a gap for each: for event 2 before it gets event 3,
  // and for event 4 from the engine's position alone.
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

test('cache events continue after their connection became silent', async () => {
  // A device on the network path has dropped the state of the connection that
  // carries the events. After a reconnect the engine sends the events since the
  // last received one, so none is lost.
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

test('moves a KV cache, and sends orders with fencing tokens', async () => {
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
