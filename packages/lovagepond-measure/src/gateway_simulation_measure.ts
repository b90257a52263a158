/**
 * The effect of gateways' decisions: each load under each set of disturbances,
 * and an ablation of single mechanisms, over several seeds.
 */
import {ENGINE_WEIGHTS} from '@lovagepond/gateway/deciders';
import {type KeyHasher, loadKeyHasher} from '@lovagepond/router';
import {GatewaySimulation} from './gateway_simulation.js';
import {
  DISTURBANCE_SCHEDULES,
  GATEWAY_LOADS,
  LARGE_GATEWAY_LOADS,
} from './gateway_simulation_loads.js';
import {type GatewaySimulationResult} from './gateway_simulation_statistics.js';
import {
  type GatewayLoad,
  type GatewaySimulationSettings,
  type GatewayVariant,
} from './gateway_simulation_types.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const FIRST_SEED = 401;
const SEEDS = 8;
/** Fewer, as there are many variants. */
const WEIGHT_SEEDS = 4;
const END_MS = 34_000;

/** The production settings. */
const BASELINE: GatewayVariant = {name: 'baseline'};

/** One mechanism switched off at a time. */
const ABLATIONS: readonly GatewayVariant[] = [
  {name: 'no homes', weights: {home: 0}},
  {name: 'no context fetches', noFetch: true},
  {name: 'no reports of readings', noReadingReports: true},
  {name: 'no reports of requests', noRunningReports: true},
  {name: 'requests reported one by one', individualReports: true},
  {name: 'no load in answers', noLoadHeader: true},
  {name: 'lateness not weighted', weights: {late: 0}},
  {name: 'requests not weighted', weights: {runningRequestMs: 0}},
  {
    name: 'failures not expected',
    weights: {repeatableFailure: 0, lostFailure: 0},
  },
  {name: 'no timing of answers', noTiming: true},
  {name: 'no load bound', noBound: true},
];

const WEIGHT_FACTORS = [0.5, 2] as const;

/** Each weight at half and at twice its value. */
const WEIGHT_VARIANTS: readonly GatewayVariant[] = Object.entries(
  ENGINE_WEIGHTS,
).flatMap(([weight, value]) =>
  WEIGHT_FACTORS.map(factor => ({
    name: `${weight} times ${factor}`,
    weights: {[weight]: value * factor},
  })),
);

/** Means over the seeds, and the standard deviation of the worth. */
export interface SeedSummary {
  readonly mean: GatewaySimulationResult;
  readonly worthDeviation: number;
}

function meanOf(results: readonly GatewaySimulationResult[]): SeedSummary {
  const keys = Object.keys(
    results[0] ?? {},
  ) as (keyof GatewaySimulationResult)[];
  const sums = keys.map(key => [
    key,
    results.reduce((sum, result) => sum + result[key], 0) / results.length,
  ]);
  const mean = Object.fromEntries(sums) as unknown as GatewaySimulationResult;
  const squares = results.map(
    ({worthPercent}) => (worthPercent - mean.worthPercent) ** 2,
  );
  const variance =
    squares.reduce((sum, square) => sum + square, 0) /
    Math.max(1, results.length - 1);
  return {mean, worthDeviation: Math.sqrt(variance)};
}

/**
 * @param settings settings without the seed
 * @param hasher hashes prompts to their home servers
 * @param seeds number of seeds, from the first one on
 * @returns means over the seeds
 */
export function simulateSeeds(
  settings: Omit<GatewaySimulationSettings, 'seed'>,
  hasher: KeyHasher,
  seeds: number,
): SeedSummary {
  const results = Array.from({length: seeds}, (_, at) =>
    new GatewaySimulation({...settings, seed: FIRST_SEED + at}, hasher).run(),
  );
  return meanOf(results);
}

function simulateDay(
  load: GatewayLoad,
  day: string,
  variant: GatewayVariant,
  hasher: KeyHasher,
  seeds = SEEDS,
): SeedSummary {
  const disturbances = DISTURBANCE_SCHEDULES[day] ?? [];
  return simulateSeeds(
    {load, variant, disturbances, endMs: END_MS},
    hasher,
    seeds,
  );
}

const COLUMNS = [
  'served %',
  'on time %',
  'worth %',
  '± over seeds',
  'worst 2 windows %',
  'first p50, ms',
  'first p99, ms',
  '1,000 tokens read again',
  '1,000 tokens fetched',
];

function cellsOf({mean, worthDeviation}: SeedSummary): number[] {
  return [
    roundTo(mean.servedPercent, 2),
    roundTo(mean.onTimePercent, 2),
    roundTo(mean.worthPercent, 2),
    roundTo(worthDeviation, 2),
    roundTo(mean.worstPercent, 1),
    roundTo(mean.firstP50Ms, 0),
    roundTo(mean.firstP99Ms, 0),
    roundTo(mean.rereadThousands, 0),
    roundTo(mean.fetchedThousands, 0),
  ];
}

const NOTES = [
  `seeds ${FIRST_SEED} to ${FIRST_SEED + SEEDS - 1}, ${END_MS / 1_000} s each`,
];

/** @returns each load under each set of disturbances, as in production */
export async function measureGatewaySimulations(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const rows = GATEWAY_LOADS.flatMap(load =>
    Object.keys(DISTURBANCE_SCHEDULES).map(day => [
      load.name,
      day,
      ...cellsOf(simulateDay(load, day, BASELINE, hasher)),
    ]),
  );
  return [
    {
      title: 'Gateways by load and day',
      columns: ['load', 'day', ...COLUMNS],
      rows,
      notes: ['npm run measure -- gateway-plays', ...NOTES],
    },
  ];
}

/** @returns other values of each weight, on the mixed day */
export async function measureGatewayWeights(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  return [...GATEWAY_LOADS, ...LARGE_GATEWAY_LOADS].map(load => ({
    title: `Weights of the choice of an engine: ${load.name}`,
    columns: ['variant', ...COLUMNS],
    rows: [BASELINE, ...WEIGHT_VARIANTS].map(variant => [
      variant.name,
      ...cellsOf(simulateDay(load, 'mixed', variant, hasher, WEIGHT_SEEDS)),
    ]),
    notes: [
      'npm run measure -- gateway-weights',
      `mixed day, ${WEIGHT_SEEDS} seeds from ${FIRST_SEED}, ${END_MS / 1_000} s each`,
    ],
  }));
}

/** @returns the ablation of single mechanisms, on the mixed day */
export async function measureGatewayAblation(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  return GATEWAY_LOADS.map(load => ({
    title: `Ablation of single mechanisms: ${load.name}`,
    columns: ['variant', ...COLUMNS],
    rows: [BASELINE, ...ABLATIONS].map(variant => [
      variant.name,
      ...cellsOf(simulateDay(load, 'mixed', variant, hasher)),
    ]),
    notes: ['npm run measure -- gateway-ablation', 'mixed day', ...NOTES],
  }));
}
