import {type EngineEvent} from '@lovagepond/backend';
import {makeFailure, Random} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {describe, expect, it} from 'vitest';
import {
  DEFAULT_SIDECAR_SETTINGS,
  SidecarGate,
  type SidecarSettings,
} from '../../index.js';
import {SidecarDispatcher} from '../../sidecar_dispatcher.js';
import {type FrameBody} from '../../sidecar_frames.js';
import {type FrameStream} from '../../sidecar_session.js';
import {EchoEngine, joinChunks, LOG} from './sidecar_test_utils.js';

const SETTINGS: SidecarSettings = {
  ...DEFAULT_SIDECAR_SETTINGS,
  backendServer: 'engine-1',
  pool: 'chat',
  backendUrl: '',
  controlAddresses: [],
  maxAnswerBytes: 100,
};

/** A router's stream that can report congestion. */
class FakeStream implements FrameStream {
  readonly frames: FrameBody[] = [];
  isWritable = true;
  ended = false;

  write(body: FrameBody): boolean {
    this.frames.push(body);
    return this.isWritable;
  }

  end(): void {
    this.ended = true;
  }
}

/** An engine that emits scripted events, one script per run. */
class ScriptedEngine extends EchoEngine {
  readonly scripts: EngineEvent[][] = [];
  readonly resumes: number[] = [];
  eventsRead = 0;

  override async *run(
    request: Parameters<EchoEngine['run']>[0] & {resumeFrom: number},
  ): AsyncGenerator<EngineEvent> {
    this.resumes.push(request.resumeFrom);
    yield {kind: 'dispatched'};
    const head = {status: 200, contentType: 'text/plain', cachedTokens: 0};
    yield {kind: 'started', ...head};
    for (const event of this.scripts.shift() ?? []) {
      this.eventsRead += 1;
      yield event;
    }
  }
}

/** Whether the backend instance of an interrupted run has ended. */
const hasCrashed = {value: false};

function makeFixture(engine: EchoEngine): {
  dispatcher: SidecarDispatcher;
  gate: SidecarGate;
  clock: {time: number};
} {
  const clock = {time: 0};
  const incarnation = 'inc-1';
  const gate = new SidecarGate({...SETTINGS, incarnation}, new Random(1));
  const dispatcher = new SidecarDispatcher(SETTINGS, {
    gate,
    backend: {kind: 'engine', engine},
    clock: {now: () => clock.time, wallTime: () => clock.time},
    log: LOG,
    ledger: {
      claim: () => Promise.resolve(undefined),
      record: () => Promise.resolve(false),
    },
    incarnation,
    newerConfiguration: () => Buffer.of(),
    point: () => {},
    noteUnreachable: () => {},
    noteServed: () => {},
    backendInstance: () => 0,
    hasEnded: () => Promise.resolve(hasCrashed.value),
  });
  return {dispatcher, gate, clock};
}

function makeRequest(
  attemptId: string,
  more: lovagepond.v1.AttemptRequest.$Properties = {},
): lovagepond.v1.AttemptRequest {
  return new lovagepond.v1.AttemptRequest({
    requestId: attemptId,
    attemptId,
    incarnation: 'inc-1',
    workspace: 'bakery',
    deadlineLeftMs: 60_000,
    estimatedTokens: 10,
    body: Buffer.from('0123456789'),
    ...more,
  });
}

function data(offset: number, text: string): EngineEvent {
  return {kind: 'data', offset, bytes: Buffer.from(text)};
}

function end(totalBytes: number): EngineEvent {
  const usage = {promptTokens: 0, cachedTokens: 0, answerTokens: 0};
  return {kind: 'end', totalBytes, usage};
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
}

describe('an interrupted attempt', () => {
  it.each([
    [true, 'inc-1.0'],
    [false, ''],
  ])(
    'names the backend instance that crashed (%s)',
    async (hasEnded, crashedLife) => {
      hasCrashed.value = hasEnded;
      const engine = new ScriptedEngine();
      const failure = makeFailure('backendFailed');
      engine.scripts.push([{kind: 'failed', failure}]);
      const {dispatcher} = makeFixture(engine);
      const stream = new FakeStream();
      dispatcher.offer(makeRequest('a'), stream);
      await settle();
      hasCrashed.value = false;
      expect(stream.frames.at(-1)?.failed).toMatchObject({crashedLife});
    },
  );
});

