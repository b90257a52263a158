import {type Clock, type DrainResult, type Role} from '@lovagepond/core';
import {expect, it} from 'vitest';
import {MetricsRegistry, ProcessRunner, RoarrLogger} from '../../index.js';

const LIMIT_MS = 100;

interface Run {
  readonly exitCode: number;
  readonly lines: readonly (readonly [string, object])[];
}

/**
 * Runs a role whose drain takes the given time by the process's clock.
 *
 * @param tookMs duration of the drain, milliseconds
 * @param result how the drain ends
 */
async function runDrain(tookMs: number, result: DrainResult): Promise<Run> {
  let now = 0;
  const clock: Clock = {now: () => now, wallTime: () => now};
  const lines: [string, object][] = [];
  const role: Role = {
    start: () => Promise.resolve(),
    isReady: () => true,
    drain: () => {
      now += tookMs;
      return Promise.resolve(result);
    },
    stop: () => Promise.resolve(),
    dump: () => ({version: 1, role: 'r', state: {}}),
  };
  const settings = {
    address: {host: '127.0.0.1', port: 0},
    dataFolder: '',
    announceDelayMs: 0,
    drainLimitMs: LIMIT_MS,
  };
  const runner = new ProcessRunner(settings, {
    role,
    clock,
    log: new RoarrLogger('info', {}, (_level, fields, message) => {
      lines.push([message, fields]);
    }),
    metrics: new MetricsRegistry(),
    reload: () => undefined,
  });
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
