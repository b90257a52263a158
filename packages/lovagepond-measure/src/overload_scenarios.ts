/**
 * The scenarios of the overload measurement.
 */
import {
  type BackendSpec,
  type OverloadScenario,
  type Window,
} from './overload_types.js';

const SERVICES: BackendSpec = {
  kind: 'service',
  count: 4,
  slots: 4,
  queue: 24,
  workMs: 40,
  prefillRate: 1,
  cacheTokens: 0,
  firstServerFactor: 1,
};

const ENGINES: BackendSpec = {
  ...SERVICES,
  kind: 'engine',
  slots: 16,
  queue: 400,
  prefillRate: 10,
  cacheTokens: 300_000,
};

/** Holds the prefixes of a quarter of the callers and a few running prompts. */
const LITTLE_CACHE_TOKENS = 8_000;

const CALLS_WINDOW: Window = {name: 'all', fromMs: 0, toMs: 5_000};
const STREAMS_WINDOW: Window = {name: 'all', fromMs: 0, toMs: 8_000};

const CALLS = {
  gateways: 2,
  controls: 1,
  backends: SERVICES,
  prefixes: 0,
  prefillSetting: 40,
  windows: [CALLS_WINDOW],
} as const;

const STREAMS = {
  ...CALLS,
  backends: ENGINES,
  prefixes: 8,
  prefillSetting: 10,
  windows: [STREAMS_WINDOW],
} as const;

/** The name of the curves' scenarios; the SVG plot reads load and queue. */
export const CURVE_NAME = /^calls-([\d.]+)x-q(\d+)$/;

const LOADS = [0.5, 0.7, 1, 1.75, 2, 3];
const QUEUES = [24, 400];

/** The loads of {@link CURVE_NAME} for both sizes of the servers' queue. */
const CURVES: readonly OverloadScenario[] = QUEUES.flatMap(queue =>
  LOADS.map(load => ({
    ...CALLS,
    name: `calls-${load}x-q${queue}`,
    backends: {...SERVICES, queue},
    groups: [{workspace: 'w', kind: 'call', load}],
  })),
);

const SMALL_AND_LARGE = [
  {workspace: 'small', kind: 'call', load: 1.75 / 9},
  {workspace: 'large', kind: 'call', load: (1.75 * 8) / 9},
];

const URGENT_AND_OTHER = [
  {workspace: 'w', kind: 'urgent-call', load: 0.4},
  {workspace: 'w', kind: 'call', load: 1.35},
];

const SURGE_AT_MS = 2_000;
const SURGE_END_MS = 4_000;

const DISTURBED: readonly OverloadScenario[] = [
  {
    ...CALLS,
    name: 'calls-surge',
    groups: [{workspace: 'w', kind: 'call', load: 0.5}],
    surge: {fromMs: SURGE_AT_MS, toMs: SURGE_END_MS, factor: 6},
    windows: [
      {name: 'before', fromMs: 0, toMs: SURGE_AT_MS},
      {name: 'surge', fromMs: SURGE_AT_MS, toMs: SURGE_END_MS},
      {name: '2 s later', fromMs: 6_000, toMs: 8_000},
    ],
  },
  {
    ...CALLS,
    name: 'calls-slow-server',
    backends: {...SERVICES, firstServerFactor: 3},
    groups: [{workspace: 'w', kind: 'call', load: 0.7}],
  },
  {
    ...CALLS,
    name: 'calls-half-slow',
    disturbance: 'slowHalf',
    groups: [{workspace: 'w', kind: 'call', load: 0.6}],
    windows: [{...CALLS_WINDOW, toMs: 6_000, capacity: 2 / 3}],
  },
  {
    ...CALLS,
    name: 'calls-third-crashes',
    backends: {...SERVICES, count: 6},
    disturbance: 'crashThird',
    groups: [{workspace: 'w', kind: 'call', load: 0.6}],
    windows: [{...CALLS_WINDOW, toMs: 6_000, capacity: 2 / 3}],
  },
  {
    ...CALLS,
    name: 'calls-gateway-killed',
    disturbance: 'killGateway',
    groups: [{workspace: 'w', kind: 'call', load: 1.75}],
  },
  {
    ...CALLS,
    name: 'calls-gateway-frozen',
    disturbance: 'freezeGateway',
    // The first group's gateway freezes for two seconds; the other's doesn't.
    groups: [
      {workspace: 'frozen', kind: 'call', load: 0.875, gateways: [0]},
      {workspace: 'other', kind: 'call', load: 0.875, gateways: [1]},
    ],
  },
  {
    ...CALLS,
    name: 'calls-control-gone',
    controls: 3,
    disturbance: 'stopControl',
    groups: SMALL_AND_LARGE,
  },
];

function asStreams(
  groups: OverloadScenario['groups'],
): OverloadScenario['groups'] {
  return groups.map(group => ({
    ...group,
    kind: group.kind.replace('call', 'stream'),
  }));
}

const STREAM_SCENARIOS: readonly OverloadScenario[] = [
  {
    ...STREAMS,
    name: 'streams-0.8x',
    groups: [{workspace: 'w', kind: 'stream', load: 0.8}],
  },
  {
    ...STREAMS,
    name: 'streams-0.8x-setting-40',
    prefillSetting: 40,
    groups: [{workspace: 'w', kind: 'stream', load: 0.8}],
  },
  {
    ...STREAMS,
    name: 'streams-1.7x',
    groups: [{workspace: 'w', kind: 'stream', load: 1.7}],
  },
  {
    ...STREAMS,
    name: 'streams-1.7x-setting-40',
    prefillSetting: 40,
    groups: [{workspace: 'w', kind: 'stream', load: 1.7}],
  },
  {
    ...STREAMS,
    name: 'streams-small-large',
    groups: asStreams(SMALL_AND_LARGE),
  },
  {
    ...STREAMS,
    name: 'streams-urgent',
    groups: asStreams(URGENT_AND_OTHER),
  },
  {
    ...STREAMS,
    name: 'streams-little-cache',
    prefixes: 64,
    backends: {...ENGINES, cacheTokens: LITTLE_CACHE_TOKENS},
    groups: [{workspace: 'w', kind: 'stream', load: 1.7}],
  },
];

const TWO_GATEWAYS: readonly OverloadScenario[] = [
  ...CURVES,
  {...CALLS, name: 'calls-small-large', groups: SMALL_AND_LARGE},
  {
    ...CALLS,
    name: 'calls-one-gateway-large',
    // The large workspace's callers are all connected to one gateway.
    groups: SMALL_AND_LARGE.map((group, at) => ({...group, gateways: [at]})),
  },
  {...CALLS, name: 'calls-urgent', groups: URGENT_AND_OTHER},
  ...DISTURBED,
  ...STREAM_SCENARIOS,
];

/** Scenarios that are repeated with 20 gateways. */
const MANY_GATEWAYS = new Set([
  'calls-0.7x-q24',
  'calls-1.75x-q24',
  'calls-3x-q400',
  'calls-small-large',
  'calls-urgent',
  'calls-gateway-killed',
  'streams-1.7x',
  'streams-small-large',
]);

export const OVERLOAD_SCENARIOS: readonly OverloadScenario[] = [
  ...TWO_GATEWAYS,
  ...TWO_GATEWAYS.filter(({name}) => MANY_GATEWAYS.has(name)).map(one => ({
    ...one,
    name: `${one.name}-20gw`,
    gateways: 20,
  })),
];
