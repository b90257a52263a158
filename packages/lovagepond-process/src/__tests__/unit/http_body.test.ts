import {type IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {expect, test} from 'vitest';
import {receiveBody} from '../../http_body.js';
import {BodyBudget} from '../../http_body_budget.js';

interface Received {
  body?: Buffer;
  release?: () => void;
  failure?: string;
}

interface Reception {
  readonly stream: PassThrough;
  readonly received: Received;
  readonly stop: () => void;
}

function receive(
  budget: BodyBudget,
  maxBytes = 1_000_000,
  headers: Readonly<Record<string, string>> = {},
): Reception {
  const stream = new PassThrough();
  const received: Received = {};
  const req = Object.assign(stream, {headers}) as unknown as IncomingMessage;
  const stop = receiveBody(
    req,
    {maxBytes, budget},
    {
      onWhole: (body, release) => {
        Object.assign(received, {body, release});
      },
      onFailed: failure => {
        received.failure = failure;
      },
    },
  );
  return {stream, received, stop};
}

function turn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

test('a body arrives as it was sent, whatever its chunks', async () => {
  const budget = new BodyBudget(10_000_000);
  const {stream, received} = receive(budget);
  const chunks = [1, 511, 2, 70_000, 3, 200_000].map((size, nth) =>
    Buffer.alloc(size, 'a'.charCodeAt(0) + nth),
  );
  for (const chunk of chunks) stream.write(chunk);
  stream.end();
  await expect.poll(() => received.body).toBeDefined();
  expect(received.body?.equals(Buffer.concat(chunks))).toBe(true);
  expect(budget.heldBytes).toBe(270_517);
  received.release?.();
  expect(budget.heldBytes).toBe(0);
});

// Guards against memory that grows with the number of chunks.
test('a body in small chunks takes at most about twice its length', async () => {
  const budget = new BodyBudget(1_000_000);
  const {stream} = receive(budget);
  for (let nth = 0; nth < 30_000; nth += 1) stream.write('x');
  await turn();
  expect(budget.heldBytes).toBeGreaterThanOrEqual(30_000);
  expect(budget.heldBytes).toBeLessThan(2 * 30_000 + 1_024);
});

test('a body over the limit fails and frees its memory', async () => {
  const budget = new BodyBudget(1_000_000);
  const {stream, received} = receive(budget, 1_000);
  stream.write(Buffer.alloc(1_000));
  await turn();
  expect(received.failure).toBeUndefined();
  stream.write('x');
  await turn();
  expect(received.failure).toBe('tooLarge');
  expect(budget.heldBytes).toBe(0);
});

test('a body of an announced length over the limit fails at once', () => {
  const headers = {'content-length': '1001'};
  const {received} = receive(new BodyBudget(1_000_000), 1_000, headers);
  expect(received.failure).toBe('tooLarge');
});

test('an incomplete body that gives way fails and frees its memory', async () => {
  const budget = new BodyBudget(100_000);
  const large = receive(budget);
  large.stream.write(Buffer.alloc(90_000));
  await turn();
  const small = receive(budget);
  small.stream.end(Buffer.alloc(20_000));
  await expect.poll(() => small.received.body?.length).toBe(20_000);
  expect(large.received.failure).toBe('noRoom');
  expect(budget.heldBytes).toBe(20_000);
});

test('a connection that closes before the end fails', async () => {
  const budget = new BodyBudget(100_000);
  const {stream, received} = receive(budget);
  stream.write('x');
  await turn();
  stream.destroy();
  await expect.poll(() => received.failure).toBe('disconnected');
  expect(budget.heldBytes).toBe(0);
});

test('nothing is received after the stop', async () => {
  const budget = new BodyBudget(100_000);
  const {stream, received, stop} = receive(budget);
  stream.write('x');
  await turn();
  stop();
  expect(budget.heldBytes).toBe(0);
  stream.end('y');
  await turn();
  expect(received).toEqual({});
});
