import {expect, it} from 'vitest';
import {RetrySimulation, type RetryFaults} from '../../retry_simulation.js';

const ALLOWANCE = {fraction: 0.2, windowMs: 10_000, slack: 64};
const SEEDS = Number(process.env['RETRY_SEEDS'] ?? 2);
const seeds = Array.from({length: SEEDS}, (_, nth) => 61 + nth);

const FAULTS: Readonly<Record<string, RetryFaults>> = {
  'no fault': {},
  'gateways killed one after the other': {killEveryMs: 310},
  'all gateways killed at once': {killAllEveryMs: 2_500},
  'gateways that restart twice a second': {killAllEveryMs: 500},
  'pauses, cuts and new leaders': {
    pauseEveryMs: 700,
    cutEveryMs: 3_000,
    leaderEveryMs: 5_000,
  },
  'all of these while callers move': {
    killEveryMs: 900,
    killAllEveryMs: 9_000,
    pauseEveryMs: 700,
    cutEveryMs: 3_000,
    leaderEveryMs: 7_000,
    shiftEveryMs: 1_700,
  },
};

const cases = Object.entries(FAULTS).flatMap(([name, faults]) =>
  [8, 30].map(gateways => [name, gateways, faults] as const),
);

// Guards against counts that end with a process, and against parts that add up to
// more than the whole.
it.each(cases)(
  'retries stay within the budget of the fleet: %s, %i gateways',
  (_name, gateways, faults) => {
    for (const seed of seeds) {
      const simulation = new RetrySimulation({
        gateways,
        allowance: ALLOWANCE,
        perSecond: 80,
        failing: 0.9,
        durationMs: 50_000,
        faults,
        seed,
      });
      const {worst} = simulation.run();
      expect(worst?.retries).toBeLessThanOrEqual(worst?.allowed ?? 0);
    }
  },
);

// Guards against a budget that is kept by leaving it unused.
it.each([
  [8, 80, 1, {}, 0.8],
  [8, 5, 1, {}, 0.8],
  [370, 400, 1, {}, 0.8],
  [8, 80, 0.125, {}, 0.8],
  [8, 80, 1, {killAllEveryMs: 2_500}, 0.5],
  [30, 80, 1, {killAllEveryMs: 2_500}, 0.5],
  [370, 2_000, 1, {killAllEveryMs: 2_500}, 0.5],
] as const)(
  '%i gateways with %d requests a second use the budget',
  (gateways, perSecond, affected, faults, least) => {
    const simulation = new RetrySimulation({
      gateways,
      allowance: ALLOWANCE,
      perSecond,
      failing: 1,
      affected,
      durationMs: 50_000,
      faults,
      seed: 61,
    });
    const {used, worst} = simulation.run();
    expect(used).toBeGreaterThanOrEqual(least);
    expect(worst?.retries).toBeLessThanOrEqual(worst?.allowed ?? 0);
  },
);
