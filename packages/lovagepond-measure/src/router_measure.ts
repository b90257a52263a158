/**
 * Measurements of the router: added latency, processor time and memory.
 */
import {loadavg} from 'node:os';
import {type MeasureSection} from './measure_types.js';
import {measureRouterCost} from './router_cost_measure.js';
import {measureRouterLatency} from './router_latency_measure.js';
import {measureRouterMemory} from './router_memory_measure.js';

/** Adds the load average: other work on the host lengthens the times. */
function noteLoad(section: MeasureSection): MeasureSection {
  const [minute = 0] = loadavg();
  const note = `load average of the host at the end: ${minute.toFixed(1)}`;
  return {...section, notes: [...section.notes, note]};
}

/** @returns the router's tables */
export async function measureRouter(): Promise<MeasureSection[]> {
  return [
    noteLoad(await measureRouterLatency()),
    noteLoad(await measureRouterCost()),
    noteLoad(await measureRouterMemory()),
  ];
}
