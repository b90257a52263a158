import {Random} from '@lovagepond/core';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {DEFAULT_SIDECAR_SETTINGS, SidecarRole} from '../../index.js';
import {
  CLOCK,
  EchoEngine,
  FakeControl,
  FakeRouter,
  joinChunks,
  LOG,
} from './sidecar_test_utils.js';

const BODY = Buffer.from('an answer in two halves');

let control: FakeControl;
let engine: EchoEngine;
let role: SidecarRole;
let router: FakeRouter;

beforeEach(async () => {
  control = new FakeControl();
  engine = new EchoEngine();
  role = new SidecarRole(
    {
      ...DEFAULT_SIDECAR_SETTINGS,
      backendServer: 'engine-1',
      pool: 'chat',
      backendUrl: '',
      controlAddresses: [await control.start()],
      announceIntervalMs: 20,
      drainLingerMs: 0,
    },
    {
      clock: CLOCK,
      log: LOG,
      random: new Random(1),
      backend: {kind: 'engine', engine},
    },
  );
  await role.start();
  await expect.poll(() => role.isReady()).toBe(true);
  router = new FakeRouter(role.address, role.incarnation);
});

afterEach(async () => {
  router.close();
  await role.stop();
  control.stop();
});

describe('the sidecar process', () => {
  it('answers an attempt in full and announces itself as ready', async () => {
    const attempt = router.attempt({attemptId: 'a.1', body: BODY});
    await attempt.over;
    const kinds = attempt.frames.map(frame => frame.kind);
    expect(kinds).toEqual(['accepted', 'started', 'chunk', 'chunk', 'end']);
    expect(joinChunks(attempt.frames)).toBe(BODY.toString());
    expect(attempt.frames.at(-1)?.end?.totalBytes).toBe(BODY.length);
    await expect
      .poll(() => control.announced.some(({state}) => state === 'ready'))
      .toBe(true);
  });

  // The router's connection stops responding in the middle of an answer, and it
  // resends the attempt over a new one with its current offset. The caller must
  // get the rest of the same answer, and the engine must run only once.
  it('resumes a running answer over another stream', async () => {
    let finishRun = (): void => {};
    engine.gate = new Promise(resolve => (finishRun = resolve));
    const request = {attemptId: 'b.1', requestId: 'b', body: BODY};
    const first = router.attempt(request);
    const {chunk} = await first.until('chunk');
    first.cancel();
    const resumeFrom = chunk?.data?.length ?? 0;
    const second = router.attempt({...request, resumeFrom});
    await second.until('started');
    finishRun();
    await second.over;
    expect(joinChunks(first.frames) + joinChunks(second.frames)).toBe(
      BODY.toString(),
    );
    expect(engine.runs).toEqual(['b']);
    expect(engine.cancelled).toEqual([]);
  });

  // The drain starts during an answer, which must be sent to its end. Another
  // attempt is refused as not run at once, and the drain completes when nothing
  // runs any more.
  it('interrupts nothing when it drains', async () => {
    let finishRun = (): void => {};
    engine.gate = new Promise(resolve => (finishRun = resolve));
    const running = router.attempt({attemptId: 'c.1', body: BODY});
    await running.until('chunk');
    const drained = role.drain(10_000);
    const late = router.attempt({attemptId: 'd.1', body: BODY});
    const {refused} = await late.until('refused');
    expect(refused?.errorKind).toBe('draining');
    await expect.poll(() => control.announced.at(-1)?.state).toBe('draining');
    finishRun();
    expect(await drained).toEqual({unfinished: 0});
    await running.over;
    expect(joinChunks(running.frames)).toBe(BODY.toString());
    expect(engine.runs).toHaveLength(1);
  });

  // Guards against an end of the process that cuts an answer and looks like a
  // whole drain to the service manager.
  it('tells how many attempts the limit of a drain leaves open', async () => {
    let finishRun = (): void => {};
    engine.gate = new Promise(resolve => (finishRun = resolve));
    const running = router.attempt({attemptId: 'h.1', body: BODY});
    await running.until('chunk');
    expect(await role.drain(100)).toEqual({unfinished: 1});
    finishRun();
  });

  // Guards against requests and probes that reach a server which sheds load.
  it('sends its server nothing within a pause', async () => {
    engine.notify({pauseMs: 60_000, isLeaving: false});
    const probes = engine.probes;
    const attempt = router.attempt({attemptId: 'e.1', body: BODY});
    const {refused} = await attempt.until('refused');
    expect(refused?.errorKind).toBe('notReady');
    expect(refused?.retryAfterMs).toBeGreaterThan(50_000);
    await expect.poll(() => control.announced.at(-1)?.state).toBe('joining');
    expect(engine.runs).toEqual([]);
    expect(engine.probes).toBe(probes);
  });

  it('accepts attempts again when the pause is over', async () => {
    engine.notify({pauseMs: 50, isLeaving: false});
    expect(role.isReady()).toBe(false);
    await expect.poll(() => role.isReady()).toBe(true);
    const attempt = router.attempt({attemptId: 'f.1', body: BODY});
    await attempt.over;
    expect(joinChunks(attempt.frames)).toBe(BODY.toString());
  });

  // Guards against work for a server that exits before the work is done.
  it('drains until the instance of its server that leaves is over', async () => {
    engine.notify({pauseMs: 0, isLeaving: true});
    const attempt = router.attempt({attemptId: 'g.1', body: BODY});
    const {refused} = await attempt.until('refused');
    expect(refused?.errorKind).toBe('draining');
    await expect.poll(() => control.announced.at(-1)?.state).toBe('draining');
    engine.incarnation = 'engine-b';
    await expect
      .poll(() => control.announced.at(-1)?.state, {timeout: 5_000})
      .toBe('ready');
    expect(engine.runs).toEqual([]);
  });
});
