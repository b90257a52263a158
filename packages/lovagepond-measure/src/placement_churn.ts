/**
 * Membership churn: planned leaves and crashes in turn, and servers that are
 * delisted for seconds while they continue to serve.
 */
import {type Random} from '@lovagepond/core';
import {type PlacementSimulation} from './placement_simulation.js';

const REPLACEMENT_DELAY_MS = 10_000;
const FLAP_MS = 4_000;

/**
 * Schedules the churn of a whole simulation.
 *
 * @param fleet the simulation whose servers leave, crash and flap
 * @param random draws the servers
 */
export function scheduleChurn(
  fleet: PlacementSimulation,
  random: Random,
): void {
  const {replaceEveryMs, flapEveryMs} = fleet.settings;
  if (replaceEveryMs > 0) {
    let replaced = 0;
    fleet.time.every(replaceEveryMs, replaceEveryMs / 2, () => {
      const server = random.pick(fleet.ready);
      if (replaced % 2 === 0) fleet.drain(server);
      else fleet.crash(server);
      replaced++;
      fleet.time.after(REPLACEMENT_DELAY_MS, () => fleet.join());
    });
  }
  if (flapEveryMs > 0) {
    fleet.time.every(flapEveryMs, flapEveryMs, () => {
      const server = random.pick(fleet.ready);
      fleet.delist(server);
      fleet.time.after(FLAP_MS, () => fleet.relist(server));
    });
  }
}
