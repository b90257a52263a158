/**
 * What cold servers get from all gateways together, and what keeping their limit
 * costs.
 */
import {type KeyHasher, loadKeyHasher} from '@lovagepond/router';
import {GatewaySimulation} from './gateway_simulation.js';
import {zonesThatReturn} from './gateway_simulation_loads.js';
import {type GatewayVariant} from './gateway_simulation_types.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SEEDS = [81, 82] as const;
const END_MS = 9_000;
const UDP_HEADER_BYTES = 28;

const RETURN = {
  kind: 'coldReturn',
  atMs: 4_000,
  zone: 0,
  downMs: 2_000,
  coldMs: 3_000,
} as const;

/** Gateways, engines, and requests that come at once. */
const LOADS = [
  [3, 24, 1],
  [10, 24, 15],
  [30, 24, 1],
  [30, 24, 15],
  [370, 24, 1],
  [370, 24, 15],
] as const;

const VARIANTS: readonly GatewayVariant[] = [
  {name: 'idle connections, no loss'},
  {
    name: '30 % new connections of up to 0.4 s, 3 % of datagrams lost',
    connectShare: 0.3,
    connectMs: 400,
    datagramLoss: 0.03,
  },
];

function measureOne(
  [gateways, engines, clump]: (typeof LOADS)[number],
  variant: GatewayVariant,
  hasher: KeyHasher,
): (string | number)[] {
  const load = zonesThatReturn(gateways, engines, clump);
  const runs = SEEDS.map(seed => {
    const settings = {
      load,
      variant,
      disturbances: [RETURN],
      seed,
      endMs: END_MS,
    };
    const simulation = new GatewaySimulation(settings, hasher);
    return {...simulation.run(), ...simulation.datagrams};
  });
  type Run = (typeof runs)[number];
  const mean = (read: (run: Run) => number): number =>
    runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
  const bytes = mean(run => run.bytes + run.sent * UDP_HEADER_BYTES);
  return [
    gateways,
    engines,
    clump,
    variant.name,
    Math.max(...runs.map(run => run.coldMost)),
    roundTo(
      mean(run => run.coldPerSecond),
      1,
    ),
    roundTo(
      mean(run => run.servedPercent),
      1,
    ),
    roundTo(mean(run => run.sent) / mean(run => run.requests), 1),
    Math.round((bytes / gateways / END_MS) * 1_000),
  ];
}

/** @returns what cold servers get, by number of gateways */
export async function measureColdServers(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const rows = LOADS.flatMap(load =>
    VARIANTS.map(variant => measureOne(load, variant, hasher)),
  );
  return [
    {
      title: 'Cold servers of a zone that returns',
      columns: [
        'gateways',
        'engines',
        'requests at once',
        'variant',
        'most in a second (21 allowed)',
        'a cold engine got, a second',
        'served, %',
        'datagrams a request',
        'B/s sent by a gateway',
      ],
      rows,
      notes: [
        'npm run measure -- cold-servers',
        `seeds ${SEEDS.join(', ')}; one of two zones ends at 4 s, is back at 6 s and cold for 3 s`,
      ],
    },
  ];
}
