import {CallerServer, DEFAULT_CALLER_SETTINGS} from '@lovagepond/caller';
import {
  decodeConfiguration,
  encodeConfiguration,
  makeFailure,
  Random,
} from '@lovagepond/core';
import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {type RouterDependencies, RouterRole} from '../../router_role.js';
import {
  DEFAULT_ROUTER_SETTINGS,
  type RouterSettings,
} from '../../router_settings.js';
import {
  answerWhole,
  FakeControl,
  FakeFront,
  FakeSidecar,
  FakeSink,
  BlackholeProxy,
  type ReceivedAttempt,
  makeConfiguration,
  makeRequest,
  QUIET_LOG,
  SYSTEM_CLOCK,
  type WireMember,
} from '../fakes/router_fakes.js';

const BAD_BODY = Buffer.from('crash');

const closers: (() => void | Promise<void>)[] = [];
const controls: FakeControl[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function startSidecar(sidecar: FakeSidecar): Promise<FakeSidecar> {
  await sidecar.start();
  closers.push(() => sidecar.stop());
  return sidecar;
}

async function startRouter(
  members: WireMember[],
  createFront: RouterDependencies['createFront'],
  change: Partial<RouterSettings> = {},
): Promise<RouterRole> {
  const control = new FakeControl(makeConfiguration(2), members);
  await control.start();
  closers.push(() => control.stop());
  controls.push(control);
  const settings = {
    ...DEFAULT_ROUTER_SETTINGS,
    name: 'router-1',
    controlAddresses: [control.address],
    ...change,
  };
  const role = new RouterRole(settings, {
    clock: SYSTEM_CLOCK,
    log: QUIET_LOG,
    random: new Random(1),
    createFront,
  });
  await role.start();
  closers.push(() => role.stop());
  await expect.poll(() => role.isReady()).toBe(true);
  return role;
}

interface StartedRouter {
  readonly role: RouterRole;
  ask(change?: Parameters<typeof makeRequest>[0]): FakeSink;
}

/** Starts a router that receives requests directly instead of over HTTP. */
async function startWithoutHttp(
  members: WireMember[],
  change: Partial<RouterSettings> = {},
): Promise<StartedRouter> {
  let front: FakeFront | undefined;
  const createFront: RouterDependencies['createFront'] = handler =>
    (front = new FakeFront(handler));
  const role = await startRouter(members, createFront, change);
  const ask: StartedRouter['ask'] = request => {
    const sink = new FakeSink();
    const now = SYSTEM_CLOCK.now();
    void front?.handler.handle(makeRequest(request), sink, now);
    return sink;
  };
  return {role, ask};
}

test('forwards a request to a sidecar and relays the complete answer', async () => {
  const sidecar = await startSidecar(new FakeSidecar('i1'));
  const {role, ask} = await startWithoutHttp([sidecar.member('s1')]);
  const sink = ask();
  await sink.done;
  expect(sink).toMatchObject({text: 'hello', status: 200, ended: true});
  expect(role.dump().state).toMatchObject({answered: 1, inFlight: 0});
});

// A network device between router and sidecar has dropped their connection: the
// answer stops after three bytes, and the next request over the connection gets
// no frame. New connections work, so both answers must complete over one, the
// first from where it stopped, and the server must not become suspect.
test('a silent connection is replaced without truncating an answer', async () => {
  const seen: ReceivedAttempt[] = [];
  const sidecar = new FakeSidecar('i1', attempt => {
    seen.push(attempt);
    attempt.send({started: {}});
    const {attemptId, resumeFrom: offset = 0} = attempt.request;
    const stops = attemptId === 'r1.1' && offset === 0;
    const data = Buffer.from('hello').subarray(offset ?? 0, stops ? 3 : 5);
    attempt.send({chunk: {offset, data, status: 200}});
    if (!stops) attempt.send({end: {totalBytes: 5}});
  });
  await startSidecar(sidecar);
  sidecar.revokeOutcome = 'revoked';
  const proxy = new BlackholeProxy(sidecar.address);
  await proxy.start();
  closers.push(() => proxy.stop());
  const {role, ask} = await startWithoutHttp(
    [sidecar.member('s1', proxy.address)],
    {
      attemptSilentAfterMs: 100,
      firstFrameAfterMs: 100,
    },
  );
  const first = ask({requestId: 'r1'});
  await expect.poll(() => first.text).toBe('hel');
  proxy.blackhole();
  const second = ask({requestId: 'r2'});
  await Promise.all([first.done, second.done]);
  expect(first).toMatchObject({text: 'hello', ended: true});
  expect(second).toMatchObject({text: 'hello', ended: true});
  const resumed = seen.filter(({request}) => request.resumeFrom === 3);
  expect(resumed.map(({request}) => request.attemptId)).toContain('r1.1');
  expect(role.dump().state).toMatchObject({suspects: 0, failedByKind: {}});
});

// Guards against truncated answers when a host shuts down. A caller who reads a
// long streamed answer must receive all of it, although the router reports at
// once that it isn't ready and refuses new connections.
test('a draining router is not ready, refuses connections and completes answers', async () => {
  const held: ReceivedAttempt[] = [];
  const sidecar = new FakeSidecar('i1', attempt => {
    const body = JSON.stringify({id: 1});
    attempt.send({started: {}});
    const head = {status: 200, contentType: 'text/event-stream'};
    const data = Buffer.from(`data: ${body}\n\n`);
    attempt.send({chunk: {offset: 0, data, ...head}});
    held.push(attempt);
  });
  await startSidecar(sidecar);
  const settings = {...DEFAULT_CALLER_SETTINGS, drainGraceMs: 0};
  const role = await startRouter([sidecar.member('s1')], handler => {
    return new CallerServer(settings, {clock: SYSTEM_CLOCK, handler});
  });
  const url = `http://127.0.0.1:${role.port}/v1/chat/completions`;
  const request = {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-lovagepond-workspace': 'bakery',
      'x-lovagepond-chat': 'c1',
    },
    body: JSON.stringify({
      stream: true,
      messages: [{role: 'user', content: 'hi'}],
    }),
  };
  const answer = await fetch(url, request);
  const drained = role.drain(10_000);
  expect(role.isReady()).toBe(false);
  await expect
    .poll(() => fetch(url, request).catch(() => 'refused'))
    .toBe('refused');
  const last = Buffer.from('data: {"id":2}\n\n');
  held[0]!.send({chunk: {offset: 16, data: last}});
  held[0]!.send({end: {totalBytes: 16 + last.length}});
  const text = await answer.text();
  expect(text).toContain('data: {"id":2}');
  expect(text).toContain('[DONE]');
  expect(await drained).toEqual({unfinished: 0});
});

