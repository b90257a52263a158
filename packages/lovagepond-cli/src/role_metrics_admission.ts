/**
 * Metrics of a gateway's admission control.
 */
import {type DumpMetric} from './role_metrics_types.js';

/** Admission control of the pools that have it. */
export const ADMISSION_METRICS: readonly DumpMetric[] = [
  {
    kind: 'gauge',
    name: 'lovagepond_admission_waiting',
    help: 'Requests that wait at the gateway, by pool.',
    labelledObjects: {paths: [['admission', 'waitingByPool']], label: 'pool'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_admission_refused_total',
    help: 'Requests refused by admission control, by reason.',
    labelledObjects: {
      paths: [['admission', 'refusedByReason']],
      label: 'reason',
    },
  },
  {
    kind: 'counter',
    name: 'lovagepond_admission_wait_seconds_sum',
    help: 'Time that requests waited before they were sent, in seconds.',
    path: ['admission', 'waitSeconds'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_admission_wait_seconds_count',
    help: 'Requests that waited before they were sent.',
    path: ['admission', 'waitedRequests'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_admission_engaged_servers',
    help: 'Backend servers whose window limits this gateway, by pool.',
    labelledObjects: {paths: [['admission', 'engagedByPool']], label: 'pool'},
  },
];
