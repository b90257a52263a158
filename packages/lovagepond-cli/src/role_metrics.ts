/**
 * Metrics of each role, read from its state dump at each scrape.
 *
 * The state dump is the only source of a role's counters, so that metrics and
 * dump always agree.
 */
import {type Role, type StateDump} from '@lovagepond/core';
import {type MetricsRegistry, type Sample} from '@lovagepond/process';
import {type RoleName} from './cli_constants.js';
import {GATEWAY_METRICS} from './role_metrics_gateway.js';
import {
  RETRIES_LEFT,
  REVISION,
  SUSPECTED_REQUESTS,
} from './role_metrics_shared.js';
import {type DumpMetric, type Path} from './role_metrics_types.js';

function makeControlBytes(paths: Readonly<Record<string, Path>>): DumpMetric {
  return {
    kind: 'counter',
    name: 'lovagepond_control_bytes_total',
    help: 'Control traffic of this process in bytes.',
    parts: {label: 'direction', paths},
  };
}

const ROUTER_METRICS: readonly DumpMetric[] = [
  makeControlBytes({
    received: ['controlBytesReceived'],
    sent: ['controlBytesSent'],
  }),
  REVISION,
  {
    kind: 'counter',
    name: 'lovagepond_refusals_total',
    help: 'Requests answered with an error, by kind.',
    labelledObjects: {
      paths: [['failedByKind'], ['front', 'refusedByKind']],
      label: 'kind',
    },
  },
  {
    kind: 'counter',
    name: 'lovagepond_connections_closed_total',
    help: 'Connections of callers closed because of a limit, by limit.',
    labelledObjects: {paths: [['front', 'closedByLimit']], label: 'limit'},
  },
  {
    kind: 'gauge',
    name: 'lovagepond_held_body_bytes',
    help: 'Memory of the bodies of requests, bytes.',
    path: ['front', 'heldBodyBytes'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_requests_answered_total',
    help: 'Requests answered whole.',
    path: ['answered'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_returning_chats_total',
    help: 'Dispatches of returning chats.',
    path: ['returning'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_returning_chats_warm_total',
    help: 'Dispatches of returning chats whose context was warm.',
    path: ['returningWarm'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_load_skew_ratio',
    help: "A pool's busiest ready server over the mean, as known here.",
    labelledObjects: {paths: [['skew']], label: 'pool'},
  },
  {
    kind: 'gauge',
    name: 'lovagepond_requests_in_flight',
    help: 'Requests in flight.',
    path: ['inFlight'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_backend_servers',
    help: 'Backend servers in the membership that this router holds.',
    path: ['backendServers'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_suspected_servers',
    help: 'Backend servers that this router has evidence against.',
    path: ['suspects'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_frames_dropped_total',
    help: 'Frames thrown away, by reason.',
    labelledObjects: {paths: [['droppedByReason']], label: 'reason'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_hops_total',
    help: 'Pointers, hand-overs and revision exchanges followed.',
    path: ['hops'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_retries_total',
    help: 'Attempts after the first one.',
    path: ['retries'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_probes_total',
    help: 'Probes sent to sidecars.',
    path: ['probes'],
  },
  SUSPECTED_REQUESTS,
];

const SIDECAR_METRICS: readonly DumpMetric[] = [
  makeControlBytes({received: ['controlBytes']}),
  {...REVISION, path: ['gate', 'revision']},
  {
    kind: 'counter',
    name: 'lovagepond_refusals_total',
    help: 'Attempts refused, truly not run, by kind.',
    labelledObjects: {paths: [['attempts', 'refusedByKind']], label: 'kind'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_failures_total',
    help: 'Attempts that failed after dispatch, by kind.',
    labelledObjects: {paths: [['attempts', 'failedByKind']], label: 'kind'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_requests_answered_total',
    help: 'Attempts answered whole.',
    path: ['attempts', 'answered'],
  },
  {
    kind: 'counter',
    name: 'lovagepond_cached_tokens_total',
    help: 'Prompt tokens that the engine found in its cache.',
    path: ['attempts', 'cachedTokens'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_load_tokens',
    help: 'Estimated tokens at the backend server and in the queue.',
    parts: {
      label: 'state',
      paths: {
        running: ['gate', 'runningTokens'],
        queued: ['gate', 'queuedTokens'],
        limit: ['gate', 'limitTokens'],
        poolMean: ['gate', 'poolMeanTokens'],
      },
    },
  },
  {
    kind: 'counter',
    name: 'lovagepond_requests_taken_total',
    help: 'Requests taken from longer queues.',
    path: ['taken'],
  },
];

const CONTROL_METRICS: readonly DumpMetric[] = [
  REVISION,
  RETRIES_LEFT,
  {
    kind: 'counter',
    name: 'lovagepond_control_retries_granted_total',
    help: 'Retries granted to gateways by this member, by pool.',
    labelledObjects: {paths: [['retries', 'grantedByPool']], label: 'pool'},
  },
  {
    kind: 'counter',
    name: 'lovagepond_control_retries_refused_total',
    help: 'Retries refused as none was left, by pool.',
    labelledObjects: {paths: [['retries', 'refusedByPool']], label: 'pool'},
  },
  {
    kind: 'gauge',
    name: 'lovagepond_backend_servers',
    help: 'Backend servers announced.',
    path: ['backendServers'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_subscribers',
    help: 'Routers and sidecars subscribed at this member.',
    path: ['subscribers'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_control_fresh',
    help: '1 while this member is in touch with a majority.',
    path: ['fresh'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_consensus_index',
    help: 'Log positions of this member.',
    parts: {
      label: 'position',
      paths: {
        commit: ['consensus', 'commitIndex'],
        applied: ['consensus', 'appliedIndex'],
        last: ['consensus', 'lastIndex'],
        snapshot: ['consensus', 'snapshotIndex'],
      },
    },
  },
  {
    kind: 'gauge',
    name: 'lovagepond_consensus_term',
    help: 'Term of this member.',
    path: ['consensus', 'term'],
  },
  {
    kind: 'gauge',
    name: 'lovagepond_ledger_entries',
    help: 'Calls that may not be repeated, by the state of their entry.',
    labelledObjects: {paths: [['ledger']], label: 'state'},
  },
  SUSPECTED_REQUESTS,
];

const METRICS_BY_ROLE: Readonly<Record<RoleName, readonly DumpMetric[]>> = {
  router: ROUTER_METRICS,
  sidecar: SIDECAR_METRICS,
  control: CONTROL_METRICS,
  gateway: GATEWAY_METRICS,
};

function findValue(state: unknown, path: Path): unknown {
  let value = state;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Readonly<Record<string, unknown>>)[key];
  }
  return value;
}

function toNumber(value: unknown): number | undefined {
  if (typeof value === 'boolean') return Number(value);
  return typeof value === 'number' && Number.isFinite(value)
    ? value
    : undefined;
}

function toSample(
  value: unknown,
  labels: Readonly<Record<string, string>>,
): Sample[] {
  const number = toNumber(value);
  return number === undefined ? [] : [{labels, value: number}];
}

function readSamples(metric: DumpMetric, {state}: StateDump): Sample[] {
  const {path, labelledObjects, parts: labelledNumbers} = metric;
  if (path) return toSample(findValue(state, path), {});
  if (labelledObjects) {
    const counts = labelledObjects.paths.map(
      valuePath => findValue(state, valuePath) ?? {},
    );
    return counts
      .flatMap(Object.entries)
      .flatMap(([key, value]) =>
        toSample(value, {[labelledObjects.label]: key}),
      );
  }
  if (!labelledNumbers) return [];
  return Object.entries(labelledNumbers.paths).flatMap(([key, valuePath]) =>
    toSample(findValue(state, valuePath), {[labelledNumbers.label]: key}),
  );
}

function labelNamesOf({
  labelledObjects,
  parts: labelledNumbers,
}: Pick<DumpMetric, 'labelledObjects' | 'parts'>): string[] {
  const label = labelledObjects?.label ?? labelledNumbers?.label;
  return label === undefined ? [] : [label];
}

/** A role of this process whose metrics are exported. */
export interface MeteredRole {
  readonly kind: RoleName;
  /** The process name from its settings. */
  readonly name: string;
  readonly role: Role;
}

function readRole(
  {kind, name, role}: MeteredRole,
  metricName: string,
): Sample[] {
  const metric = METRICS_BY_ROLE[kind].find(row => row.name === metricName);
  if (!metric) return [];
  return readSamples(metric, role.dump()).map(({labels, value}) => ({
    labels: {role: kind, process: name, ...labels},
    value,
  }));
}

/**
 * Registers the metrics of every role of this process. A metric that several
 * kinds of roles share is registered once; its labels name the role.
 *
 * @param metrics the process's registry
 * @param roles the roles
 */
export function registerRoleMetrics(
  metrics: MetricsRegistry,
  roles: readonly MeteredRole[],
): void {
  const rows = new Map<string, DumpMetric>();
  for (const {kind} of roles) {
    for (const metric of METRICS_BY_ROLE[kind]) rows.set(metric.name, metric);
  }
  for (const {kind, name, help, ...sources} of rows.values()) {
    metrics.observe({
      kind,
      name,
      help,
      labelNames: ['role', 'process', ...labelNamesOf(sources)],
      read: () => roles.flatMap(role => readRole(role, name)),
    });
  }
}
