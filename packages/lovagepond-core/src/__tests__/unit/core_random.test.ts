import {expect, test} from 'vitest';
import {Random} from '../../core_random.js';

// A thousand routers start in one second with seeds from the clock. When their
// first draws agree, all of them retry, probe or pick a member together.
test('first draws of neighbouring seeds are spread', () => {
  const buckets = new Array<number>(10).fill(0);
  for (let seed = 0; seed < 1_000; seed += 1) {
    const bucket = new Random(1_790_000_000 + seed).below(10);
    buckets[bucket] = (buckets[bucket] ?? 0) + 1;
  }
  expect(Math.max(...buckets)).toBeLessThan(150);
  expect(Math.min(...buckets)).toBeGreaterThan(50);
});
