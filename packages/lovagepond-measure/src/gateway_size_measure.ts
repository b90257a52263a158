/**
 * What gateways lose by exchanging less state in larger fleets: the same load
 * for each gateway, at one, four and eight times the size.
 */
import {loadKeyHasher} from '@lovagepond/router';
import {GATEWAY_LOADS} from './gateway_simulation_loads.js';
import {simulateSeeds} from './gateway_simulation_measure.js';
import {
  type GatewayLoad,
  type GatewayVariant,
} from './gateway_simulation_types.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SCALES = [1, 4, 8] as const;
const SEEDS = 3;
const END_MS = 20_000;

const VARIANTS: readonly GatewayVariant[] = [
  {name: 'totals'},
  {name: 'one by one', individualReports: true},
  {name: 'no reports', noRunningReports: true},
];

function scaleLoad(load: GatewayLoad, scale: number): GatewayLoad {
  const {engines, services} = load;
  return {
    ...load,
    gateways: load.gateways * scale,
    engines: {...engines, count: engines.count * scale},
    services: {...services, count: services.count * scale},
    kinds: load.kinds.map(kind => ({
      ...kind,
      perSecond: kind.perSecond * scale,
    })),
  };
}

/** @returns caller outcomes by the number of gateways and their reports */
export async function measureGatewaySize(): Promise<readonly MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const [base] = GATEWAY_LOADS;
  if (!base) return [];
  const rows = SCALES.flatMap(scale => {
    const load = scaleLoad(base, scale);
    return VARIANTS.map(variant => {
      const settings = {load, variant, disturbances: [], endMs: END_MS};
      const {mean} = simulateSeeds(settings, hasher, SEEDS);
      return [
        load.gateways,
        variant.name,
        roundTo(mean.onTimePercent, 1),
        roundTo(mean.firstP99Ms, 0),
        roundTo(mean.rereadThousands / scale, 1),
      ];
    });
  });
  return [
    {
      title: "Gateways with reports of the others' requests",
      columns: [
        'gateways',
        'reports',
        'on time %',
        'first p99, ms',
        '1,000 tokens read again / size',
      ],
      rows,
      notes: [
        `load "${base.name}" times 1, 4 and 8, calm day, ${SEEDS} seeds, ${END_MS / 1_000} s each; npm run measure -- gateway-size`,
      ],
    },
  ];
}
