import {loadKeyHasher} from '@lovagepond/router';
import {expect, test} from 'vitest';
import {GatewaySimulation} from '../../gateway_simulation.js';
import {popularPrompts} from '../../gateway_simulation_loads.js';
import {type GatewaySimulationResult} from '../../gateway_simulation_statistics.js';
import {LoadBoundStatistics} from '../../load_bound_statistics.js';

const hasher = await loadKeyHasher();

function simulate(gateways: number, seed: number): GatewaySimulationResult {
  const settings = {
    load: popularPrompts(gateways, 4),
    variant: {name: 'baseline'},
    disturbances: [],
    seed,
    endMs: 20_000,
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
