/**
 * Measurements of the sidecar: cost of decisions, memory, fairness and control
 * traffic.
 */
import {type MeasureSection} from './measure_types.js';
import {measureSidecarControl} from './sidecar_control_measure.js';
import {measureGateCost} from './sidecar_cost_measure.js';
import {measureFairness} from './sidecar_fairness_measure.js';
import {measureSidecarMemory} from './sidecar_memory_measure.js';

/** @returns the sidecar's tables */
export function measureSidecar(): Promise<readonly MeasureSection[]> {
  return Promise.resolve([
    measureGateCost(),
    measureSidecarMemory(),
    measureFairness(),
    measureSidecarControl(),
  ]);
}
