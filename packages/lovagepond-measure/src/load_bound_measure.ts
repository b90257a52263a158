/**
 * How far the gateways of a fleet exceed the load bound together, and what
 * keeping it costs.
 */
import {type KeyHasher, loadKeyHasher} from '@lovagepond/router';
import {GatewaySimulation} from './gateway_simulation.js';
import {
  LARGE_GATEWAY_LOADS,
  popularPrompts,
} from './gateway_simulation_loads.js';
import {
  type GatewayLoad,
  type GatewayVariant,
} from './gateway_simulation_types.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SEEDS = [51, 52, 53, 54] as const;
const END_MS = 15_000;
const UDP_HEADER_BYTES = 28;
const POPULAR_PROMPTS = 4;

/** Requests per second of each gateway in the largest deployment. */
const REQUESTS_PER_GATEWAY = 3_200 / 370;

const VARIANTS: readonly GatewayVariant[] = [
  {name: 'each gateway alone', noPermits: true},
  {name: 'permits'},
  {name: 'permits, 3 % of datagrams lost', datagramLoss: 0.03},
];

const LOADS: readonly GatewayLoad[] = [
  ...[3, 10, 30, 370].map(count => popularPrompts(count, POPULAR_PROMPTS)),
  ...LARGE_GATEWAY_LOADS,
];

function measureOne(
  load: GatewayLoad,
  variant: GatewayVariant,
  hasher: KeyHasher,
): (string | number)[] {
  const disturbances = [] as const;
  const runs = SEEDS.map(seed => {
    const settings = {load, variant, disturbances, seed, endMs: END_MS};
    const simulation = new GatewaySimulation(settings, hasher);
    return {...simulation.run(), ...simulation.datagrams};
  });
  type Run = (typeof runs)[number];
  const sum = (read: (run: Run) => number): number =>
    runs.reduce((all, run) => all + read(run), 0);
  const mean = (read: (run: Run) => number): number => sum(read) / runs.length;
  const requests = sum(run => run.requests);
  const sent = sum(run => run.sent);
  const bytes = sum(run => run.bytes) + sent * UDP_HEADER_BYTES;
  return [
    load.name,
    load.gateways,
    variant.name,
    requests,
    sum(run => run.overBound),
    roundTo(Math.max(...runs.map(run => run.overBoundPercent)), 1),
    roundTo(Math.max(...runs.map(run => run.furthestOver)), 1),
    roundTo(
      mean(run => run.heldPercent),
      1,
    ),
    roundTo(
      mean(run => run.firstP50Ms),
      1,
    ),
    roundTo(
      mean(run => run.firstP99Ms),
      0,
    ),
    roundTo(sent / requests, 1),
    Math.round((bytes / requests) * REQUESTS_PER_GATEWAY),
  ];
}

/** @returns the bound with and without permits, by number of gateways */
export async function measureLoadBound(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const rows = LOADS.flatMap(load =>
    VARIANTS.map(variant => measureOne(load, variant, hasher)),
  );
  return [
    {
      title: 'Load bound of all gateways together',
      columns: [
        'load',
        'gateways',
        'bound kept by',
        'requests',
        'arrivals over',
        'worst 5 s, %',
        'furthest over, requests',
        'shared tokens held, %',
        'first p50, ms',
        'first p99, ms',
        'datagrams a request',
        'B/s sent by a gateway at 3,200 requests/s and 370 gateways',
      ],
      rows,
      notes: [
        'npm run measure -- load-bound',
        `seeds ${SEEDS.join(', ')}, ${END_MS / 1_000} s each, from empty caches`,
        'the worst 5 s count from 20 arrivals over on',
      ],
    },
  ];
}
