import {beforeEach, describe, expect, it} from 'vitest';
import {
  Lifecycle,
  type LogLevel,
  MetricsRegistry,
  PlatformServer,
  renderDump,
  RoarrLogger,
} from '../../index.js';

describe('lifecycle', () => {
  it('withdraws readiness, drains, and then ends', () => {
    const lifecycle = new Lifecycle({
      announceDelayMs: 500,
      drainLimitMs: 9_000,
    });
    expect(lifecycle.handle('terminate')).toEqual([
      {kind: 'withdrawReadiness', delayMs: 500},
    ]);
    expect(lifecycle.isRunning).toBe(false);
    expect(lifecycle.handle('delayOver')).toEqual([
      {kind: 'drain', limitMs: 9_000},
    ]);
    expect(lifecycle.handle('dump')).toEqual([{kind: 'dump'}]);
    expect(lifecycle.handle('drained')).toEqual([{kind: 'end', exitCode: 0}]);
  });

  it('reports a reached drain limit by its exit code', () => {
    const slow = new Lifecycle({announceDelayMs: 0, drainLimitMs: 100});
    slow.handle('terminate');
    slow.handle('delayOver');
    expect(slow.handle('drainLimitReached')).toEqual([
      {kind: 'end', exitCode: 5},
    ]);
  });
});

describe('repeated signals', () => {
  const IGNORED = {kind: 'ignore', event: 'terminate'};
  let lifecycle: Lifecycle;

  beforeEach(() => {
    lifecycle = new Lifecycle({announceDelayMs: 0, drainLimitMs: 100});
  });

  // Guards against answers that are cut by a supervisor or a script that sends
  // SIGTERM again, or that sends it to the process and to its group.
  it('never shortens a graceful shutdown on SIGTERM', () => {
    lifecycle.handle('terminate');
    expect(lifecycle.handle('terminate')).toEqual([IGNORED]);
    expect(lifecycle.handle('delayOver')).toEqual([
      {kind: 'drain', limitMs: 100},
    ]);
    expect(lifecycle.handle('terminate')).toEqual([IGNORED]);
    expect(lifecycle.handle('interrupt')).toEqual([
      {kind: 'ignore', event: 'interrupt'},
    ]);
    expect(lifecycle.handle('terminate')).toEqual([IGNORED]);
    expect(lifecycle.handle('drained')).toEqual([{kind: 'end', exitCode: 0}]);
    expect(lifecycle.handle('terminate')).toEqual([IGNORED]);
  });

  it('ends at once on the second SIGINT, and reports it', () => {
    expect(lifecycle.handle('interrupt')).toEqual([
      {kind: 'withdrawReadiness', delayMs: 0},
    ]);
    expect(lifecycle.handle('interrupt')).toEqual([{kind: 'end', exitCode: 6}]);
    expect(lifecycle.handle('drained')).toEqual([]);
  });

  it('ends on the second SIGINT also after SIGTERM', () => {
    lifecycle.handle('terminate');
    lifecycle.handle('delayOver');
    lifecycle.handle('interrupt');
    expect(lifecycle.handle('interrupt')).toEqual([{kind: 'end', exitCode: 6}]);
  });

  // Guards against a stop that hangs and that only SIGKILL could end.
  it('exits without waiting on a SIGINT after the forced end', () => {
    lifecycle.handle('interrupt');
    lifecycle.handle('interrupt');
    expect(lifecycle.handle('interrupt')).toEqual([
      {kind: 'exit', exitCode: 6},
    ]);
  });

  it('ignores a reload while the process stops', () => {
    lifecycle.handle('terminate');
    expect(lifecycle.handle('reload')).toEqual([
      {kind: 'ignore', event: 'reload'},
    ]);
  });
});

// Guards against a failed drain that looks like a complete one to the service
// manager.
it('reports a failed drain by its exit code', () => {
  const lifecycle = new Lifecycle({announceDelayMs: 0, drainLimitMs: 100});
  lifecycle.handle('terminate');
  lifecycle.handle('delayOver');
  const actions = lifecycle.handle('drainFailed');
  expect(actions).toEqual([{kind: 'end', exitCode: 1}]);
  expect(lifecycle.handle('drained')).toEqual([]);
});

describe('state dump', () => {
  it('redacts secrets, keeps token counts, and counts omitted items', () => {
    const state = {
      adminToken: 'x1',
      runningTokens: 7,
      nested: {password: 'x2', body: 'x3'},
      chats: new Map([['c', new Set([1])]]),
    };
    const text = renderDump({version: 1, role: 'router', state});
    expect(text).not.toMatch(/x[123]/);
    expect(JSON.parse(text)).toMatchObject({
      state: {runningTokens: 7, chats: {c: [1]}},
    });
    const chats = Array.from({length: 100_000}, (_, index) => ({index}));
    const long = renderDump({version: 1, role: 'r', state: {chats}}, 20_000);
    expect(Buffer.byteLength(long)).toBeLessThanOrEqual(20_000);
    expect(long).toContain('"omitted"');
  });
});

describe('logger', () => {
  it('drops lines below its level and adds its context', () => {
    const lines: [LogLevel, object, string][] = [];
    const log = new RoarrLogger('info', {role: 'router'}, (...line) => {
      lines.push(line);
    });
    log.debug('a');
    log.warn('b', {requestId: 'q1'});
    log.setLevel('debug');
    log.debug('c');
    expect(lines).toEqual([
      ['warn', {role: 'router', requestId: 'q1'}, 'b'],
      ['debug', {role: 'router'}, 'c'],
    ]);
  });
});

describe('platform server', () => {
  it('serves health, readiness, metrics and the dump', async () => {
    const metrics = new MetricsRegistry({role: 'router'});
    metrics.observe({
      kind: 'counter',
      name: 'lovagepond_x_total',
      help: 'help',
      labelNames: ['kind'],
      read: () => [{labels: {kind: 'k'}, value: 1}],
    });
    let refused = 3;
    metrics.observe({
      kind: 'counter',
      name: 'lovagepond_y_total',
      help: 'help',
      labelNames: [],
      read: () => [{labels: {}, value: refused}],
    });
    let ready = false;
    const server = new PlatformServer(
      {host: '127.0.0.1', port: 0},
      {isReady: () => ready, renderDump: () => '{"version":1}', metrics},
    );
    const {port} = await server.start();
    const get = async (path: string): Promise<[number, string]> => {
      const res = await fetch(`http://127.0.0.1:${port}${path}`);
      return [res.status, await res.text()];
    };
    expect(await get('/healthz')).toEqual([200, 'ok\n']);
    expect((await get('/readyz'))[0]).toBe(503);
    ready = true;
    expect((await get('/readyz'))[0]).toBe(200);
    expect((await get('/metrics'))[1]).toContain(
      'lovagepond_x_total{kind="k",role="router"} 1',
    );
    refused = 4;
    expect((await get('/metrics'))[1]).toContain(
      'lovagepond_y_total{role="router"} 4',
    );
    expect(await get('/dump')).toEqual([200, '{"version":1}']);
    expect((await get('/other'))[0]).toBe(404);
    await server.stop();
  });
});
