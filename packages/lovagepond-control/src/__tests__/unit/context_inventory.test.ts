import {ServerPauses} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {
  collectHeldContexts,
  PauseRequestedError,
} from '../../context_inventory.js';
import {ReadingReportLog} from '../../reading_report_log.js';

const clock = {now: () => 0, wallTime: () => 0};

const SERVERS = ['x', 'y', 'z'].map(name => ({name, address: `${name}:1`}));

// Guards against one engine delaying or losing the answers of the others. One
// engine refuses the query and another one answers last; each answer must be
// posted as soon as it arrives.
test('posts the contexts of each engine as it answers', async () => {
  const board = new ReadingReportLog();
  const warnings: unknown[] = [];
  const log = {
    debug: () => undefined,
    info: () => undefined,
    warn: (_text: string, facts?: object) => warnings.push(facts),
    error: () => undefined,
  };
  let answerLast = (_ids: readonly string[]): void => undefined;
  const inventory = collectHeldContexts(SERVERS, {
    clock,
    pauses: new ServerPauses(),
    log,
    onReport: report => {
      board.add(report);
    },
    readHeldContexts: address => {
      if (address === 'x:1') return Promise.resolve(['a', 'b']);
      if (address === 'y:1') return Promise.reject(new Error('refused'));
      return new Promise(resolve => {
        answerLast = resolve;
      });
    },
  });
  await new Promise(resolve => setImmediate(resolve));
  expect(board.since(0)).toHaveLength(1);
  expect(board.since(0)).toMatchObject([
    {readings: [{backendServer: 'x', prefix: '/a/b'}]},
  ]);
  answerLast(['c']);
  await inventory;
  const [history] = board.history();
  expect(history?.readings.map(reading => reading.prefix)).toEqual([
    ...['/a/b', '/c'],
  ]);
  expect(history?.readings.every(({tokens}) => tokens === 0)).toBe(true);
  expect(warnings).toEqual([{server: 'y', reason: 'refused'}]);
});

// Guards against overload after a restart of all hosts. If 80 engines returned
// hundreds of ids each at once, the leader and the gateways' links would be
// busy with them while callers wait for the gateways' first answers.
test('queries only a few of many engines concurrently', async () => {
  const servers = Array.from({length: 80}, (_, at) => ({
    name: `engine-${at}`,
    address: `10.0.0.${at}:1`,
  }));
  let active = 0;
  let maxActive = 0;
  let reportCount = 0;
  const ignore = (): void => undefined;
  await collectHeldContexts(servers, {
    clock,
    pauses: new ServerPauses(),
    log: {debug: ignore, info: ignore, warn: ignore, error: ignore},
    onReport: () => {
      reportCount += 1;
    },
    readHeldContexts: async () => {
      active += 1;
      maxActive = Math.max(maxActive, active);
      await new Promise(resolve => setImmediate(resolve));
      active -= 1;
      return ['a'];
    },
  });
  expect(reportCount).toBe(80);
  expect(maxActive).toBeLessThan(10);
});

// Guards against leaders in quick succession that query a server which sheds
// load.
test('queries no server within the pause that it asked for', async () => {
  const pauses = new ServerPauses();
  const queried: string[] = [];
  const ignore = (): void => undefined;
  for (const now of [0, 2_999, 3_000]) {
    await collectHeldContexts(SERVERS.slice(0, 1), {
      clock: {now: () => now, wallTime: () => now},
      pauses,
      log: {debug: ignore, info: ignore, warn: ignore, error: ignore},
      onReport: ignore,
      readHeldContexts: address => {
        queried.push(address);
        return Promise.reject(new PauseRequestedError(3_000));
      },
    });
  }
  expect(queried).toEqual(['x:1', 'x:1']);
});