// An operator's change has reached only the router or only the sidecar, as the
// control plane can't reach the other. With the older configuration, the
// request would run on a server that the change forbids.
test('the side with the older configuration receives the newer one', async () => {
  const revisions: number[] = [];
  const refuseOnce = (
    attempt: ReceivedAttempt,
    configuration?: Uint8Array,
  ): void => {
    revisions.push(attempt.request.revision ?? 0);
    if (revisions.length > 1) {
      answerWhole(attempt);
      return;
    }
    const refused = {
      errorKind: 'staleRevision',
      ...(configuration && {configuration}),
    };
    attempt.send({refused});
    attempt.end();
  };
  const ahead = new FakeSidecar('i1', attempt => {
    refuseOnce(attempt, encodeConfiguration(makeConfiguration(9)));
  });
  ahead.revision = 9;
  await startSidecar(ahead);
  const {role, ask} = await startWithoutHttp([ahead.member('s1')]);
  const sink = ask();
  await sink.done;
  expect(sink.text).toBe('hello');
  expect(revisions).toEqual([2, 9]);
  expect(role.dump().state).toMatchObject({revision: 9});
  await expect.poll(() => controls.at(-1)?.reports).toEqual([2, 9]);

  revisions.length = 0;
  const behind = await startSidecar(new FakeSidecar('i2', refuseOnce));
  const other = await startWithoutHttp([behind.member('s1')]);
  const later = other.ask();
  await later.done;
  expect(later.text).toBe('hello');
  const [handed] = behind.installed;
  expect(decodeConfiguration(handed!)?.revision).toBe(2);
});

