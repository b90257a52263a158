import {expect, test} from 'vitest';
import {takeInventory} from '../../context_inventory.js';
import {ReadingReportLog} from '../../reading_report_log.js';

const SERVERS = ['x', 'y', 'z'].map(name => ({name, address: `${name}:1`}));

// All processes were stopped and know nothing of what engines hold. One engine
// is down and one answers last: what the others say goes out as it comes.
test('tells what each engine holds, whatever the others do', async () => {
  const board = new ReadingReportLog();
  const warnings: unknown[] = [];
  const log = {
    debug: () => undefined,
    info: () => undefined,
    warn: (_text: string, facts?: object) => warnings.push(facts),
    error: () => undefined,
  };
  let answerLast = (_ids: readonly string[]): void => undefined;
  const inventory = takeInventory(SERVERS, {
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

// All hosts were stopped, and eighty engines hold hundreds of parts each. Told by
// all at once, the leader and each gateway's link were busy with them for as long
// as callers waited for the gateways' first answers.
test('asks only a few of many engines at once', async () => {
  const servers = Array.from({length: 80}, (_, at) => ({
    name: `engine-${at}`,
    address: `10.0.0.${at}:1`,
  }));
  let asked = 0;
  let most = 0;
  let told = 0;
  const silent = (): void => undefined;
  await takeInventory(servers, {
    log: {debug: silent, info: silent, warn: silent, error: silent},
    onReport: () => {
      told += 1;
    },
    readHeldContexts: async () => {
      asked += 1;
      most = Math.max(most, asked);
      await new Promise(resolve => setImmediate(resolve));
      asked -= 1;
      return ['a'];
    },
  });
  expect(told).toBe(80);
  expect(most).toBeLessThan(10);
});
