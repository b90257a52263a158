/**
 * Cache reuse and load skew of every policy on both users' deployments.
 */
import {type KeyHasher, loadKeyHasher} from '@lovagepond/router';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {
  type PlacementResult,
  PlacementSimulation,
} from './placement_simulation.js';
import {
  type PlacementSimulationSettings,
  type PlacementVariant,
} from './placement_simulation_types.js';
import {
  type Arrival,
  makeKioskArrivals,
  makeStormArrivals,
} from './placement_workload.js';

const SEED = 820;
const END_MS = 900_000;
const WARM_UP_MS = 60_000;

const ENGINE = {
  prefillTokensPerSecond: 8_000,
  decodeTokensPerSecond: 2_400,
  streamTokensPerSecond: 60,
  cacheTokens: 600_000,
};
const POOL = {
  maxHoldMs: 8_000,
  prefillTokensPerSecond: ENGINE.prefillTokensPerSecond,
  decodeTokensPerSecond: ENGINE.decodeTokensPerSecond,
};

/** Settings shared by both deployments. */
const COMMON = {
  warmUpMs: WARM_UP_MS,
  servers: 6,
  routers: 4,
  replaceEveryMs: 200_000,
  flapEveryMs: 130_000,
  maxListLagMs: 3_000,
};

/** One user's deployment with its workload. */
export interface Deployment {
  readonly title: string;
  readonly settings: PlacementSimulationSettings;
  readonly arrivals: readonly Arrival[];
}

/** @returns kiosks that resume hourly; low skew has priority */
export function makeKioskDeployment(endMs: number, seed: number): Deployment {
  return {
    title: 'Kiosks that resume hourly (Gutscheinwerk, skew first)',
    arrivals: makeKioskArrivals({endMs, scale: 1}, seed),
    settings: {
      ...COMMON,
      seed,
      endMs,
      engine: {...ENGINE, capacityTokens: 40_960},
      floorTokens: 24_576,
      pool: {...POOL, loadBound: 1.5, reuseWeight: 0.3},
    },
  };
}

/** @returns storms of long chats; cache reuse has priority */
export function makeStormDeployment(endMs: number, seed: number): Deployment {
  return {
    title: 'Storm (Sigurðsson & Synir, reuse first)',
    arrivals: makeStormArrivals({endMs, scale: 1}, seed),
    settings: {
      ...COMMON,
      seed,
      endMs,
      engine: {...ENGINE, capacityTokens: 400_000},
      floorTokens: 98_304,
      pool: {...POOL, loadBound: 2, reuseWeight: 0.9},
    },
  };
}

const UNGATED = {
  gated: false,
  pointers: false,
  take: false,
  moveCache: false,
  exact: false,
};
const GATED = {...UNGATED, gated: true};
const WITH_POINTERS = {...GATED, pointers: true};

/** Name of the variant with the router's default policy. */
export const DEFAULT_VARIANT = 'hold and take';

/** The variants to compare. */
export const VARIANTS: readonly PlacementVariant[] = [
  {...UNGATED, name: 'round robin', policy: 'roundRobin'},
  {...UNGATED, name: 'rendezvous', policy: 'rendezvous'},
  {...UNGATED, name: 'least loaded', policy: 'leastLoaded'},
  {...UNGATED, name: 'two choices', policy: 'twoChoices'},
  {...UNGATED, name: 'bounded rendezvous', policy: 'boundedRendezvous'},
  {...WITH_POINTERS, name: 'bounded + gate', policy: 'boundedRendezvous'},
  {...WITH_POINTERS, name: 'cost score + gate', policy: 'costScore'},
  {...WITH_POINTERS, name: 'pointers + gate', policy: 'pointers'},
  {...WITH_POINTERS, name: DEFAULT_VARIANT, policy: 'holdAndTake', take: true},
  {
    ...WITH_POINTERS,
    name: 'hold and take, moving caches',
    policy: 'holdAndTake',
    take: true,
    moveCache: true,
  },
  {...UNGATED, name: 'oracle: warmest', policy: 'warmest', exact: true},
  {
    ...GATED,
    name: 'oracle: within the bound',
    policy: 'warmest',
    take: true,
    exact: true,
  },
];

