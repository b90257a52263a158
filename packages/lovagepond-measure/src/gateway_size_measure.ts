/**
 * What gateways lose by knowing less of each other where there are many: the same
 * load for each, from one size to eight times it.
 */
import {loadKeyHasher} from '@lovagepond/router';
import {playSeeds} from './gateway_play_measure.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {PLAY_LOADS} from './play_loads.js';
import {type PlayLoad, type PlayVariant} from './play_types.js';

const TIMES = [1, 4, 8] as const;
const SEEDS = 3;
const END_MS = 20_000;

const VARIANTS: readonly PlayVariant[] = [
  {name: 'sums'},
  {name: 'one by one', eachRunning: true},
  {name: 'not told', silentRunning: true},
];

function enlarge(load: PlayLoad, times: number): PlayLoad {
  const {engines, services} = load;
  return {
    ...load,
    gateways: load.gateways * times,
    engines: {...engines, count: engines.count * times},
    services: {...services, count: services.count * times},
    kinds: load.kinds.map(kind => ({
      ...kind,
      perSecond: kind.perSecond * times,
    })),
  };
}

/** @returns what callers get by the number of gateways and what they hear */
export async function measureGatewaySize(): Promise<readonly MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const [base] = PLAY_LOADS;
  if (!base) return [];
  const rows = TIMES.flatMap(times => {
    const load = enlarge(base, times);
    return VARIANTS.map(variant => {
      const play = {load, variant, troubles: [], endMs: END_MS};
      const {mean} = playSeeds(play, hasher, SEEDS);
      return [
        load.gateways,
        variant.name,
        roundTo(mean.onTimePercent, 1),
        roundTo(mean.firstP99Ms, 0),
        roundTo(mean.rereadThousands / times, 1),
      ];
    });
  });
  return [
    {
      title: "Gateways that hear the others' requests",
      columns: [
        'gateways',
        'what they hear',
        'on time %',
        'first p99, ms',
        '1,000 tokens read again, by size',
      ],
      rows,
      notes: [
        `load "${base.name}" times 1, 4 and 8, calm day, ${SEEDS} seeds, ${END_MS / 1_000} s each; npm run measure -- gateway-size`,
      ],
    },
  ];
}
