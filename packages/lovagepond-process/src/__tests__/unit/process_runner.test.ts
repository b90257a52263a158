import {type Clock, type DrainResult, type Role} from '@lovagepond/core';
import {expect, it} from 'vitest';
import {MetricsRegistry, ProcessRunner, RoarrLogger} from '../../index.js';

const LIMIT_MS = 100;

type Line = readonly [string, object];

interface Run {
  readonly exitCode: number;
  readonly lines: readonly Line[];
}

/** A runner whose signals come from the test. */
interface Runner {
  readonly runner: ProcessRunner;
  readonly lines: readonly Line[];
  readonly isRegistered: () => boolean;
}

const IDLE_ROLE: Role = {
  start: () => Promise.resolve(),
  isReady: () => true,
  drain: () => Promise.resolve({unfinished: 0}),
  stop: () => Promise.resolve(),
  dump: () => ({version: 1, role: 'r', state: {}}),
};

function makeRunner(role: Partial<Role>, now: () => number): Runner {
  const clock: Clock = {now, wallTime: now};
  const lines: Line[] = [];
  let isRegistered = false;
  const settings = {
    address: {host: '127.0.0.1', port: 0},
    dataFolder: '',
    announceDelayMs: 0,
    drainLimitMs: LIMIT_MS,
  };
  const runner = new ProcessRunner(settings, {
    role: {...IDLE_ROLE, ...role},
    clock,
    log: new RoarrLogger('info', {}, (_level, fields, message) => {
      lines.push([message, fields]);
    }),
    metrics: new MetricsRegistry(),
    reload: () => undefined,
    registerSignals: () => {
      isRegistered = true;
      return () => {
        isRegistered = false;
      };
    },
  });
  return {runner, lines, isRegistered: () => isRegistered};
}

/**
 * Runs a role whose drain takes the given time by the process's clock.
 *
 * @param tookMs duration of the drain, milliseconds
 * @param result how the drain ends
 */
async function runDrain(tookMs: number, result: DrainResult): Promise<Run> {
  let now = 0;
  const drain = (): Promise<DrainResult> => {
    now += tookMs;
    return Promise.resolve(result);
  };
  const {runner, lines} = makeRunner({drain}, () => now);
  const ended = runner.run();
  runner.handle('terminate');
  return {exitCode: await ended, lines};
}

// Guards against a drain that cuts answers and ends with 0, as timers fire up
// to a millisecond before the clock reaches their limit.
it.each([LIMIT_MS - 1, LIMIT_MS, LIMIT_MS + 1])(
  'reports unfinished requests after a drain of %i ms',
  async tookMs => {
    const {exitCode, lines} = await runDrain(tookMs, {unfinished: 2});
    expect(exitCode).toBe(5);
    const fields = {unfinished: 2, durationMs: tookMs};
    expect(lines).toContainEqual(['drain limit reached', fields]);
    expect(lines).not.toContainEqual(['drained', expect.anything()]);
  },
);

it.each([0, LIMIT_MS - 1, LIMIT_MS, LIMIT_MS + 1])(
  'reports a whole drain of %i ms',
  async tookMs => {
    const {exitCode, lines} = await runDrain(tookMs, {unfinished: 0});
    expect(exitCode).toBe(0);
    const fields = {unfinished: 0, durationMs: tookMs};
    expect(lines).toContainEqual(['drained', fields]);
    expect(lines).not.toContainEqual([
      'drain limit reached',
      expect.anything(),
    ]);
  },
);

// Guards against a role that listens after its drain and is stopped with the
// requests that it has taken since.
it('drains a role only once it has started', async () => {
  let finishStart = (): void => {};
  const started = new Promise<void>(resolve => (finishStart = resolve));
  let now = 0;
  const limits: number[] = [];
  const drain = (limitMs: number): Promise<DrainResult> => {
    limits.push(limitMs);
    return Promise.resolve({unfinished: 0});
  };
  const {runner, lines} = makeRunner({start: () => started, drain}, () => now);
  const ended = runner.run();
  runner.handle('terminate');
  const isAnnounced = (): boolean =>
    lines.some(([message]) => message === 'readiness withdrawn');
  await expect.poll(isAnnounced).toBe(true);
  await new Promise(resolve => setTimeout(resolve, 20));
  expect(limits).toEqual([]);
  now = 30;
  finishStart();
  expect(await ended).toBe(0);
  expect(limits).toEqual([LIMIT_MS - 30]);
});

// Guards against the default action of a repeated SIGTERM, which kills a process
// that still stops or writes its log.
it('handles signals until the process exits', async () => {
  const seen: boolean[] = [];
  const stop = (): Promise<void> => {
    seen.push(isRegistered());
    return Promise.resolve();
  };
  const {runner, isRegistered} = makeRunner({stop}, () => 0);
  const ended = runner.run();
  runner.handle('terminate');
  await ended;
  expect([...seen, isRegistered()]).toEqual([true, true]);
});

it('leaves signals to their default action when the start fails', async () => {
  const start = (): Promise<void> => Promise.reject(new Error('in use'));
  const {runner, isRegistered} = makeRunner({start}, () => 0);
  await expect(runner.run()).rejects.toThrow('in use');
  expect(isRegistered()).toBe(false);
});

// Guards against a line that reports a whole drain after a forced end.
it('does not report a drain that a forced end has cut', async () => {
  let finishDrain = (_result: DrainResult): void => {};
  const drained = new Promise<DrainResult>(resolve => (finishDrain = resolve));
  const stop = (): Promise<void> => {
    finishDrain({unfinished: 0});
    return Promise.resolve();
  };
  const {runner, lines} = makeRunner({drain: () => drained, stop}, () => 0);
  const ended = runner.run();
  runner.handle('interrupt');
  const messages = (): string[] => lines.map(([message]) => message);
  await expect.poll(messages).toContain('draining');
  runner.handle('interrupt');
  expect(await ended).toBe(6);
  expect(messages()).not.toContain('drained');
});
