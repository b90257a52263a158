/**
 * Servers lost to requests that crash them, by the scope of crash evidence, and
 * the cost of the quarantine for other requests.
 */
import {Random} from '@lovagepond/core';
import {
  type CrashDisturbances,
  type CrashFleet,
  type CrashingPart,
  type CrashOutcome,
  type CrashScenario,
  EVIDENCE_SCOPE,
  PARTS_BEFORE,
} from './crash_scenario.js';
import {CrashSimulation} from './crash_simulation.js';
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

function simulateSeeds(
  scenario: CrashScenario,
  seeds = SEEDS,
): readonly CrashOutcome[] {
  return Array.from({length: seeds}, (_, seed) =>
    new CrashSimulation(scenario, new Random(seed + 1)).run(),
  );
}

/** The largest fleet that the system is designed for. */
const LARGE_FLEET: CrashFleet = {
  gateways: 370,
  servers: 640,
  requestEveryMs: 0.5,
};
const LARGE_SEEDS = 2;

const PARTS: Readonly<Record<string, CrashingPart | undefined>> = {
  none: undefined,
  'after popular parts': {partsBefore: PARTS_BEFORE.POPULAR, everyMs: 350},
  'after a part of its own': {partsBefore: PARTS_BEFORE.OWN, everyMs: 350},
  'after rare parts': {partsBefore: PARTS_BEFORE.RARE, everyMs: 350},
  'after popular parts, often': {
    partsBefore: PARTS_BEFORE.POPULAR,
    everyMs: 50,
  },
};

function summarizePart(
  part: string,
  name: string,
  outcomes: readonly CrashOutcome[],
): readonly (string | number)[] {
  const crashed = outcomes.map(one => one.crashed);
  return [
    part,
    name,
    roundTo(
      meanOf(outcomes, one => one.crashed),
      2,
    ),
    Math.max(...crashed),
    Math.max(...outcomes.map(one => one.sentLate)),
    roundTo(
      meanOf(outcomes, one => one.refused),
      2,
    ),
    roundTo(
      meanOf(outcomes, one => one.lost),
      2,
    ),
    roundTo(meanOf(outcomes, one => one.updateBytes) / 1_000, 1),
    roundTo(meanOf(outcomes, one => one.stateBytes) / 1_000, 0),
  ];
}

/** @returns servers lost to a part that the prompts of requests share */
function measureParts(): MeasureSection {
  const rows = Object.entries(PARTS).flatMap(([part, crashingPart]) => {
    const base = {
      evidenceScope: EVIDENCE_SCOPE.FLEET,
      crashingRequests: 0,
      ...(crashingPart && {crashingPart}),
    };
    const disturbed = Object.entries(DISTURBANCES).map(([name, disturbances]) =>
      summarizePart(part, name, simulateSeeds({...base, disturbances})),
    );
    const large = {...base, disturbances: {}, fleet: LARGE_FLEET};
    const outcomes = simulateSeeds(large, LARGE_SEEDS);
    return [...disturbed, summarizePart(part, '370 gateways', outcomes)];
  });
  return {
    title: 'Parts of prompts that crash servers',
    columns: [
      'crashing part',
      'disturbances',
      'servers crashed',
      'most in one run',
      'most sent 3 s after the fifth crash',
      'others refused',
      'others lost',
      'updates of a gateway (KB)',
      "control's evidence (KB)",
    ],
    rows,
    notes: [
      `evidence of the whole fleet; a request with the part every 0.35 s, or every 0.05 s where often; ${SEEDS} seeds, ${LARGE_SEEDS} of them at 370 gateways, 640 servers and 2,000 requests/s; npm run measure -- gateway-crashes`,
    ],
  };
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
    measureParts(),
  ]);
}
