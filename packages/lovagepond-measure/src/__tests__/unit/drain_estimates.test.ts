import {expect, it} from 'vitest';
import {simulateDrains} from '../../drain_estimates_measure.js';
import {DRAIN_MIXES} from '../../drain_mixes.js';
import {type DrainResult, type DrainScenario} from '../../drain_simulation.js';

const DRAINS = 12;
const REPORTS = 'reports, even times';
const SHARED_ROUTE = 'short and long streams of a route';

function drains(
  mix: string,
  scenario: Omit<DrainScenario, 'name'>,
): (estimate: string) => DrainResult {
  const found = DRAIN_MIXES.find(({name}) => name === mix);
  const results = simulateDrains(found!, {name: mix, ...scenario}, DRAINS);
  return estimate => results.get(estimate)!;
}

function arrivals(result: DrainResult): number {
  const {ended, cut, refusedInVain, refusedRightly} = result;
  return ended + cut + refusedInVain + refusedRightly;
}

it('all estimates see the same requests', () => {
  const by = drains(REPORTS, {servedMs: 20_000});
  const decayed = by('decayed by route, x 1.5');
  const tokens = by('by pool and tokens');
  expect(arrivals(decayed)).toBeGreaterThan(100);
  expect(arrivals(tokens)).toBe(arrivals(decayed));
  expect(tokens.ended + tokens.refusedInVain + tokens.cut).toBeGreaterThan(
    tokens.refusedRightly,
  );
});

// Guards against streams that are admitted, by the durations of other streams,
// though the exit cuts them.
it.each([
  ['a process that has just started', {servedMs: 4_000}],
  ['renamed routes', {servedMs: 40_000, renamedMs: 2_000}],
])('no stream is cut: %s', (_, scenario) => {
  const by = drains(SHARED_ROUTE, scenario);
  expect(by('by pool and tokens').cut).toBe(0);
  expect(by('decayed by route, x 1.5').cut).toBeGreaterThan(0);
});

// Guards against requests that are cut because servers turned slower meanwhile.
it('no request is cut when servers turn half as fast', () => {
  const scenario = {servedMs: 60_000, slowerFromMs: 3_000, slowdown: 2};
  const by = drains(REPORTS, scenario);
  expect(by('by pool and tokens').cut).toBe(0);
});

// Guards against a gateway that serves no more while it drains than by
// requests' deadlines alone.
it('most requests that can end are admitted', () => {
  const by = drains(REPORTS, {servedMs: 60_000});
  const {ended, refusedInVain} = by('by pool and tokens');
  expect(ended).toBeGreaterThan(0.75 * (ended + refusedInVain));
  expect(ended).toBeGreaterThan(1.5 * by('deadline only').ended);
});
