/**
 * Metrics that several roles have.
 */
import {type DumpMetric} from './role_metrics_types.js';

export const REVISION: DumpMetric = {
  kind: 'gauge',
  name: 'lovagepond_configuration_revision',
  help: 'Configuration revision that this process holds.',
  path: ['revision'],
};

export const SUSPECTED_REQUESTS: DumpMetric = {
  kind: 'gauge',
  name: 'lovagepond_suspected_requests',
  help: 'Requests that servers crashed under, quarantined or not.',
  path: ['suspectedRequests'],
};
