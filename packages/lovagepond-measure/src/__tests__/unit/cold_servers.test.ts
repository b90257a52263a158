import {loadKeyHasher} from '@lovagepond/router';
import {expect, test} from 'vitest';
import {GatewaySimulation} from '../../gateway_simulation.js';
import {zonesThatReturn} from '../../gateway_simulation_loads.js';
import {type GatewaySimulationResult} from '../../gateway_simulation_statistics.js';
import {type GatewayVariant} from '../../gateway_simulation_types.js';

const hasher = await loadKeyHasher();

const MOST_PER_SECOND = 21;
const RETURN = {
  kind: 'coldReturn',
  atMs: 4_000,
  zone: 0,
  downMs: 2_000,
  coldMs: 3_000,
} as const;

function simulate(
  gateways: number,
  clump: number,
  seed: number,
  variant: Partial<GatewayVariant> = {},
): GatewaySimulationResult {
  const settings = {
    load: zonesThatReturn(gateways, 24, clump),
    variant: {name: 'baseline', ...variant},
    disturbances: [RETURN],
    seed,
    endMs: 9_000,
  };
  return new GatewaySimulation(settings, hasher).run();
}

// Guards against gateways that each see room for a request at the same cold
// server, however many requests wait and whatever they wait for.
test('cold servers stay within their limit however many gateways send', () => {
  const variant = {connectShare: 0.3, connectMs: 400, datagramLoss: 0.03};
  for (const gateways of [3, 10, 30]) {
    for (const clump of [1, 15]) {
      const {coldMost} = simulate(gateways, clump, 81, variant);
      const over = Math.max(0, coldMost - MOST_PER_SECOND);
      expect({gateways, clump, over}).toMatchObject({over: 0});
    }
  }
}, 60_000);

// Guards against a limit that is divided so finely that most of it is unused.
test('a cold zone that is wanted gets at least half of its limit', () => {
  for (const gateways of [3, 10, 30]) {
    const {coldMost, coldPerSecond} = simulate(gateways, 3, 82);
    expect(coldMost).toBeLessThanOrEqual(MOST_PER_SECOND);
    expect(coldPerSecond).toBeGreaterThanOrEqual(MOST_PER_SECOND / 2);
  }
}, 60_000);
