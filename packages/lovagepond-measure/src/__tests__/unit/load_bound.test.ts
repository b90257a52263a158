import {loadKeyHasher} from '@lovagepond/router';
import {expect, test} from 'vitest';
import {GatewaySimulation} from '../../gateway_simulation.js';
import {popularPrompts} from '../../gateway_simulation_loads.js';
import {type GatewaySimulationResult} from '../../gateway_simulation_statistics.js';
import {type GatewaySimulationSettings} from '../../gateway_simulation_types.js';
import {LoadBoundStatistics} from '../../load_bound_statistics.js';

const hasher = await loadKeyHasher();

/** The rule's limit on the share of arrivals beyond the bound, percent. */
const MAX_OVER_PERCENT = 3;

function simulate(
  gateways: number,
  seed: number,
  changed: Partial<GatewaySimulationSettings> = {},
): GatewaySimulationResult {
  const settings = {
    load: popularPrompts(gateways, 4),
    variant: {name: 'baseline'},
    disturbances: [],
    seed,
    endMs: 20_000,
    ...changed,
  };
  return new GatewaySimulation(settings, hasher).run();
}

// Guards against a bound of the whole fleet that each gateway applies alone, to
// an old view.
test('engines stay within their load bound however many gateways send', () => {
  for (const gateways of [3, 10, 30]) {
    for (const seed of [51, 52]) {
      const {overBound, servedPercent} = simulate(gateways, seed);
      expect({gateways, seed, overBound}).toMatchObject({overBound: 0});
      expect(servedPercent).toBeGreaterThan(99);
    }
  }
}, 60_000);

// Guards against gateways without news that take the pool for idle, and either
// refuse its requests or overload a server.
test('a fleet without news from control serves its callers within the bound', () => {
  const silence = {kind: 'controlSilence', atMs: 4_000, forMs: 14_000} as const;
  for (const gateways of [3, 10, 30]) {
    const result = simulate(gateways, 53, {disturbances: [silence]});
    expect(result.servedPercent).toBeGreaterThan(99);
    expect(result.overBoundPercent).toBeLessThanOrEqual(MAX_OVER_PERCENT);
  }
}, 60_000);

// Guards against a limit that lags behind the mean while the load rises.
test('a sudden start of the load is not refused', () => {
  const {servedPercent} = simulate(30, 51, {endMs: 15_000});
  expect(servedPercent).toBeGreaterThan(99.9);
}, 60_000);

test('the bound holds while datagrams between gateways are lost', () => {
  const variant = {name: 'losses', datagramLoss: 0.05};
  const result = simulate(30, 54, {variant});
  expect(result.servedPercent).toBeGreaterThan(99);
  expect(result.overBoundPercent).toBeLessThanOrEqual(MAX_OVER_PERCENT);
}, 60_000);

test('the bound holds while engines join, crash and are replaced', () => {
  const disturbances = [
    {kind: 'scaleOut', atMs: 4_000, share: 0.3},
    {kind: 'release', atMs: 7_000, share: 0.3, gapMs: 500},
    {kind: 'burst', atMs: 12_000, times: 1.5, forMs: 4_000},
  ] as const;
  const result = simulate(30, 55, {disturbances});
  expect(result.servedPercent).toBeGreaterThan(99);
  expect(result.overBoundPercent).toBeLessThanOrEqual(MAX_OVER_PERCENT);
}, 60_000);

test('arrivals beyond the bound are counted by pool and window', () => {
  const statistics = new LoadBoundStatistics();
  const within = {pool: 'a', held: 7, mean: 2, loadBound: 2};
  const over = {...within, held: 8};
  for (let at = 0; at < 80; at += 1) statistics.record(within, at);
  for (let at = 80; at < 99; at += 1) statistics.record(over, at);
  expect(statistics.count).toBe(19);
  expect(statistics.worstPercent).toBe(0);
  statistics.record(over, 99);
  expect(statistics.worstPercent).toBeCloseTo(20);
  statistics.record({...within, pool: 'b'}, 6_000);
  expect(statistics.worstPercent).toBeCloseTo(20);
  expect(statistics.furthest).toBe(1);
});
