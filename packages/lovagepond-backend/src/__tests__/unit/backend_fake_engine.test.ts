import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {
  DEFAULT_FAKE_ENGINE_SETTINGS,
  FakeEngine,
  type FakeEngineOutput,
  type FakeEngineSettings,
  type FakeJob,
} from '../../index.js';
import {SEED} from './backend_test_utils.js';

function makeEngine(settings: Partial<FakeEngineSettings> = {}): FakeEngine {
  return new FakeEngine({...DEFAULT_FAKE_ENGINE_SETTINGS, ...settings});
}

function job(requestId: string, extra: Partial<FakeJob> = {}): FakeJob {
  const tokens = {promptTokens: 1_000, answerTokens: 10};
  const names = {workspace: 'shop', chat: requestId};
  return {requestId, ...names, ...tokens, priority: 5, ...extra};
}

function finishTimes(outputs: FakeEngineOutput[]): Record<string, number> {
  const finished = outputs.filter(output => output.kind === 'finished');
  return Object.fromEntries(finished.map(item => [item.requestId, item.at]));
}

test('answers a cached chat faster, without prefill of its prompt', () => {
  const engine = makeEngine();
  const prompt = {promptTokens: 8_000};
  engine.submit(job('a', {chat: 'c', ...prompt}), 0);
  const cold = finishTimes(engine.advance(60_000))['a']!;
  engine.submit(job('b', {chat: 'c', ...prompt}), 100_000);
  const warm = finishTimes(engine.advance(200_000))['b']! - 100_000;
  // Prefill of 8,000 tokens at 8,000 per second, compared with 10 decode steps
  // of 20 ms.
  expect(cold).toBeGreaterThan(1_000);
  expect(warm).toBeCloseTo(200, 0);
});

test('batches: ten requests at once take far less time than ten in sequence', () => {
  const engine = makeEngine();
  engine.submit(job('0', {promptTokens: 1}), 0);
  const alone = finishTimes(engine.advance(1e6))['0']!;
  for (let i = 1; i <= 10; i += 1) {
    engine.submit(job(String(i), {promptTokens: 1}), 1e6);
  }
  const last = Math.max(...Object.values(finishTimes(engine.advance(2e6))));
  expect(last - 1e6).toBeLessThan(2 * alone);
});

test('runs higher priorities first, and cancels waiting requests', () => {
  const engine = makeEngine({maxRequests: 1});
  engine.submit(job('running'), 0);
  engine.submit(job('low', {priority: 1}), 0);
  engine.submit(job('gone', {priority: 9}), 0);
  engine.submit(job('high', {priority: 8}), 0);
  expect(engine.cancel('gone', 0)).toBe(true);
  const order = Object.keys(finishTimes(engine.advance(1e6)));
  expect(order).toEqual(['running', 'high', 'low']);
  expect(engine.outstandingTokens).toBe(0);
});

test('evicts the least recently used chat, and publishes this with a delay', () => {
  const engine = makeEngine({cacheTokens: 2_500, cacheEventLagMs: 200});
  for (const chat of ['a', 'b']) engine.submit(job(chat), 0);
  engine.advance(10_000);
  engine.submit(job('a2', {chat: 'a'}), 10_000);
  engine.advance(20_000);
  engine.submit(job('c'), 20_000);
  const at = finishTimes(engine.advance(30_000))['c']!;
  const key = {workspace: 'shop', chat: 'b'};
  expect(engine.cachedTokens(key)).toBe(0);
  expect(engine.cachedTokens({...key, chat: 'a'})).toBe(1_010);
  expect(engine.cacheChangesAfter(3, at + 199)).toEqual([]);
  expect(engine.cacheChangesAfter(3, at + 200)).toEqual([
    {kind: 'evicted', sequence: 4, key},
    {kind: 'stored', sequence: 5, key: {...key, chat: 'c'}, tokens: 1_010},
  ]);
});

test('reports its load with a delay', () => {
  const engine = makeEngine({loadLagMs: 500});
  engine.submit(job('a', {promptTokens: 100_000}), 1_000);
  expect(engine.loadReport(1_400).runningTokens).toBe(0);
  expect(engine.loadReport(1_500).runningTokens).toBe(100_010);
  engine.setFaults({loadLagMs: 5_000});
  expect(engine.loadReport(1_500).runningTokens).toBe(0);
});

test('every request that is not cancelled finishes with all its tokens', () => {
  const command = fc.record({
    at: fc.integer({min: 0, max: 2_000}),
    chat: fc.integer({min: 0, max: 5}),
    promptTokens: fc.integer({min: 1, max: 3_000}),
    answerTokens: fc.integer({min: 1, max: 40}),
    priority: fc.integer({min: 0, max: 9}),
    cancelAfter: fc.option(fc.integer({min: 0, max: 500})),
  });
  const property = fc.property(fc.array(command, {maxLength: 30}), commands => {
    const engine = makeEngine({capacityTokens: 5_000, cacheTokens: 6_000});
    const tokens = new Map<string, number>();
    const finished = new Set<string>();
    const note = (outputs: FakeEngineOutput[]): void => {
      for (const item of outputs) {
        const count = tokens.get(item.requestId) ?? 0;
        if (item.kind === 'token') {
          expect(item.index).toBe(count);
          tokens.set(item.requestId, count + 1);
        }
        if (item.kind === 'finished') finished.add(item.requestId);
      }
    };
    let now = 0;
    const cancelled = new Set<string>();
    commands.forEach((item, index) => {
      now += item.at;
      note(engine.advance(now));
      note(
        engine.submit(job(`${index}`, {...item, chat: `${item.chat}`}), now),
      );
      if (item.cancelAfter === null) return;
      now += item.cancelAfter;
      note(engine.advance(now));
      if (engine.cancel(`${index}`, now)) cancelled.add(`${index}`);
    });
    note(engine.advance(now + 1e7));
    commands.forEach((item, index) => {
      if (cancelled.has(`${index}`)) return;
      expect(finished.has(`${index}`)).toBe(true);
      expect(tokens.get(`${index}`)).toBe(item.answerTokens);
    });
    expect(engine.outstandingTokens).toBe(0);
  });
  fc.assert(property, {seed: SEED, numRuns: 100});
});