// A caller disconnects while the request is queued. To the sidecar, the end of
// the stream looks like a lost connection, so without a revocation the engine
// would run a request that nobody waits for.
test('a request whose caller has disconnected is revoked at its sidecar', async () => {
  const held: ReceivedAttempt[] = [];
  const sidecar = new FakeSidecar('i1', attempt => {
    held.push(attempt);
    attempt.send({accepted: {expectedWaitMs: 10}});
  });
  await startSidecar(sidecar);
  const {role, ask} = await startWithoutHttp([sidecar.member('s1')]);
  const sink = ask();
  await expect.poll(() => held.length).toBe(1);
  sink.cancel(makeFailure('callerGone'));
  await expect.poll(() => sidecar.revoked).toEqual(['r1.1']);
  expect(role.dump().state).toMatchObject({inFlight: 0});
});

// A server's host has failed, but the server is still listed as ready until its
// lease expires. Its callers must be served by other servers at once, and after
// the first failure without an attempt at the failed server.
test('own evidence of a failed server takes effect before its lease expires', async () => {
  const running = await startSidecar(new FakeSidecar('i1'));
  const stopped = await startSidecar(new FakeSidecar('i2'));
  const members = [running.member('s1'), stopped.member('s2')];
  stopped.stop();
  const {role, ask} = await startWithoutHttp(members);
  const chats = Array.from({length: 20}, (_, index) => `c${index}`);
  for (const chat of chats) {
    const sink = ask({requestId: chat, chat});
    await sink.done;
    expect(sink.text).toBe('hello');
  }
  expect(role.dump().state).toMatchObject({suspects: 1, hops: 1});
});

/** Longer than the interval in which crashes count as one. */
const COMMON_CAUSE_MS = 250;

// Guards against a request that crashes one engine after another behind their
// sidecars.
test('a request that crashed three engines is sent to no other engine', async () => {
  const served: string[] = [];
  const members: WireMember[] = [];
  for (const name of ['s1', 's2', 's3', 's4', 's5']) {
    const sidecar = new FakeSidecar(`i-${name}`, attempt => {
      served.push(name);
      const isBad = Buffer.from(attempt.request.body ?? []).equals(BAD_BODY);
      if (!isBad) {
        answerWhole(attempt);
        return;
      }
      attempt.send({started: {}});
      const errorKind = 'backendFailed';
      attempt.send({
        failed: {errorKind, crashedLife: `${name}.${served.length}`},
      });
      attempt.end();
    });
    await startSidecar(sidecar);
    members.push(sidecar.member(name));
  }
  const {ask} = await startWithoutHttp(members);
  const bad = {body: BAD_BODY, bodyDigest: BAD_BODY};
  for (let turn = 0; turn < 5; turn += 1) {
    const sink = ask(bad);
    await sink.done;
    if (served.length >= 3) break;
    await wait(COMMON_CAUSE_MS);
  }
  expect(served).toHaveLength(3);
  const refused = ask(bad);
  await refused.done;
  expect(refused.failure?.kind).toBe('quarantined');
  expect(refused.failure?.retryAfterMs).toBeGreaterThan(0);
  expect(served).toHaveLength(3);
  const other = ask();
  await other.done;
  expect(other).toMatchObject({text: 'hello', ended: true});
});
