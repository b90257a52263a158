/**
 * What the decisions of gateways are worth: each variant on each load and kind
 * of day, over several seeds.
 */
import {type KeyHasher, loadKeyHasher} from '@lovagepond/router';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {type PlayResult} from './play_account.js';
import {PlayFleet} from './play_fleet.js';
import {PLAY_DAYS, PLAY_LOADS} from './play_loads.js';
import {
  type PlayLoad,
  type PlaySettings,
  type PlayVariant,
} from './play_types.js';

const FIRST_SEED = 401;
const SEEDS = 8;
const END_MS = 34_000;

/** As it is in production. */
const AS_IT_IS: PlayVariant = {name: 'as it is'};

/** One mechanism switched off at a time. */
const ABLATIONS: readonly PlayVariant[] = [
  {name: 'no homes', weights: {home: 0}},
  {name: 'contexts not taken over', noFetch: true},
  {name: 'readings not told', silentReadings: true},
  {name: 'requests not told', silentRunning: true},
  {name: 'requests told one by one', eachRunning: true},
  {name: 'no load in answers', noLoadHeader: true},
  {name: 'lateness not weighed', weights: {late: 0}},
  {name: 'requests not weighed', weights: {runningRequestMs: 0}},
  {
    name: 'failures not expected',
    weights: {repeatableFailure: 0, lostFailure: 0},
  },
  {name: 'late answers not told apart', noTiming: true},
  {name: 'no load bound', noBound: true},
];

/** Means over the seeds, and the spread of one of them. */
export interface PlayRow {
  readonly mean: PlayResult;
  readonly worthSpread: number;
}

function meanOf(results: readonly PlayResult[]): PlayRow {
  const keys = Object.keys(results[0] ?? {}) as (keyof PlayResult)[];
  const sums = keys.map(key => [
    key,
    results.reduce((sum, result) => sum + result[key], 0) / results.length,
  ]);
  const mean = Object.fromEntries(sums) as unknown as PlayResult;
  const squares = results.map(
    ({worthPercent}) => (worthPercent - mean.worthPercent) ** 2,
  );
  const variance =
    squares.reduce((sum, square) => sum + square, 0) /
    Math.max(1, results.length - 1);
  return {mean, worthSpread: Math.sqrt(variance)};
}

/**
 * @param play what is played
 * @param hasher finds homes
 * @param seeds how many, from the first one on
 * @returns means over the seeds
 */
export function playSeeds(
  play: Omit<PlaySettings, 'seed'>,
  hasher: KeyHasher,
  seeds: number,
): PlayRow {
  const results = Array.from({length: seeds}, (_, at) =>
    new PlayFleet({...play, seed: FIRST_SEED + at}, hasher).run(),
  );
  return meanOf(results);
}

function playAll(
  load: PlayLoad,
  day: string,
  variant: PlayVariant,
  hasher: KeyHasher,
): PlayRow {
  const troubles = PLAY_DAYS[day] ?? [];
  return playSeeds({load, variant, troubles, endMs: END_MS}, hasher, SEEDS);
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
  '1,000 tokens taken over',
];

function cellsOf({mean, worthSpread}: PlayRow): number[] {
  return [
    roundTo(mean.servedPercent, 2),
    roundTo(mean.onTimePercent, 2),
    roundTo(mean.worthPercent, 2),
    roundTo(worthSpread, 2),
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

/** @returns each load on each kind of day, as it is in production */
export async function measureGatewayPlays(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const rows = PLAY_LOADS.flatMap(load =>
    Object.keys(PLAY_DAYS).map(day => [
      load.name,
      day,
      ...cellsOf(playAll(load, day, AS_IT_IS, hasher)),
    ]),
  );
  return [
    {
      title: 'Gateways by load and kind of day',
      columns: ['load', 'day', ...COLUMNS],
      rows,
      notes: ['npm run measure -- gateway-plays', ...NOTES],
    },
  ];
}

/** @returns each mechanism switched off alone, on the mixed day */
export async function measureGatewayAblation(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  return PLAY_LOADS.map(load => ({
    title: `Mechanisms switched off alone: ${load.name}`,
    columns: ['variant', ...COLUMNS],
    rows: [AS_IT_IS, ...ABLATIONS].map(variant => [
      variant.name,
      ...cellsOf(playAll(load, 'mixed', variant, hasher)),
    ]),
    notes: ['npm run measure -- gateway-ablation', 'mixed day', ...NOTES],
  }));
}
