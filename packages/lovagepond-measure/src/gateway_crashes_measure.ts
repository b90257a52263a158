/**
 * Servers lost to requests that crash them, by the scope of crash evidence, and
 * the cost of the quarantine for other requests.
 */
import {Random} from '@lovagepond/core';
import {
  type CrashDisturbances,
  type CrashOutcome,
  type CrashScenario,
  CrashSimulation,
  EVIDENCE_SCOPE,
} from './crash_simulation.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SEEDS = 20;

const DISTURBANCES: Readonly<Record<string, CrashDisturbances>> = {
  none: {},
  'other crashes': {crashEveryMs: 4_000},
  'lost answers': {lostAnswers: 0.025},
  release: {leaveEveryMs: 1_500},
  'loss of power': {powerLossAtMs: 20_000},
  all: {
    crashEveryMs: 4_000,
    lostAnswers: 0.025,
    leaveEveryMs: 3_000,
    powerLossAtMs: 20_000,
  },
};

const CRASHING_COUNTS = [0, 1, 3] as const;

function meanOf(
  outcomes: readonly CrashOutcome[],
  read: (outcome: CrashOutcome) => number,
): number {
  return outcomes.reduce((sum, one) => sum + read(one), 0) / outcomes.length;
}

function simulateSeeds(scenario: CrashScenario): readonly CrashOutcome[] {
  return Array.from({length: SEEDS}, (_, seed) =>
    new CrashSimulation(scenario, new Random(seed + 1)).run(),
  );
}

/** @returns crashes and refusals by disturbances and evidence scope */
export function measureGatewayCrashes(): Promise<readonly MeasureSection[]> {
  const rows = Object.entries(DISTURBANCES).flatMap(([name, disturbances]) =>
    CRASHING_COUNTS.flatMap(crashingRequests =>
      Object.values(EVIDENCE_SCOPE).map(evidenceScope => {
        const outcomes = simulateSeeds({
          evidenceScope,
          crashingRequests,
          disturbances,
        });
        const crashed = meanOf(outcomes, one => one.crashed);
        const most = Math.max(...outcomes.map(one => one.crashed));
        return [
          name,
          crashingRequests,
          evidenceScope,
          crashingRequests === 0 ? '' : roundTo(crashed / crashingRequests, 2),
          crashingRequests === 0 ? '' : most,
          roundTo(
            meanOf(outcomes, one => one.refused),
            2,
          ),
          roundTo(
            meanOf(outcomes, one => one.lost),
            2,
          ),
        ];
      }),
    ),
  );
  const requests = meanOf(
    simulateSeeds({
      evidenceScope: EVIDENCE_SCOPE.FLEET,
      crashingRequests: 0,
      disturbances: {},
    }),
    one => one.requests,
  );
  return Promise.resolve([
    {
      title: 'Requests that crash servers',
      columns: [
        'disturbances',
        'crashing requests',
        'scope of evidence',
        'servers crashed by each',
        'most in one run',
        'others refused',
        'others lost',
      ],
      rows,
      notes: [
        `${SEEDS} seeds, 60 s, 12 gateways, 24 servers, ${roundTo(requests, 0)} other requests a run, crashing ones repeated every 0.8 s; npm run measure -- gateway-crashes`,
      ],
    },
  ]);
}