/** Column headings for {@link summarize}. */
export const COLUMNS = [
  'policy',
  'reuse % tokens',
  'reuse % returns',
  'skew max',
  'skew p99',
  '% time over bound',
  'refused %',
  'late %',
  'cut %',
  'first token p50 ms',
  'p95 ms',
  'attempts',
  'control B/s',
] as const;

/**
 * @param variant the simulated variant
 * @param result its result
 * @returns the cells under {@link COLUMNS}
 */
export function summarize(
  variant: PlacementVariant,
  {outcomes, skew, controlBytesPerSecond}: PlacementResult,
): (string | number)[] {
  const {firstTokenMs} = outcomes;
  return [
    variant.name,
    roundTo(outcomes.reuseOfTokens, 1),
    roundTo(outcomes.reuseOfReturns, 1),
    roundTo(skew.max, 2),
    roundTo(skew.ratios.percentile(99), 2),
    roundTo(skew.overShare, 2),
    roundTo(outcomes.refusedShare, 2),
    roundTo(outcomes.lateShare, 2),
    roundTo(outcomes.failedShare, 2),
    Math.round(firstTokenMs.percentile(50)),
    Math.round(firstTokenMs.percentile(95)),
    roundTo(outcomes.hops.mean, 2),
    Math.round(controlBytesPerSecond),
  ];
}

function measureDeployment(
  deployment: Deployment,
  hasher: KeyHasher,
): MeasureSection {
  const {settings, arrivals, title} = deployment;
  const {pool, floorTokens, engine} = settings;
  return {
    title,
    columns: COLUMNS,
    rows: VARIANTS.map(variant => {
      const simulation = new PlacementSimulation(settings, variant, hasher);
      return summarize(variant, simulation.run(arrivals));
    }),
    notes: [
      `seed ${SEED}; npm run measure -- placement`,
      `${arrivals.length} requests in ${settings.endMs / 1000} s of virtual ` +
        `time, ${settings.servers} engines, ${settings.routers} routers`,
      `bound ${pool.loadBound} of the mean, reuseWeight ${pool.reuseWeight}, ` +
        `floor ${floorTokens} tokens, engine capacity ` +
        `${engine.capacityTokens} tokens; skew is the busiest ready engine ` +
        'over the mean, a mean under floor/bound counted as floor/bound',
    ],
  };
}

/** Load bound and reuse weight of each user; the floor is the deployment's. */
const WEIGHTS = [
  {name: 'skew first (Gutscheinwerk)', loadBound: 1.5, reuseWeight: 0.3},
  {name: 'reuse first (Sigurðsson & Synir)', loadBound: 2, reuseWeight: 0.9},
] as const;

/**
 * Runs each deployment with each user's bound and weight, to show that a user's
 * settings do best on that user's priority.
 */
function measureWeights(
  deployments: readonly Deployment[],
  hasher: KeyHasher,
): MeasureSection {
  const variant = VARIANTS.find(({name}) => name === DEFAULT_VARIANT);
  if (!variant) throw new Error(`unknown variant: ${DEFAULT_VARIANT}`);
  const rows = deployments.flatMap(({title, settings, arrivals}) =>
    WEIGHTS.map(({name, ...weights}) => {
      const pool = {...settings.pool, ...weights};
      const run = new PlacementSimulation({...settings, pool}, variant, hasher);
      const row = summarize(variant, run.run(arrivals));
      return [`${title.split(' (')[0] ?? title}: ${name}`, ...row.slice(1)];
    }),
  );
  return {
    title: 'Both weights on both deployments',
    columns: ['settings', ...COLUMNS.slice(1)],
    rows,
    notes: [
      `seed ${SEED}; npm run measure -- placement; policy: ${DEFAULT_VARIANT}`,
      'skew of a row counts a mean under floor/bound as floor/bound',
    ],
  };
}

/** @returns a table per deployment, and one of each user's weights on both */
export async function measurePlacement(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const deployments = [
    makeKioskDeployment(END_MS, SEED),
    makeStormDeployment(END_MS, SEED),
  ];
  const sections = deployments.map(deployment =>
    measureDeployment(deployment, hasher),
  );
  return [...sections, measureWeights(deployments, hasher)];
}
