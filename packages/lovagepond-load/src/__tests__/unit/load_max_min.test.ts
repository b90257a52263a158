import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {maxMinLevel, type WeightedDemand} from '../../load_max_min.js';

const demand = fc.record({
  offered: fc.double({min: 0, max: 1e6, noNaN: true}),
  weight: fc.double({min: 0.01, max: 100, noNaN: true}),
});
const demands = fc.array(demand, {minLength: 1, maxLength: 40});
const capacity = fc.double({min: 0, max: 1e7, noNaN: true});

function allocate(
  parties: readonly WeightedDemand[],
  total: number,
): readonly number[] {
  const level = maxMinLevel(parties, total);
  return parties.map(({offered, weight}) =>
    level === Infinity ? offered : Math.min(offered, level * weight),
  );
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

describe('maxMinLevel', () => {
  // Guards against capacity that stays idle while work waits, and against
  // shares that add up to more than there is.
  it('gives out the smaller of the capacity and the demand', () => {
    fc.assert(
      fc.property(demands, capacity, (parties, total) => {
        const given = sumOf(allocate(parties, total));
        const wanted = sumOf(parties.map(({offered}) => offered));
        const expected = Math.min(wanted, total);
        expect(Math.abs(given - expected)).toBeLessThan(1e-6 * (1 + expected));
      }),
    );
  });

  // The configuration allows any weight above 0. Beside a very large one, the
  // small ones were lost in rounding, and nothing was limited.
  it('limits small weights beside a very large one', () => {
    const parties = [
      {offered: 10, weight: 1e17},
      {offered: 100, weight: 1},
      {offered: 100, weight: 1},
    ];
    expect(allocate(parties, 50)).toEqual([10, 20, 20]);
  });

  // Guards against a workspace that loses capacity when others become fewer or
  // when servers are added.
  it('takes from nobody when there is more capacity', () => {
    fc.assert(
      fc.property(demands, capacity, capacity, (parties, one, other) => {
        const [less, more] = [Math.min(one, other), Math.max(one, other)];
        const before = allocate(parties, less);
        const after = allocate(parties, more);
        after.forEach((given, at) => {
          expect(given).toBeGreaterThanOrEqual(
            (before[at] ?? 0) * (1 - 1e-9) - 1e-9,
          );
        });
      }),
    );
  });

  it('takes from the others when one of them wants more', () => {
    fc.assert(
      fc.property(demands, capacity, fc.nat(1e6), (parties, total, extra) => {
        const [first, ...rest] = parties;
        if (!first) return;
        const larger = {...first, offered: first.offered + extra};
        const before = allocate(parties, total);
        const after = allocate([larger, ...rest], total);
        after.slice(1).forEach((given, at) => {
          expect(given).toBeLessThanOrEqual(
            (before[at + 1] ?? 0) * (1 + 1e-9) + 1e-9,
          );
        });
      }),
    );
  });

  // Guards against a large workspace that gets more per weight than one whose
  // demand isn't satisfied.
  it('gives unsatisfied parties the same per weight, the others less', () => {
    fc.assert(
      fc.property(demands, capacity, (parties, total) => {
        const level = maxMinLevel(parties, total);
        allocate(parties, total).forEach((given, at) => {
          const {offered = 0, weight = 1} = parties[at] ?? {};
          if (given < offered) expect(given / weight).toBeCloseTo(level, 6);
          else expect(given / weight).toBeLessThanOrEqual(level * (1 + 1e-9));
        });
      }),
    );
  });

  it('does not depend on the units of work and weight', () => {
    const factor = fc.double({min: 0.001, max: 1_000, noNaN: true});
    fc.assert(
      fc.property(demands, capacity, factor, factor, (parties, total, a, b) => {
        const scaled = parties.map(({offered, weight}) => ({
          offered: offered * a,
          weight: weight * b,
        }));
        const given = allocate(parties, total);
        allocate(scaled, total * a).forEach((one, at) => {
          const expected = (given[at] ?? 0) * a;
          expect(Math.abs(one - expected)).toBeLessThan(
            1e-6 * (1 + expected + total * a * 1e-3),
          );
        });
      }),
    );
  });
});
