/**
 * Measurements of consensus: commit rate, failover, snapshots and restarts.
 */
import {measureCommitRate} from './consensus_commit_measure.js';
import {
  measureFailover,
  measureGroupRestart,
} from './consensus_failover_measure.js';
import {
  measureLogReplay,
  measureSnapshots,
} from './consensus_snapshot_measure.js';
import {type MeasureSection} from './measure_types.js';

/** @returns the tables of consensus */
export async function measureConsensus(): Promise<readonly MeasureSection[]> {
  return [
    await measureCommitRate(),
    measureFailover(),
    measureGroupRestart(),
    await measureSnapshots(),
    await measureLogReplay(),
  ];
}
