/**
 * What servers get again from all gateways together, and how much of the retry
 * budget is used.
 */
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {type RetryFaults, RetrySimulation} from './retry_simulation.js';

const SEEDS = [61, 62] as const;
const DURATION_MS = 50_000;

/** Gateways, requests in a second, and slack. */
const LOADS = [
  [8, 80, 64],
  [30, 200, 102],
  [70, 700, 180],
  [370, 4_300, 180],
  [370, 40, 180],
] as const;

const FAULTS: readonly (readonly [name: string, RetryFaults])[] = [
  ['none', {}],
  ['all gateways killed every 2.5 s', {killAllEveryMs: 2_500}],
  ['all gateways killed every 0.5 s', {killAllEveryMs: 500}],
  [
    'kills, pauses, cuts, new leaders, callers that move',
    {
      killEveryMs: 900,
      killAllEveryMs: 9_000,
      pauseEveryMs: 700,
      cutEveryMs: 3_000,
      leaderEveryMs: 7_000,
      shiftEveryMs: 1_700,
    },
  ],
];

function measureOne(
  [gateways, perSecond, slack]: (typeof LOADS)[number],
  [name, faults]: (typeof FAULTS)[number],
): (string | number)[] {
  const runs = SEEDS.map(seed =>
    new RetrySimulation({
      gateways,
      allowance: {fraction: 0.2, windowMs: 10_000, slack},
      perSecond,
      failing: 1,
      durationMs: DURATION_MS,
      faults,
      seed,
    }).run(),
  );
  type Run = (typeof runs)[number];
  const mean = (read: (run: Run) => number): number =>
    runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
  const excess = runs.map(({worst}) =>
    worst ? worst.retries - worst.allowed : 0,
  );
  return [
    gateways,
    perSecond,
    name,
    Math.max(...excess),
    roundTo(
      mean(run => run.used),
      2,
    ),
    Math.round(mean(run => run.questionsPerSecond)),
    Math.round(mean(run => run.bytesPerSecond)),
  ];
}

/** @returns what the retry budget allows, by number of gateways */
export function measureRetries(): Promise<MeasureSection[]> {
  const rows = LOADS.flatMap(load =>
    FAULTS.map(faults => measureOne(load, faults)),
  );
  const section = {
    title: 'Retries of all gateways while every request fails',
    columns: [
      'gateways',
      'requests a second',
      'faults',
      'worst window over what is allowed',
      'used of what is allowed',
      'questions a second',
      'B/s sent by a gateway',
    ],
    rows,
    notes: [
      'npm run measure -- retries',
      `seeds ${SEEDS.join(', ')}, ${DURATION_MS / 1_000} s each, of which the first 12 s are calm; windows of 10 s, 0.2 of the requests and 64 to 180 more`,
    ],
  };
  return Promise.resolve([section]);
}
