import {type KeyHasher, loadKeyHasher} from '@lovagepond/router';
import {beforeAll, describe, expect, it} from 'vitest';
import {
  DEFAULT_VARIANT,
  type Deployment,
  makeKioskDeployment,
  makeStormDeployment,
  VARIANTS,
} from '../../placement_measure.js';
import {PlacementSimulation} from '../../placement_simulation.js';

const SEED = 840;
const END_MS = 240_000;

let hasher: KeyHasher;
beforeAll(async () => {
  hasher = await loadKeyHasher();
});

function simulate(
  {settings, arrivals}: Deployment,
  name: string = DEFAULT_VARIANT,
) {
  const variant = VARIANTS.find(item => item.name === name)!;
  return new PlacementSimulation(settings, variant, hasher).run(arrivals);
}

// Kiosks resume, or a storm brings report chats, while servers leave, crash,
// join and flap, lists differ for seconds and loads are a second old. An engine
// at a multiple of the mean load answers slowly, so the load bound must hold
// throughout, and returning chats must still find their caches.
describe.each([
  ['skew first', makeKioskDeployment(END_MS, SEED), 0],
  ['reuse first', makeStormDeployment(END_MS, SEED), 0.2],
])('the default policy under %s', (_name, deployment, overShare) => {
  it('holds the load bound and reuses caches', () => {
    const {outcomes, skew} = simulate(deployment);
    const {loadBound} = deployment.settings.pool;
    expect(skew.overShare).toBeLessThanOrEqual(overShare);
    expect(skew.ratios.percentile(99)).toBeLessThanOrEqual(loadBound);
    expect(outcomes.lateShare).toBe(0);
    const best = simulate(deployment, 'oracle: within the bound');
    const missing = best.outcomes.reuseOfTokens - outcomes.reuseOfTokens;
    expect(missing).toBeLessThanOrEqual(3);
  });

  it('is deterministic by its seed', () => {
    const [first, second] = [simulate(deployment), simulate(deployment)];
    expect(first.events).toBe(second.events);
    expect(first.outcomes.reuseOfTokens).toBe(second.outcomes.reuseOfTokens);
    expect(first.skew.max).toBe(second.skew.max);
  });
});

it('the load bound needs the gate: resuming kiosks exceed it without one', () => {
  const kiosks = makeKioskDeployment(END_MS, SEED);
  expect(simulate(kiosks, 'rendezvous').skew.max).toBeGreaterThan(3);
});
