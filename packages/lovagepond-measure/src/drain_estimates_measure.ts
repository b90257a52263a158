/**
 * How well estimates of the duration of responses tell which requests a gateway
 * that drains can still serve.
 */
import {ResponseDurations, type ResponseWork} from '@lovagepond/core';
import {DRAIN_ESTIMATORS} from './drain_estimators.js';
import {DRAIN_MIXES, type DrainMix} from './drain_mixes.js';
import {
  DRAIN_MS,
  type DrainResult,
  type DrainScenario,
  DrainSimulation,
} from './drain_simulation.js';
import {measureHeap} from './measure_heap.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const DRAINS = 200;
const FIRST_SEED = 900;

const SCENARIOS: readonly DrainScenario[] = [
  {name: 'served for 150 s', servedMs: 150_000},
  {name: 'served for 4 s', servedMs: 4_000},
  {name: 'served for 15 s', servedMs: 15_000},
  {name: 'routes renamed 2 s before', servedMs: 60_000, renamedMs: 2_000},
  {
    name: 'servers half as fast from 3 s on',
    servedMs: 150_000,
    slowerFromMs: 3_000,
    slowdown: 2,
  },
  {
    name: 'servers half as fast from 2 s before',
    servedMs: 150_000,
    slowerFromMs: -2_000,
    slowdown: 2,
  },
];

/**
 * @param mix the requests
 * @param scenario what happens around the stop
 * @param drains number of gateways
 * @returns the requests that arrived during the drains, by estimator
 */
export function simulateDrains(
  mix: DrainMix,
  scenario: DrainScenario,
  drains: number,
): ReadonlyMap<string, DrainResult> {
  const results = new Map<string, DrainResult>();
  for (let drain = 0; drain < drains; drain += 1) {
    const simulation = new DrainSimulation(mix, scenario, FIRST_SEED + drain);
    for (const {name, create} of DRAIN_ESTIMATORS) {
      const result = results.get(name) ?? {
        ended: 0,
        cut: 0,
        cutKinds: new Set(),
        refusedInVain: 0,
        refusedRightly: 0,
      };
      results.set(name, result);
      simulation.run(create(), result);
    }
  }
  return results;
}

function section(mix: DrainMix): MeasureSection {
  const rows = SCENARIOS.flatMap(scenario =>
    [...simulateDrains(mix, scenario, DRAINS)].map(([name, result]) => [
      scenario.name,
      name,
      result.ended,
      result.cut,
      result.refusedInVain,
      result.refusedRightly,
      [...result.cutKinds].sort().join(' '),
    ]),
  );
  return {
    title: `Requests that arrive while a gateway drains: ${mix.name}`,
    columns: [
      'scenario',
      'estimate',
      'admitted, ended',
      'admitted, cut',
      'refused, would have ended',
      'refused, would not',
      'kinds that were cut',
    ],
    rows,
    notes: [
      'npm run measure -- drain-estimates',
      `${DRAINS} drains of ${DRAIN_MS / 1_000} s, seeds from ${FIRST_SEED}; ${mix.gateways} gateways share the requests`,
    ],
  };
}

const COST_ANSWERS = 1_000_000;
const COST_BOUNDS = 20_000;
const COST_POOLS = 200;

/** Streams of 16 classes of output tokens. */
function costWork(at: number): ResponseWork {
  const outputTokens = 2 ** (1 + (at % 16));
  return {pool: 'pool', isStream: true, outputTokens};
}

function microsecondsOf(count: number, run: (at: number) => void): number {
  const started = performance.now();
  for (let at = 0; at < count; at += 1) run(at);
  return roundTo(((performance.now() - started) * 1_000) / count, 2);
}

function poolBytes(classes: number): number {
  const {bytes} = measureHeap(() => {
    const durations = new ResponseDurations();
    for (let pool = 0; pool < COST_POOLS; pool += 1) {
      for (let at = 0; at < classes; at += 1) {
        const work = {...costWork(at), pool: `pool ${pool}`};
        durations.noteAnswered(work, COST_TIMES, 1_000);
      }
    }
    return durations;
  });
  return Math.round(bytes / COST_POOLS);
}

const COST_TIMES = {firstMs: 100, totalMs: 900, events: 20} as const;

function costSection(): MeasureSection {
  const durations = new ResponseDurations();
  const noteUs = microsecondsOf(COST_ANSWERS, at => {
    durations.noteAnswered(costWork(at), COST_TIMES, at / 20);
  });
  const now = COST_ANSWERS / 20;
  const boundUs = microsecondsOf(COST_BOUNDS, at => {
    durations.boundMs(costWork(at), now);
  });
  return {
    title: 'Cost of the estimate by pool and tokens',
    columns: [
      'us an answer',
      'us a bound, 16 classes of tokens',
      'bytes a pool, 2 classes',
      'bytes a pool, 16 classes',
    ],
    rows: [[noteUs, boundUs, poolBytes(2), poolBytes(16)]],
    notes: ['npm run measure -- drain-estimates'],
  };
}

/** @returns what is admitted, cut and refused, by mix, and what it costs */
export function measureDrainEstimates(): Promise<MeasureSection[]> {
  return Promise.resolve([...DRAIN_MIXES.map(section), costSection()]);
}
