import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type DemandSums} from '../../load_demand.js';
import {WorkspaceShares} from '../../load_workspace_shares.js';

const NAMES = ['a', 'b', 'c', 'd'];

function sumsOf(
  offered: Record<string, number>,
  rest: Partial<DemandSums> = {},
): DemandSums {
  return {
    servedMsPerS: 0,
    gateways: 1,
    offered: new Map(Object.entries(offered)),
    unlistedMsPerS: 0,
    unlistedWorkspaces: 0,
    ...rest,
  };
}

function sharesOf(
  own: Record<string, number>,
  servedMsPerS: number,
  others: DemandSums,
  weights: Record<string, number> = {},
): WorkspaceShares {
  const shares = new WorkspaceShares();
  shares.useWeights(new Map(Object.entries(weights)));
  shares.useOwn({servedMsPerS, offered: new Map(Object.entries(own))}, 0);
  shares.useOthers(others, 0);
  return shares;
}

/** Each gateway's offered work of each workspace. */
const fleets = fc.array(
  fc.array(fc.integer({min: 0, max: 10_000}), {
    minLength: NAMES.length,
    maxLength: NAMES.length,
  }),
  {minLength: 1, maxLength: 8},
);

/** @returns the shares of each gateway, as if control had sent the sums */
function computeFleet(
  fleet: readonly (readonly number[])[],
  capacity: number,
  weights: Record<string, number> = {},
): readonly WorkspaceShares[] {
  return fleet.map((own, gateway) => {
    const others = NAMES.map((name, at) => {
      const rest = fleet.filter((_, index) => index !== gateway);
      const sum = rest.reduce((all, one) => all + (one[at] ?? 0), 0);
      return [name, sum] as const;
    }).filter(([, sum]) => sum > 0);
    const servedMsPerS = capacity / fleet.length;
    const sums = sumsOf(Object.fromEntries(others), {
      gateways: fleet.length - 1,
      servedMsPerS: capacity - servedMsPerS,
    });
    const offered = NAMES.map((name, at) => [name, own[at] ?? 0] as const);
    const ownDemand = Object.fromEntries(offered.filter(([, one]) => one > 0));
    return sharesOf(ownDemand, servedMsPerS, sums, weights);
  });
}

