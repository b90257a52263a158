import {afterEach, expect, test} from 'vitest';
import {answerFor} from '@lovagepond/core';
import {type ServerNotice, type ServiceOutcome} from '../../index.js';
import {
  cleanUp,
  clock,
  connectService,
  serviceCall,
  startRawServer,
  startService,
} from './backend_test_utils.js';

afterEach(cleanUp);

/** Kind and disposition of a failed call, or status of an answered one. */
function describeOutcome(outcome: ServiceOutcome): string {
  if (outcome.kind === 'answered') return `answered ${outcome.status}`;
  const {kind} = outcome.failure;
  return `${kind} ${answerFor(kind).disposition}`;
}

test('sends a call once and returns its answer unchanged', async () => {
  const server = await startService();
  const service = connectService(server.address);
  const call = serviceCall('r1', {idempotencyKey: 'k1'});
  const outcome = await service.call(call, clock.now());
  if (outcome.kind !== 'answered') throw new Error(describeOutcome(outcome));
  expect(JSON.parse(Buffer.from(outcome.body).toString())).toEqual({
    requestId: 'r1',
    path: '/services/redeem',
    runs: 1,
  });
  expect(await service.probe()).toBe(true);
});

test('a failed call is "not run" only when no byte of it was sent', async () => {
  // A call that redeems a coupon fails in every possible way. Whenever the
  // service may have run the call, the outcome says so, and the call is never
  // sent again. With a wrong "not run" the coupon would be redeemed twice.
  const server = await startService();
  const service = connectService(server.address);
  const modes = {
    cutBeforeRun: ['backendFailed mayHaveRun', 0],
    cutAfterRun: ['backendFailed mayHaveRun', 1],
    stall: ['backendSilent mayHaveRun', 1],
    truncate: ['backendFailed mayHaveRun', 1],
    cross: ['backendFailed mayHaveRun', 1],
  } as const;
  for (const [mode, [expected, runs]] of Object.entries(modes)) {
    server.setFaults({mode: mode as keyof typeof modes});
    for (const nonRepeatable of [true, false]) {
      const id = `${mode}-${nonRepeatable}`;
      const call = serviceCall(id, {nonRepeatable});
      const outcome = await service.call(call, clock.now());
      expect([id, describeOutcome(outcome)]).toEqual([id, expected]);
      expect([id, server.runs.get(id) ?? 0]).toEqual([id, runs]);
    }
  }
  await server.stop();
  const gone = await service.call(serviceCall('gone'), clock.now());
  expect(describeOutcome(gone)).toBe('unreachable notRun');
  expect(await service.probe()).toBe(false);
});

test('a call aborted before its first byte is never sent', async () => {
  // The attempt is revoked while its connection is being established, and is
  // immediately reported as not run. It must not be sent once the connection is
  // open.
  const server = await startService();
  const service = connectService(server.address);
  const controller = new AbortController();
  const pending = service.call(
    serviceCall('r1'),
    clock.now(),
    controller.signal,
  );
  controller.abort();
  expect(describeOutcome(await pending)).toBe('revoked notRun');
  await service.call(serviceCall('r2'), clock.now());
  await service.call(serviceCall('r3'), clock.now());
  expect([...server.runs.keys()]).toEqual(['r2', 'r3']);
});

test('a call that exceeds its deadline after it was sent may have run', async () => {
  const server = await startService();
  server.setFaults({answerDelayMs: 5_000});
  const service = connectService(server.address, {silenceMs: 10_000});
  const soon = serviceCall('r1', {deadline: clock.now() + 50});
  const late = await service.call(soon, clock.now());
  expect(describeOutcome(late)).toBe('deadlineExceeded mayHaveRun');
  const past = serviceCall('r2', {deadline: clock.now() - 1});
  const refused = await service.call(past, clock.now());
  expect(describeOutcome(refused)).toBe('deadlineUnreachable notRun');
});

test('a non-repeatable call is not sent on a silent pooled connection', async () => {
  // The server no longer responds on its pooled connection. A non-repeatable
  // call sent there could neither be answered nor retried, so it must use a new
  // connection.
  const server = await startService();
  const service = connectService(server.address, {maxConnections: 1});
  const first = serviceCall('r1', {nonRepeatable: false});
  await service.call(first, clock.now());
  server.silence();
  const outcome = await service.call(serviceCall('r2'), clock.now());
  expect(describeOutcome(outcome)).toBe('answered 200');
});

test('an answer without a length is not accepted as complete', async () => {
  // HTTP allows an answer to end when its connection closes. A truncated answer
  // is then indistinguishable from a complete one.
  const address = await startRawServer('HTTP/1.1 200 OK\r\n\r\n{"half":');
  const service = connectService(address);
  const outcome = await service.call(serviceCall('r1'), clock.now());
  expect(describeOutcome(outcome)).toBe('answerTruncated mayHaveRun');
});

// Guards against a caller that gets what is no answer in the protocol.
test.each(['000', '099', '600', '999'])(
  'an answer with the status %s is a failure',
  async status => {
    const text = `HTTP/1.1 ${status} X\r\ncontent-length: 2\r\n\r\nno`;
    const service = connectService(await startRawServer(text));
    const outcome = await service.call(serviceCall('r1'), clock.now());
    expect(describeOutcome(outcome)).toBe('backendFailed mayHaveRun');
  },
);

test('an answer is aborted at the size limit', async () => {
  const head = 'HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n';
  const address = await startRawServer(head + 'x'.repeat(200_000));
  const service = connectService(address, {maxWholeBytes: 100_000});
  const outcome = await service.call(serviceCall('r1'), clock.now());
  expect(outcome).toMatchObject({
    failure: {message: 'The answer is larger than allowed.'},
  });
});

test('a response tells that its server wants a pause or is leaving', async () => {
  const pausing =
    'HTTP/1.1 503 Busy\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n';
  const leaving =
    'HTTP/1.1 200 OK\r\nX-Lovagepond-Leaving: 1\r\nContent-Length: 0\r\n\r\n';
  const address = await startRawServer(pausing, leaving);
  const service = connectService(address);
  const notices: ServerNotice[] = [];
  const unregister = service.onNotice(notice => notices.push(notice));
  await service.call(serviceCall('r1'), clock.now());
  await service.probe();
  unregister();
  await service.probe();
  expect(notices).toEqual([
    {pauseMs: 2_500, isLeaving: false},
    {pauseMs: 0, isLeaving: true},
  ]);
});
