import fc from 'fast-check';
import {expect, it} from 'vitest';
import {type DemandEntry, sampleDemand} from '../../gateway_demand_sample.js';

const entries = fc
  .array(fc.integer({min: 1, max: 100_000}), {maxLength: 300})
  .map(values => values.map((value, at): DemandEntry => [`w${at}`, value]));
const phases = fc.integer({min: 0, max: 999}).map(one => one / 1_000);

function sumOf(list: readonly DemandEntry[]): number {
  return list.reduce((sum, [, msPerS]) => sum + msPerS, 0);
}

// Guards against work that is missing from the sums over all gateways, and
// against reports that grow with the number of workspaces.
it('a sample is bounded, keeps the sum and large workspaces', () => {
  fc.assert(
    fc.property(
      entries,
      fc.integer({min: 2, max: 64}),
      phases,
      (all, limit, phase) => {
        const sample = sampleDemand(all, limit, phase);
        expect(sample.length).toBeLessThanOrEqual(limit);
        expect(new Set(sample.map(([name]) => name)).size).toBe(sample.length);
        const sum = sumOf(all);
        // One entry more or less, depending on the phase.
        expect(Math.abs(sumOf(sample) - sum)).toBeLessThanOrEqual(
          sum / (limit - 1) + 1e-6,
        );
        const known = new Map(sample);
        for (const [name, msPerS] of all) {
          if (msPerS > sum / (limit - 1)) expect(known.get(name)).toBe(msPerS);
        }
      },
    ),
  );
});

it('each workspace has its demand as the mean over all phases', () => {
  const few = entries.map(list => list.slice(0, 40));
  fc.assert(
    fc.property(few, all => {
      const sums = new Map<string, number>();
      const rounds = 1_000;
      for (let at = 0; at < rounds; at += 1) {
        for (const [name, msPerS] of sampleDemand(
          all,
          8,
          (at + 0.5) / rounds,
        )) {
          sums.set(name, (sums.get(name) ?? 0) + msPerS);
        }
      }
      const tolerance = (2 * sumOf(all)) / rounds + 1e-6;
      for (const [name, msPerS] of all) {
        const mean = (sums.get(name) ?? 0) / rounds;
        expect(Math.abs(mean - msPerS)).toBeLessThanOrEqual(tolerance);
      }
    }),
    {numRuns: 30},
  );
});
