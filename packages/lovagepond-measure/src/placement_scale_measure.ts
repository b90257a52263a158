/**
 * The default policy at the size that the users require: 640 replicas, and
 * hundreds of routers that each see a small share of the traffic.
 */
import {loadKeyHasher} from '@lovagepond/router';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {
  COLUMNS,
  DEFAULT_VARIANT,
  makeKioskDeployment,
  summarize,
  VARIANTS,
} from './placement_measure.js';
import {PlacementSimulation} from './placement_simulation.js';
import {type PlacementSimulationSettings} from './placement_simulation_types.js';
import {makeKioskArrivals} from './placement_workload.js';

const SEED = 830;
const SERVERS = 640;
const ROUTERS = 370;
const END_MS = 75_000;
const WARM_UP_MS = 50_000;
/** Multiple of the workload of a deployment of six engines. */
const SCALE = SERVERS / 6;

/** @returns one table at the required size */
export async function measurePlacementScale(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const arrivals = makeKioskArrivals({endMs: END_MS, scale: SCALE}, SEED);
  const settings: PlacementSimulationSettings = {
    ...makeKioskDeployment(0, SEED).settings,
    endMs: END_MS,
    warmUpMs: WARM_UP_MS,
    servers: SERVERS,
    routers: ROUTERS,
    replaceEveryMs: 20_000,
    flapEveryMs: 15_000,
  };
  const rows = VARIANTS.filter(({name}) => name === DEFAULT_VARIANT).map(
    variant => {
      const started = performance.now();
      const result = new PlacementSimulation(settings, variant, hasher).run(
        arrivals,
      );
      const seconds = (performance.now() - started) / 1000;
      return [...summarize(variant, result), roundTo(seconds, 1)];
    },
  );
  const perSecond = Math.round(arrivals.length / (END_MS / 1000));
  return [
    {
      title: `Resuming kiosks at ${SERVERS} servers and ${ROUTERS} routers`,
      columns: [...COLUMNS, 'run s'],
      rows,
      notes: [
        `seed ${SEED}; npm run measure -- placement-scale`,
        `${arrivals.length} requests in ${END_MS / 1000} s of virtual time ` +
          `(${perSecond}/s; the required peak is 4,300/s), measured from ` +
          `${WARM_UP_MS / 1000} s on, over the resumption at 60 s`,
        'scaled: minutes in place of days; a server replaced every 20 s, ' +
          'where the users expect one in 11 minutes; skew sampled every 50 ms; ' +
          'no oracle (its cost grows with the square)',
      ],
    },
  ];
}
