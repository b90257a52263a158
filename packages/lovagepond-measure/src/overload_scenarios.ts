/**
 * The scenarios of the overload measurement.
 */
import {
  type BackendSpec,
  type CallerGroup,
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

/** Holds a quarter of 64 prefixes beside a few running prompts. */
const LITTLE_CACHE = {...ENGINES, cacheTokens: 8_000};

type Changes = Partial<OverloadScenario>;

function window(fromMs: number, toMs: number, name = 'all'): Window {
  return {name, fromMs, toMs};
}

function calls(
  name: string,
  groups: number | readonly CallerGroup[],
  changes: Changes = {},
): OverloadScenario {
  return {
    name: `calls-${name}`,
    gateways: 2,
    controls: 1,
    backends: SERVICES,
    prefixes: 0,
    prefillSetting: 40,
    windows: [window(0, 5_000)],
    groups:
      typeof groups === 'number'
        ? [{workspace: 'w', kind: 'call', load: groups}]
        : groups,
    ...changes,
  };
}

/** Two prefixes are the worst case for placement: four engines share them. */
function streams(
  name: string,
  groups: number | readonly CallerGroup[],
  changes: Changes = {},
): OverloadScenario {
  const scenario = calls(name, groups, {
    backends: ENGINES,
    prefixes: 2,
    prefillSetting: 10,
    windows: [window(0, 8_000)],
    ...changes,
  });
  const toStream = (kind: string): string => kind.replace('call', 'stream');
  return {
    ...scenario,
    name: `streams-${name}`,
    groups: scenario.groups.map(one => ({...one, kind: toStream(one.kind)})),
  };
}

/** The names of the curves' scenarios; the SVG plot reads load and queue. */
export const CURVE_NAME = /^calls-([\d.]+)x-q(\d+)$/;

const CURVES = [24, 400].flatMap(queue =>
  [0.5, 0.7, 1, 1.75, 2, 3].map(load =>
    calls(`${load}x-q${queue}`, load, {backends: {...SERVICES, queue}}),
  ),
);

const SMALL_AND_LARGE = [
  {workspace: 'small', kind: 'call', load: 1.75 / 9},
  {workspace: 'large', kind: 'call', load: (1.75 * 8) / 9},
];

const URGENT_AND_OTHER = [
  {workspace: 'w', kind: 'urgent-call', load: 0.4},
  {workspace: 'w', kind: 'call', load: 1.35},
];

/** Gateway 0 is the one that a disturbance freezes. */
const FROZEN_AND_OTHER = [
  {workspace: 'frozen', kind: 'call', load: 0.875, gateways: [0]},
  {workspace: 'other', kind: 'call', load: 0.875, gateways: [1]},
];

const REDUCED = {...window(0, 4_000, 'reduced'), capacity: 2 / 3};

const DISTURBED = [
  calls('surge', 0.5, {
    surge: {fromMs: 2_000, toMs: 4_000, factor: 6},
    windows: [
      window(0, 2_000, 'before'),
      window(2_000, 4_000, 'surge'),
      window(6_000, 8_000, '2 s later'),
    ],
  }),
  calls('slow-server', 0.84, {backends: {...SERVICES, firstServerFactor: 3}}),
  calls('half-slow', 0.6, {disturbance: 'slowHalf', windows: [REDUCED]}),
  calls('third-crashes', 0.6, {
    backends: {...SERVICES, count: 6},
    disturbance: 'crashThird',
    windows: [REDUCED, window(5_000, 7_000, 'back')],
  }),
  calls('gateway-killed', 1.75, {disturbance: 'killGateway'}),
  calls('gateway-frozen', FROZEN_AND_OTHER, {
    disturbance: 'freezeGateway',
    windows: [window(0, 2_000, 'frozen'), window(4_000, 6_000, '2 s later')],
  }),
  calls('control-gone', SMALL_AND_LARGE, {
    controls: 3,
    disturbance: 'stopControl',
  }),
];

const TWO_GATEWAYS: readonly OverloadScenario[] = [
  ...CURVES,
  calls('small-large', SMALL_AND_LARGE),
  calls(
    'one-gateway-each',
    SMALL_AND_LARGE.map((group, at) => ({...group, gateways: [at]})),
  ),
  calls('urgent', URGENT_AND_OTHER),
  ...DISTURBED,
  streams('0.8x', 0.8),
  streams('0.8x-setting-40', 0.8, {prefillSetting: 40}),
  streams('1.7x', 1.7),
  streams('1.7x-setting-40', 1.7, {prefillSetting: 40}),
  streams('small-large', SMALL_AND_LARGE),
  streams('urgent', URGENT_AND_OTHER),
  streams('little-cache', 1.7, {backends: LITTLE_CACHE, prefixes: 64}),
  streams('half-slow', 0.6, {
    disturbance: 'slowHalf',
    windows: [{...REDUCED, toMs: 8_000}],
  }),
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
