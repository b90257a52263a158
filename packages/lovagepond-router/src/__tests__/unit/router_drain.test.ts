import {Random} from '@lovagepond/core';
import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {RouterRole} from '../../router_role.js';
import {DEFAULT_ROUTER_SETTINGS} from '../../router_settings.js';
import {
  answerWhole,
  FakeControl,
  FakeFront,
  FakeSidecar,
  FakeSink,
  makeConfiguration,
  makeRequest,
  QUIET_LOG,
  type ReceivedAttempt,
  SYSTEM_CLOCK,
} from '../fakes/router_fakes.js';

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

const LIMIT_MS = 5_000;

/** Takes longer to accept a chunk than a short drain lasts. */
class SlowSink extends FakeSink {
  override async write(chunk: Uint8Array): Promise<void> {
    await super.write(chunk);
    await wait(1_500);
  }
}

interface World {
  readonly role: RouterRole;
  readonly attempts: ReceivedAttempt[];
  readonly sidecar: FakeSidecar;
  /** @param leftMs time until the request's deadline, milliseconds */
  ask(leftMs: number, requestId?: string, sink?: FakeSink): FakeSink;
}

/** Starts a router with one or two servers and requests without HTTP. */
async function startWorld(
  onAttempt: (attempt: ReceivedAttempt) => void,
  servers: 1 | 2 = 1,
): Promise<World> {
  const attempts: ReceivedAttempt[] = [];
  const sidecars = ['i1', 'i2'].slice(0, servers).map(name => {
    return new FakeSidecar(name, attempt => {
      attempts.push(attempt);
      onAttempt(attempt);
    });
  });
  for (const sidecar of sidecars) {
    await sidecar.start();
    closers.push(() => sidecar.stop());
  }
  const members = sidecars.map(one => one.member(`s-${one.incarnation}`));
  const control = new FakeControl(makeConfiguration(2), members);
  await control.start();
  closers.push(() => control.stop());
  let front: FakeFront | undefined;
  const role = new RouterRole(
    {
      ...DEFAULT_ROUTER_SETTINGS,
      name: 'router-1',
      controlAddresses: [control.address],
    },
    {
      clock: SYSTEM_CLOCK,
      log: QUIET_LOG,
      random: new Random(1),
      createFront: handler => (front = new FakeFront(handler)),
    },
  );
  await role.start();
  closers.push(() => role.stop());
  await expect.poll(() => role.isReady()).toBe(true);
  const ask: World['ask'] = (
    leftMs,
    requestId = 'r1',
    sink = new FakeSink(),
  ) => {
    const now = SYSTEM_CLOCK.now();
    const request = makeRequest({requestId, deadline: now + leftMs});
    void front?.handler.handle(request, sink, now);
    return sink;
  };
  return {role, attempts, sidecar: sidecars[0]!, ask};
}

test('a request whose body ends in a drain is not passed on to be cut', async () => {
  const {role, attempts, ask} = await startWorld(answerWhole);
  await role.drain(LIMIT_MS);
  const sink = ask(60_000);
  await sink.done;
  expect(sink.failure?.kind).toBe('draining');
  expect(sink.failure?.retryAfterMs).toBeGreaterThan(0);
  expect(attempts).toHaveLength(0);
});

test('a draining router serves a request whose deadline is before its exit', async () => {
  const {role, ask} = await startWorld(answerWhole);
  await role.drain(LIMIT_MS);
  const sink = ask(2_000);
  await sink.done;
  expect(sink).toMatchObject({text: 'hello', ended: true});
});

test('a draining router serves what recent answers show to end in time', async () => {
  const {role, ask} = await startWorld(answerWhole);
  for (let index = 0; index < 30; index += 1) {
    await ask(60_000, `before-${index}`).done;
  }
  // Answers count once they were observed for a multiple of their length.
  await wait(500);
  await role.drain(LIMIT_MS);
  const sink = ask(60_000);
  await sink.done;
  expect(sink).toMatchObject({text: 'hello', ended: true});
});

test('a slow reader does not make a draining router refuse the others', async () => {
  const {role, ask} = await startWorld(attempt => {
    const isSlow = attempt.request.requestId === 'slow';
    const data = Buffer.alloc(isSlow ? 200_000 : 5, 'x');
    const head = {status: 200, contentType: 'text/event-stream'};
    attempt.send({started: {warm: true}});
    attempt.send({chunk: {offset: 0, data, ...head}});
    attempt.send({end: {totalBytes: data.length, ...head}});
    attempt.end();
  });
  for (let index = 0; index < 30; index += 1) {
    await ask(60_000, `before-${index}`).done;
  }
  const slow = ask(60_000, 'slow', new SlowSink());
  await slow.done;
  await role.drain(LIMIT_MS);
  const sink = ask(60_000);
  await sink.done;
  expect(sink).toMatchObject({text: 'xxxxx', ended: true});
});

test('a request in a queue that can not end by the exit is revoked', async () => {
  const {role, attempts, sidecar, ask} = await startWorld(attempt => {
    attempt.send({accepted: {expectedWaitMs: 10}});
  });
  sidecar.revokeOutcome = 'revoked';
  const sink = ask(60_000);
  await expect.poll(() => attempts.length).toBe(1);
  await wait(50);
  await role.drain(LIMIT_MS);
  await sink.done;
  expect(sidecar.revoked).toContain('r1.1');
  expect(sink.failure?.kind).toBe('draining');
});

test('a drain leaves a request alone that its server runs', async () => {
  const {role, attempts, sidecar, ask} = await startWorld(attempt => {
    attempt.send({accepted: {expectedWaitMs: 0}});
    attempt.send({started: {warm: true}});
  });
  const sink = ask(60_000);
  await expect.poll(() => attempts.length).toBe(1);
  await wait(50);
  await role.drain(LIMIT_MS);
  await wait(100);
  answerWhole(attempts[0]!);
  await sink.done;
  expect(sink).toMatchObject({text: 'hello', ended: true});
  expect(sidecar.revoked).toEqual([]);
});

test('a refused request is not sent to another server to be cut', async () => {
  const {role, attempts, ask} = await startWorld(() => {}, 2);
  const sink = ask(60_000);
  await expect.poll(() => attempts.length).toBe(1);
  await role.drain(LIMIT_MS);
  attempts[0]!.send({refused: {errorKind: 'notReady'}});
  await sink.done;
  expect(sink.failure?.kind).toBe('notReady');
  await wait(100);
  expect(attempts).toHaveLength(1);
});
