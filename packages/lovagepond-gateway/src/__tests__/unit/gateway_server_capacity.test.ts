import {
  type KeyHasher,
  loadKeyHasher,
} from '@lovagepond/router/rendezvous_hash';
import {beforeAll, describe, expect, it} from 'vitest';
import {
  CapacitySimulation,
  type SimulationOptions,
} from './capacity_simulation.js';

const SEEDS = [1, 2, 3];
const WARM_UP_MS = 5_000;
const TARGET_MS = 600;

let hasher: KeyHasher;
beforeAll(async () => {
  hasher = await loadKeyHasher();
});

const EVEN_ENGINES = {speeds: [10, 10, 10, 10], slots: 64, isEngine: true};
const UNEVEN_ENGINES = {...EVEN_ENGINES, speeds: [10, 10, 10, 10 / 3]};
const EVEN_SERVICES = {speeds: [40, 40, 40, 40], slots: 4, isEngine: false};

/** Prompts of 1,000 tokens per second at 0.8 of the engines' capacity. */
function engineLoad(speeds: readonly number[]): number {
  return 0.8 * speeds.reduce((sum, speed) => sum + speed, 0);
}

function makeSimulation(
  options: Pick<SimulationOptions, 'speeds' | 'slots' | 'isEngine'>,
  seed: number,
  serverCapacity = true,
): CapacitySimulation {
  return new CapacitySimulation({
    ...options,
    hasher,
    seed,
    gateways: 2,
    serverCapacity,
  });
}

/** Fraction of the requests that each server gets. */
function sharesOver(
  simulation: CapacitySimulation,
  perSecond: number,
  durationMs: number,
): number[] {
  const before = simulation.servers.map(({served}) => served);
  simulation.run(perSecond, durationMs);
  const served = simulation.servers.map(
    (server, at) => server.served - before[at]!,
  );
  const all = served.reduce((sum, count) => sum + count, 0);
  return served.map(count => count / all);
}

describe('gateways with estimates of each server', () => {
  // With the initial rate of 40 tokens/ms, the gateways took queued prompts of
  // engines of 10 tokens/ms for nearly done. A gateway that doesn't know of the
  // other one's prompts takes their time for its own and learns too low a rate.
  it.each(SEEDS)('learn the rate of slow engines, seed %i', seed => {
    const simulation = makeSimulation(EVEN_ENGINES, seed);
    expect(simulation.state(0, 0).capacity.prefillTokensPerMs(0)).toBe(40);
    simulation.run(engineLoad(EVEN_ENGINES.speeds), WARM_UP_MS + 5_000);
    for (const gateway of [0, 1]) {
      for (const server of [0, 1, 2, 3]) {
        const {capacity} = simulation.state(gateway, server);
        const rate = capacity.prefillTokensPerMs(simulation.now);
        expect(rate).toBeGreaterThan(8);
        expect(rate).toBeLessThan(16);
      }
    }
  });

  // With one rate for all engines, the slowest one got 0.12 of the prompts, 0.96
  // of what it can compute, and 0.89 of all prompts were within the target.
  it.each(SEEDS)('send uneven engines prompts in proportion, seed %i', seed => {
    const simulation = makeSimulation(UNEVEN_ENGINES, seed);
    const load = engineLoad(UNEVEN_ENGINES.speeds);
    simulation.run(load, WARM_UP_MS);
    simulation.responseMs = [];
    const shares = sharesOver(simulation, load, 20_000);
    for (const share of shares.slice(0, 3)) {
      expect(share).toBeGreaterThan(0.22);
      expect(share).toBeLessThan(0.38);
    }
    expect(shares[3]).toBeGreaterThan(0.02);
    expect(shares[3]).toBeLessThan(0.12);
    const inTime = simulation.responseMs.filter(ms => ms <= TARGET_MS);
    expect(inTime.length / simulation.responseMs.length).toBeGreaterThan(0.97);
  });

  // Half of the services slow down threefold for five seconds without saying
  // so. An estimate that follows too late overloads them, and one that isn't
  // forgotten leaves them without requests when they are needed again.
  it.each(SEEDS)('notice and forget a slowdown of half, seed %i', seed => {
    const simulation = makeSimulation(EVEN_SERVICES, seed);
    const perSecond = 0.6 * 400;
    simulation.run(perSecond, WARM_UP_MS);
    const slow = simulation.servers.slice(0, 2);
    for (const server of slow) server.slowdown = 3;
    simulation.run(perSecond, 1_000);
    const during = sharesOver(simulation, perSecond, 4_000);
    expect(during[0]! + during[1]!).toBeLessThan(0.33);
    expect(during[0]! + during[1]!).toBeGreaterThan(0.05);
    for (const server of slow) server.slowdown = 1;
    simulation.run(perSecond, 2_000);
    const after = sharesOver(simulation, perSecond, 4_000);
    expect(after[0]! + after[1]!).toBeGreaterThan(0.4);
  });
});
