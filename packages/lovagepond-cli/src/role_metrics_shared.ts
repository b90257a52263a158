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

export const RETRIES_LEFT: DumpMetric = {
  kind: 'gauge',
  name: 'lovagepond_retries_left',
  help: 'Retries that all gateways together may still send, by pool.',
  labelledObjects: {paths: [['retries', 'leftByPool']], label: 'pool'},
};
