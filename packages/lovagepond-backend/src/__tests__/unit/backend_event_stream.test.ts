import {ServerNotices} from '../../backend_server_notices.js';
import * as fc from 'fast-check';
import {createServer} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Dispatcher} from 'undici';
import {expect, test} from 'vitest';
import {mergeDelta} from '../../backend_answer_assembly.js';
import {AnswerCheck} from '../../backend_answer_check.js';
import {CacheSequence} from '../../backend_cache_sequence.js';
import {EventParser} from '../../backend_event_parser.js';
import {HttpBackendClient} from '../../backend_http_client.js';
import {type ExchangeEvent, HttpExchange} from '../../backend_http_exchange.js';
import {DEFAULT_HTTP_CLIENT_SETTINGS} from '../../index.js';
import {SEED} from './backend_test_utils.js';

const LIMIT = 1_000;

test('parses the same events however the bytes are split into chunks', () => {
  const text =
    'data: {"a":"ü"}\n\n: beat\r\n\r\nevent: x\ndata: 1\ndata: 2\n\n';
  const bytes = Buffer.from(text);
  const cuts = fc.array(fc.integer({min: 0, max: bytes.length}));
  const property = fc.property(cuts, places => {
    const parser = new EventParser(LIMIT);
    const ends = [0, ...places.sort((a, b) => a - b), bytes.length];
    const events = ends
      .slice(1)
      .flatMap((end, i) => parser.push(bytes.subarray(ends[i], end)) ?? []);
    expect(events.map(({name, data}) => [name, data])).toEqual([
      ['', '{"a":"ü"}'],
      ['', ''],
      ['x', '1\n2'],
    ]);
    expect(Buffer.concat(events.map(event => event.bytes))).toEqual(bytes);
  });
  fc.assert(property, {seed: SEED});
});

test('an incomplete event is not buffered beyond the limit', () => {
  const parser = new EventParser(LIMIT);
  expect(parser.push(Buffer.alloc(LIMIT, 'x'))).toEqual([]);
  expect(parser.push(Buffer.from('x'))).toBeUndefined();
});

test('forwards only events of its request, and accepts only a finished answer', () => {
  const inspect = (check: AnswerCheck, data: string, name = ''): string => {
    const verdict = check.inspect({bytes: Buffer.alloc(0), name, data});
    return verdict.kind === 'fail' ? verdict.failure.kind : verdict.kind;
  };
  const finish = '{"id":"chatcmpl-r","choices":[{"finish_reason":"stop"}]}';
  expect(inspect(new AnswerCheck('r'), '[DONE]')).toBe('answerTruncated');
  expect(inspect(new AnswerCheck('r'), '{"id":"r2"}')).toBe('backendFailed');
  expect(inspect(new AnswerCheck('r'), '{"choices":[]}')).toBe('backendFailed');
  expect(inspect(new AnswerCheck('r'), '{"id":"r"}', 'error')).toBe(
    'backendFailed',
  );
  expect(inspect(new AnswerCheck('r'), 'oops')).toBe('backendFailed');
  const check = new AnswerCheck('r');
  expect(['', finish, '[DONE]'].map(data => inspect(check, data))).toEqual([
    'skip',
    'pass',
    'whole',
  ]);
});

test('every lost cache event is detected', () => {
  // Events are lost, duplicated and reordered. Before a listener gets an event,
  // it has got all earlier events or a gap.
  const arrivals = fc.array(fc.integer({min: 1, max: 30}), {maxLength: 40});
  const property = fc.property(arrivals, sequences => {
    const follower = new CacheSequence();
    let known = 0;
    for (const sequence of sequences) {
      const base = {incarnation: 'e', workspace: 'w', chat: 'c', tokens: 1};
      const events = follower.take({...base, sequence, kind: 'stored'});
      const last = events.at(-1);
      if (!last) {
        expect(sequence).toBeLessThanOrEqual(known);
        continue;
      }
      const gap = events.length === 2 && events[0]?.kind === 'gap';
      expect(gap).toBe(sequence !== known + 1);
      known = sequence;
    }
  });
  fc.assert(property, {seed: SEED});
});

test('merges the pieces of a message, including tool calls', () => {
  const message = {};
  mergeDelta(message, {role: 'assistant', content: 'Hel'});
  mergeDelta(message, {content: 'lo', role: 'assistant'});
  const call = {index: 0, id: 'c', function: {name: 'f', arguments: '{"a'}};
  mergeDelta(message, {tool_calls: [call]});
  const rest = {index: 0, function: {arguments: '":1}'}};
  mergeDelta(message, {tool_calls: [rest]});
  expect(message).toEqual({
    role: 'assistant',
    content: 'Hello',
    tool_calls: [{id: 'c', function: {name: 'f', arguments: '{"a":1}'}}],
  });
});

test('a caller that reads nothing applies backpressure to the server', async () => {
  // Without backpressure the sidecar would buffer the complete answer while its
  // caller reads nothing.
  const sockets: Socket[] = [];
  const server = createServer((_req, res) => {
    const chunk = Buffer.alloc(64 * 1024);
    const fill = (): void => {
      while (res.write(chunk));
    };
    res.on('drain', fill);
    fill();
  });
  server.on('connection', socket => sockets.push(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const origin = `http://127.0.0.1:${port}`;
  const client = new HttpBackendClient(
    {
      ...DEFAULT_HTTP_CLIENT_SETTINGS,
      origin,
    },
    new ServerNotices(),
  );
  const request = {path: '/', headers: {}, silenceMs: 5_000} as const;
  const exchange = client.send({method: 'GET', ...request}, false);
  let previous = -1;
  await expect
    .poll(() => {
      const sent = sockets[0]?.bytesWritten ?? -2;
      const still = sent === previous && sent > 0;
      previous = sent;
      return still;
    })
    .toBe(true);
  // The kernel's buffers on both ends of the loopback hold part of the answer.
  expect(previous).toBeLessThan(32 * 1024 * 1024);
  exchange.abort();
  await client.close();
  server.close();
});

test('a request that the HTTP library sends again is aborted', async () => {
  // After a connection reset the HTTP library queues the request again and
  // starts it on the next connection. The service may have run the first one,
  // so the second start must not write a byte, and the outcome must be unknown.
  const aborts: string[] = [];
  const controller = (name: string): Dispatcher.DispatchController =>
    ({abort: () => aborts.push(name)}) as never;
  const dispatcher = {
    dispatch: (_options: unknown, handler: Dispatcher.DispatchHandler) => {
      handler.onRequestStart?.(controller('first'), {});
      handler.onRequestStart?.(controller('second'), {});
    },
  };
  const exchange = new HttpExchange();
  const request = {
    method: 'POST',
    path: '/',
    headers: {},
    silenceMs: 1,
  } as const;
  exchange.start(dispatcher as never, request);
  const events: ExchangeEvent[] = [];
  for await (const event of exchange.events()) events.push(event);
  expect(aborts).toEqual(['second']);
  expect(events).toEqual([
    {kind: 'dispatched'},
    {kind: 'lost', loss: 'broken', dispatched: true},
  ]);
});
