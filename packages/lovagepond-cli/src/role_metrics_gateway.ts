/**
 * Metrics of a gateway.
 */
import {ADMISSION_METRICS} from './role_metrics_admission.js';
import {
  RETRIES_LEFT,
  REVISION,
  SUSPECTED_REQUESTS,
} from './role_metrics_shared.js';
import {type DumpMetric} from './role_metrics_types.js';

export const GATEWAY_METRICS: readonly DumpMetric[] = [
  REVISION,
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_requests_in_flight',
    help: 'Forwarded requests that have no final answer yet.',
    path: ['inFlight'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_connections_closed_unread_total',
    help: 'Connections of callers closed unread as too many were open.',
    path: ['intake', 'closedUnread'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_connections_closed_total',
    help: 'Connections of callers closed because of a limit, by limit.',
    labelledObjects: {paths: [['intake', 'closedByLimit']], label: 'limit'},
  },
  {
    kind: 'gauge',
    name: 'lovagepond_held_body_bytes',
    help: 'Memory of the bodies of requests, bytes.',
    path: ['intake', 'heldBodyBytes'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_intake_pauses_total',
    help: 'Times at which connections were refused as others waited too long.',
    path: ['intake', 'pauses'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_connection_wait_ms',
    help: 'Wait of connections until they were accepted lately, milliseconds.',
    path: ['intake', 'waitMs'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_connections_opened_total',
    help: 'Connections opened to backend servers.',
    path: ['connectionsOpened'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_requests_ended_total',
    help: 'Forwarded requests that were offered to a server, by their end.',
    labelledObjects: {paths: [['endedByOutcome']], label: 'outcome'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_refusals_total',
    help: 'Requests answered with an error, by kind.',
    labelledObjects: {paths: [['refusedByKind']], label: 'kind'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_attempts_failed_total',
    help: 'Attempts that brought no whole answer, by their end.',
    labelledObjects: {paths: [['failedAttemptsByOutcome']], label: 'outcome'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_retries_total',
    help: 'Attempts after the first one.',
    path: ['secondTries'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_exceptions_total',
    help: 'Requests that an unexpected exception has ended.',
    path: ['exceptions'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_retry_decisions_total',
    help: 'Retries that were granted, taken alone, or refused, by reason.',
    labelledObjects: {paths: [['retries', 'decisions']], label: 'decision'},
  },
  RETRIES_LEFT,
  {
    kind: 'counter',
    name: 'lovagepond_gateway_servers_crashed_total',
    help: 'Backend servers that ended while they ran requests of this gateway.',
    path: ['crashedServers'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_servers_rejected',
    help: 'Listed backend servers that can not be forwarded to.',
    path: ['rejectedServers'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_servers_paused',
    help: 'Backend servers that asked this gateway for a pause.',
    path: ['pausedServers'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_servers_leaving',
    help: 'Backend servers that told this gateway that they are about to exit.',
    path: ['leavingServers'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_servers_by_version',
    help: 'Listed backend servers, by pool and software version.',
    labelledObjects: {paths: [['serversByVersion']], label: 'version'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_stream_lookups_total',
    help: 'Requests that resume a stream, by who knew where it began.',
    labelledObjects: {paths: [['streams', 'lookups']], label: 'source'},
  },
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_stream_records',
    help: 'Records of where streams began that this gateway keeps.',
    path: ['streams', 'records'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_stream_peers',
    help: 'Other gateways that share records of streams with this one.',
    path: ['streams', 'peers'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_permits_total',
    help: 'Decisions on permits that this gateway asked for.',
    labelledObjects: {paths: [['permits', 'decisions']], label: 'decision'},
  },
  {
    kind: 'gauge',
    name: 'lovagepond_gateway_permit_servers',
    help: 'Backend servers whose requests this gateway counts for all gateways.',
    path: ['permits', 'issuedServers'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_gateway_warm_up_permits_total',
    help: 'Questions for requests to servers that are warming up, by their end.',
    labelledObjects: {paths: [['warmUp']], label: 'decision'},
  },
  SUSPECTED_REQUESTS,
  ...ADMISSION_METRICS,
];
