/**
 * Measurements of the control role: claims, snapshots, propagation of changes,
 * subscribers, announcements and memory.
 */
import {measureClaimRate} from './claim_rate_measure.js';
import {measureAnnouncements} from './control_announce_measure.js';
import {measureControlMemory} from './control_memory_measure.js';
import {
  measureChangePropagation,
  measureIdleSubscribers,
} from './control_propagation_measure.js';
import {measureLedgerForms} from './ledger_form_measure.js';
import {measureLedgerSnapshots} from './ledger_snapshot_measure.js';
import {type MeasureSection} from './measure_types.js';

/** @returns the control role's tables */
export async function measureControl(): Promise<MeasureSection[]> {
  return [
    await measureClaimRate(),
    measureLedgerForms(),
    measureLedgerSnapshots(),
    await measureChangePropagation(),
    await measureIdleSubscribers(),
    await measureAnnouncements(),
    measureControlMemory(),
  ];
}
