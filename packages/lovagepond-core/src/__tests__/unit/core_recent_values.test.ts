import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RECENT_MS, RecentValues} from '../../core_recent_values.js';

describe('RecentValues', () => {
  it('agrees with a list of all values', () => {
    const steps = fc.array(
      fc.tuple(
        fc.integer({min: 0, max: 70_000}),
        fc.integer({min: 0, max: 100}),
      ),
    );
    fc.assert(
      fc.property(steps, list => {
        const recent = new RecentValues(2);
        const all: (readonly [at: number, value: number])[] = [];
        let now = 0;
        for (const [laterMs, value] of list) {
          now += laterMs;
          recent.note([value, 100 - value], now, now);
          all.push([now, value]);
          const within = (ms: number): number[] =>
            all.filter(([at]) => now - at <= ms).map(([, one]) => one);
          const certain = within(RECENT_MS);
          const possible = within(RECENT_MS + 15_000);
          const {largest, usual} = recent.field(0, now);
          expect(largest).toBeGreaterThanOrEqual(Math.max(...certain));
          expect(largest).toBeLessThanOrEqual(Math.max(...possible));
          expect(100 - recent.field(1, now).largest).toBeLessThanOrEqual(
            Math.min(...certain),
          );
          expect(usual).toBeLessThanOrEqual(largest);
          expect(usual).toBeGreaterThanOrEqual(Math.min(...possible));
          expect(recent.count(now)).toBeGreaterThanOrEqual(certain.length);
          expect(recent.count(now)).toBeLessThanOrEqual(possible.length);
        }
      }),
    );
  });
});
