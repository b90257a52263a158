import {expect, test} from 'vitest';
import {Random} from '../../core_random.js';

// Guards against synchronized processes: a thousand routers that start within
// one second get neighbouring seeds from the clock. With equal first draws, all
// of them would retry, probe or pick a member at the same time.
test('first draws of neighbouring seeds are spread', () => {
  const buckets = new Array<number>(10).fill(0);
  for (let seed = 0; seed < 1_000; seed += 1) {
    const bucket = new Random(1_790_000_000 + seed).below(10);
    buckets[bucket] = (buckets[bucket] ?? 0) + 1;
  }
  expect(Math.max(...buckets)).toBeLessThan(150);
  expect(Math.min(...buckets)).toBeGreaterThan(50);
});