describe('WorkspaceShares', () => {
  it('divides all capacity over all gateways, by weight', () => {
    const capacities = fc.integer({min: 1, max: 100_000});
    const weight = fc.integer({min: 1, max: 9});
    fc.assert(
      fc.property(fleets, capacities, weight, (fleet, capacity, a) => {
        const all = computeFleet(fleet, capacity, {a});
        const given = NAMES.map(name =>
          all.reduce((sum, shares) => sum + shares.ownShareOf(name), 0),
        );
        const wanted = NAMES.map((_, at) =>
          fleet.reduce((sum, own) => sum + (own[at] ?? 0), 0),
        );
        const sum = given.reduce((total, one) => total + one, 0);
        const offered = wanted.reduce((total, one) => total + one, 0);
        expect(sum).toBeCloseTo(Math.min(offered, capacity), 3);
        const [first = 0, second = 0] = given;
        const isLimited =
          first < (wanted[0] ?? 0) - 1e-3 && second < (wanted[1] ?? 0) - 1e-3;
        if (isLimited) expect(first / a).toBeCloseTo(second, 3);
      }),
    );
  });

  // The gateways' weights must not shift capacity that nobody uses there.
  it('weighs gateways by their shares, and no gateway out of its range', () => {
    const capacities = fc.integer({min: 1, max: 100_000});
    fc.assert(
      fc.property(fleets, capacities, (fleet, capacity) => {
        const all = computeFleet(fleet, capacity);
        const sums = all.map(shares =>
          NAMES.reduce((sum, name) => sum + shares.ownShareOf(name), 0),
        );
        const mean = sums.reduce((a, b) => a + b, 0) / all.length;
        all.forEach(({gatewayWeight}, at) => {
          expect(gatewayWeight).toBeGreaterThanOrEqual(1 / 8);
          expect(gatewayWeight).toBeLessThanOrEqual(8);
          if (mean === 0) return;
          const relative = (sums[at] ?? 0) / mean;
          const limited = Math.min(8, Math.max(1 / 8, relative));
          expect(gatewayWeight).toBeCloseTo(limited, 6);
        });
      }),
    );
  });

  it('never gives a workspace a weight of 0', () => {
    const capacities = fc.integer({min: 1, max: 100_000});
    fc.assert(
      fc.property(fleets, capacities, (fleet, capacity) => {
        for (const shares of computeFleet(fleet, capacity)) {
          for (const name of [...NAMES, 'new', '']) {
            expect(shares.weightOf(name)).toBeGreaterThan(0);
          }
        }
      }),
    );
  });

  // A workspace below its level must not wait behind larger ones: its part of
  // the weights has to cover its demand.
  it('lets a workspace below its level send all it offers', () => {
    const own = {small: 100, large: 2_000};
    const others = sumsOf(
      {small: 300, large: 6_000},
      {gateways: 3, servedMsPerS: 1_500},
    );
    const shares = sharesOf(own, 500, others);
    expect(shares.ownShareOf('small')).toBe(100);
    expect(shares.ownShareOf('large')).toBeCloseTo(400);
    const part =
      shares.weightOf('small') /
      (shares.weightOf('small') + shares.weightOf('large'));
    expect(part * 500).toBeGreaterThanOrEqual(100);
  });

  // The callers of one workspace are all at this gateway, those of the other
  // one at all of five gateways. Both have the same weight.
  it('weighs a workspace by its part at this gateway', () => {
    const others = sumsOf({spread: 4_000}, {gateways: 4, servedMsPerS: 800});
    const shares = sharesOf({here: 5_000, spread: 1_000}, 200, others);
    expect(shares.ownShareOf('here')).toBeCloseTo(500);
    expect(shares.ownShareOf('spread')).toBeCloseTo(100);
    expect(shares.weightOf('here') / shares.weightOf('spread')).toBeCloseTo(5);
    expect(shares.gatewayWeight).toBeCloseTo(3);
  });

  it('uses the configured weights without sums, and after 3 s', () => {
    const shares = new WorkspaceShares();
    shares.useWeights(new Map([['a', 3]]));
    const own = {servedMsPerS: 100, offered: new Map([['a', 500]])};
    const expectConfigured = (): void => {
      expect(shares.weightOf('a')).toBe(3);
      expect(shares.weightOf('b')).toBe(1);
      expect(shares.gatewayWeight).toBe(1);
    };
    shares.useOwn(own, 0);
    expectConfigured();
    const others = sumsOf({a: 500, b: 9_000}, {servedMsPerS: 900, gateways: 2});
    shares.useOthers(others, 0);
    expect(shares.weightOf('a')).toBe(4.5);
    expect(shares.gatewayWeight).not.toBe(1);
    shares.useOwn(own, 3_000);
    expect(shares.weightOf('a')).toBe(4.5);
    shares.useOwn(own, 3_001);
    expectConfigured();
    shares.useOthers(others, 4_000);
    shares.clear();
    expectConfigured();
  });

  // Just after a surge began, nothing was sent in the last second. A level of 0
  // would make all shares 0.
  it('divides nothing while no capacity is known', () => {
    const shares = sharesOf({a: 100}, 0, sumsOf({a: 100, b: 300}));
    expect(shares.ownShareOf('a')).toBe(100);
    expect(shares.gatewayWeight).toBe(1);
  });

  // With 480 workspaces a digest lists 32. If the others didn't count, the
  // level would exceed the demand of each listed one.
  it('counts the workspaces that a digest does not list', () => {
    const listed = Object.fromEntries(
      Array.from({length: 32}, (_, at) => [`w-${at}`, 30]),
    );
    const others = sumsOf(listed, {
      servedMsPerS: 4_800,
      unlistedMsPerS: 448 * 30,
      unlistedWorkspaces: 448,
    });
    const shares = sharesOf({'w-0': 1, unlisted: 1}, 0, others);
    expect(shares.describe(1).levelMsPerS).toBe(10);
    expect(shares.ownShareOf('w-0')).toBeCloseTo(10 / 31);
    expect(shares.ownShareOf('unlisted')).toBeCloseTo(1 / 3);
    expect(shares.weightOf('unlisted')).toBe(1);
  });

  // Control lists the smaller workspaces in turn.
  it('remembers a workspace that earlier digests listed', () => {
    const others = (name: string): DemandSums =>
      sumsOf(
        {large: 1_000, [name]: 20},
        {servedMsPerS: 500, unlistedMsPerS: 20, unlistedWorkspaces: 1},
      );
    const own = {
      servedMsPerS: 0,
      offered: new Map([
        ['a', 20],
        ['b', 20],
      ]),
    };
    const shares = new WorkspaceShares();
    shares.useOwn(own, 0);
    shares.useOthers(others('a'), 0);
    expect(shares.weightOf('b')).toBe(1);
    shares.useOthers(others('b'), 500);
    expect(shares.weightOf('a')).toBe(1);
    expect(shares.weightOf('b')).toBe(1);
    expect(shares.describe(9).workspaces).toHaveLength(3);
    shares.useOthers(others('b'), 6_400);
    expect(shares.describe(9).workspaces).toMatchObject([
      {workspace: 'large'},
      {workspace: 'b', offeredMsPerS: 40},
      {workspace: 'a', offeredMsPerS: 20},
    ]);
  });

  // The callers of a gateway that died have moved here. If their former demand
  // was remembered, they would count twice.
  it('forgets a workspace that a complete digest does not list', () => {
    const others = sumsOf({a: 50, b: 50}, {servedMsPerS: 90});
    const shares = sharesOf({a: 50, b: 50}, 10, others);
    expect(shares.weightOf('a')).toBe(1);
    shares.useOthers(sumsOf({b: 50}, {servedMsPerS: 90}), 500);
    expect(shares.weightOf('a')).toBe(2);
    expect(shares.weightOf('b')).toBe(1);
  });

  it('ignores configured weights that make no order', () => {
    const weights = {a: 0, b: -1, c: NaN, d: Infinity};
    const shares = sharesOf({a: 9, b: 9}, 1, sumsOf({c: 9, d: 9}), weights);
    for (const name of NAMES) expect(shares.weightOf(name)).toBeGreaterThan(0);
    expect(shares.describe(9).levelMsPerS).toBeLessThan(1);
  });
});