describe('an attempt whose stream is lost', () => {
  // The router's stream breaks in the middle of an answer. The run must
  // continue for a grace period, in which the router can resume on a new
  // stream. If none comes, the run is cancelled.
  it('keeps running for the grace period and no longer', async () => {
    let finishRun = (): void => {};
    const engine = new EchoEngine();
    engine.gate = new Promise(resolve => (finishRun = resolve));
    const {dispatcher, clock} = makeFixture(engine);
    const first = new FakeStream();
    const session = dispatcher.offer(makeRequest('a'), first);
    await settle();
    dispatcher.streamClosed(session!, first);
    expect(engine.cancelled).toEqual([]);
    const second = new FakeStream();
    dispatcher.offer(makeRequest('a', {resumeFrom: 5}), second);
    clock.time = SETTINGS.detachGraceMs;
    dispatcher.tick(clock.time);
    expect(engine.cancelled).toEqual([]);
    dispatcher.streamClosed(session!, second);
    clock.time += SETTINGS.detachGraceMs;
    dispatcher.tick(clock.time);
    expect(engine.cancelled).toEqual(['a']);
    finishRun();
    await settle();
    expect(dispatcher.idle).toBe(true);
  });

  // The answer is complete, but its end frame was lost with the stream.
  it('resends the end of a finished answer', async () => {
    const {dispatcher} = makeFixture(new EchoEngine());
    const first = new FakeStream();
    dispatcher.offer(makeRequest('a'), first);
    await settle();
    expect(first.ended).toBe(true);
    const second = new FakeStream();
    dispatcher.offer(makeRequest('a', {resumeFrom: 5}), second);
    expect(joinChunks(second.frames)).toBe('56789');
    expect(second.frames.at(-1)?.end?.totalBytes).toBe(10);
  });
});

describe('draining', () => {
  // The engine has finished, but the router is still reading. If the drain
  // counted as complete, the process would stop and truncate the answer.
  it('is not complete while an answer is still being sent', async () => {
    const {dispatcher, gate} = makeFixture(new EchoEngine());
    const stream = new FakeStream();
    stream.isWritable = false;
    const session = dispatcher.offer(makeRequest('a'), stream);
    await settle();
    expect(gate.idle).toBe(true);
    expect(dispatcher.idle).toBe(false);
    stream.isWritable = true;
    session!.onDrain(stream);
    expect(joinChunks(stream.frames)).toBe('0123456789');
    expect(dispatcher.idle).toBe(true);
  });
});

describe('complete answers', () => {
  // The engine's stream breaks after five bytes, but the engine still holds the
  // generation. It resumes there, and the caller gets one contiguous answer.
  it('resumes a generation that the engine still holds', async () => {
    const engine = new ScriptedEngine();
    const failure = makeFailure('backendFailed');
    engine.scripts.push([data(0, '01234'), {kind: 'failed', failure}]);
    engine.scripts.push([data(5, '56789'), end(10)]);
    const {dispatcher} = makeFixture(engine);
    const stream = new FakeStream();
    dispatcher.offer(makeRequest('a'), stream);
    await settle();
    expect(engine.resumes).toEqual([0, 5]);
    expect(joinChunks(stream.frames)).toBe('0123456789');
    expect(stream.frames.at(-1)?.end?.totalBytes).toBe(10);
  });

  // Bytes arrive at a wrong offset, or fewer than the end frame states. Such an
  // answer must not be reported as complete.
  it.each([
    ['a gap', [data(0, '01'), data(4, '45'), end(6)]],
    ['a doubled piece', [data(0, '01'), data(0, '01'), end(4)]],
    ['a truncated answer', [data(0, '01'), end(4)]],
    ['no end', [data(0, '01')]],
  ])('never passes on %s as whole', async (_name, script) => {
    const engine = new ScriptedEngine();
    engine.scripts.push(script, script, script);
    const {dispatcher, gate} = makeFixture(engine);
    const stream = new FakeStream();
    dispatcher.offer(makeRequest('a'), stream);
    await settle();
    const last = stream.frames.at(-1);
    expect(last?.failed?.errorKind).toBe('answerTruncated');
    expect(gate.idle).toBe(true);
  });

  // The router reads nothing. Reading the engine without a limit would let a
  // few slow readers exhaust the memory of the sidecar.
  it('reads the engine no faster than the router reads', async () => {
    const engine = new ScriptedEngine();
    const kilobyte = 'x'.repeat(1_024);
    const pieces = Array.from({length: 1_000}, (_, index) =>
      data(index * 1_024, kilobyte),
    );
    engine.scripts.push([...pieces, end(1_024_000)]);
    const {dispatcher} = makeFixture(engine);
    const stream = new FakeStream();
    stream.isWritable = false;
    const session = dispatcher.offer(makeRequest('a'), stream);
    for (let turn = 0; turn < 40; turn += 1) await settle();
    expect(engine.eventsRead).toBeLessThan(80);
    expect(dispatcher.idle).toBe(false);
    stream.isWritable = true;
    session!.onDrain(stream);
    for (let turn = 0; turn < 100; turn += 1) await settle();
    expect(stream.frames.at(-1)?.end?.totalBytes).toBe(1_024_000);
    expect(dispatcher.idle).toBe(true);
  });
});
