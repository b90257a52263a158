/**
 * The simulated deployments, after their users' descriptions.
 */
import {
  type Disturbance,
  type GatewayLoad,
  type LengthDistribution,
  type SimulatedRequestKind,
} from './gateway_simulation_types.js';

const HIGH = 9;

const LONG_WORK: LengthDistribution = {mean: 43, spread: 0.5, max: 320};
const SHORT_WORK: LengthDistribution = {mean: 21.4, spread: 0.5, max: 157};

/** Creates a kind of chat. */
function chat(
  name: string,
  perSecond: number,
  worth: readonly [onTime: number, late: number],
  times: readonly [targetMs: number, deadlineMs: number],
  prompt: NonNullable<SimulatedRequestKind['prompt']>,
  rank: number,
  repeatable = false,
): SimulatedRequestKind {
  return {
    name,
    perSecond,
    worth: worth[0],
    lateWorth: worth[1],
    targetLatencyMs: times[0],
    deadlineMs: times[1],
    priority: HIGH - rank,
    repeatable,
    maxAttempts: repeatable ? 2 : 1,
    prompt,
  };
}

/** Creates a kind of call of a plain service. */
function call(
  name: string,
  perSecond: number,
  lateWorth: number,
  times: readonly [targetMs: number, deadlineMs: number],
  repeatable: boolean,
  workMs: LengthDistribution = LONG_WORK,
): SimulatedRequestKind {
  return {
    name,
    perSecond,
    worth: 1,
    lateWorth,
    targetLatencyMs: times[0],
    deadlineMs: times[1],
    priority: HIGH - 2,
    repeatable,
    maxAttempts: repeatable ? 2 : 1,
    workMs,
    failureShare: repeatable ? 0.14 : 0.004,
  };
}

const LONG_DOCUMENT = {
  shared: [
    {tokens: {mean: 2_520, spread: 0.4, max: 6_290}, count: 4},
    {tokens: {mean: 6_100, spread: 0.7, max: 18_000}, count: 156},
  ],
  own: {mean: 580, spread: 1, max: 7_900},
  events: {mean: 10, spread: 1.4, max: 40},
};

const SUMMARY = {
  shared: [
    {tokens: {mean: 341, spread: 0.4, max: 851}, count: 80},
    {tokens: {mean: 1_700, spread: 0.7, max: 5_100}, count: 174},
  ],
  own: {mean: 360, spread: 1.3, max: 1_400},
  events: {mean: 5, spread: 1.4, max: 13},
};

const SHORT_CHAT = {
  shared: [
    {tokens: {mean: 103, spread: 0.4, max: 257}, count: 16},
    {tokens: {mean: 500, spread: 0.7, max: 1_500}, count: 253},
  ],
  own: {mean: 110, spread: 0.89, max: 460},
  events: {mean: 56, spread: 0.7, max: 190},
};

const DENSE_ENGINE = {
  slots: 64,
  queue: 192,
  readTokensPerMs: 44.2,
  tokensPerEvent: 5,
  stepMs: 3.4,
  stepMsPerRequest: 0.017,
  firstMs: 0,
  fetchTokensPerMs: 1_678,
};

/** Coupons: six engines, nine entry hosts, four zones. */
const COUPONS: GatewayLoad = {
  name: 'coupons',
  gateways: 9,
  zones: 4,
  engines: {...DENSE_ENGINE, count: 6, memoryTokens: 345_426},
  services: {count: 4, slots: 6, queue: 24},
  loadBound: 2,
  kinds: [
    chat('offer', 13.9, [3.5, 0.35], [600, 5_000], LONG_DOCUMENT, 1),
    chat('tag', 10.3, [1.8, 0.18], [500, 3_000], SUMMARY, 0),
    chat('chat', 15, [0.44, 0.044], [400, 12_000], SHORT_CHAT, 2),
    call('write', 9.8, 0.1, [193, 1_500], false),
    call('read', 5.6, 0.1, [193, 1_500], true),
  ],
};

/** The coupons' later work on 37 engines and 31 entry hosts. */
const LATER_COUPONS: GatewayLoad = {
  name: 'later coupons',
  gateways: 31,
  zones: 4,
  engines: {
    ...DENSE_ENGINE,
    count: 37,
    memoryTokens: 236_081,
    tokensPerEvent: 8,
  },
  services: {count: 4, slots: 6, queue: 24},
  loadBound: 2,
  kinds: [
    chat(
      'offer',
      62.6,
      [3.5, 0.35],
      [615, 4_101],
      {
        shared: [
          {tokens: {mean: 2_520, spread: 0.4, max: 6_290}, count: 4},
          {tokens: {mean: 6_100, spread: 0.7, max: 18_000}, count: 354},
        ],
        own: {mean: 580, spread: 1, max: 7_900},
        events: {mean: 6.5, spread: 1.4, max: 26},
      },
      1,
    ),
    chat(
      'tag',
      80.3,
      [1.8, 0.18],
      [508, 3_049],
      {
        shared: [
          {tokens: {mean: 341, spread: 0.4, max: 851}, count: 16},
          {tokens: {mean: 1_700, spread: 0.7, max: 5_100}, count: 175},
        ],
        own: {mean: 360, spread: 1.3, max: 1_400},
        events: {mean: 2.8, spread: 1.4, max: 11},
      },
      0,
      true,
    ),
    chat(
      'chat',
      67.4,
      [0.44, 0.044],
      [406, 12_192],
      {
        shared: [
          {tokens: {mean: 103, spread: 0.4, max: 257}, count: 40},
          {tokens: {mean: 500, spread: 0.7, max: 1_500}, count: 382},
        ],
        own: {mean: 110, spread: 0.89, max: 460},
        events: {mean: 35, spread: 0.7, max: 119},
      },
      2,
    ),
    call('write', 76.6, 0.1, [148, 1_046], false, SHORT_WORK),
    call('read', 17.7, 0.1, [147, 1_041], true, SHORT_WORK),
  ],
};

/** Spill reports: six engines, seven entry hosts, three zones. */
const REPORTS: GatewayLoad = {
  name: 'reports',
  gateways: 7,
  zones: 3,
  engines: {...DENSE_ENGINE, count: 6, memoryTokens: 314_298},
  services: {count: 3, slots: 6, queue: 24},
  loadBound: 2,
  kinds: [
    chat('report', 13.9, [3.5, 1], [600, 5_000], LONG_DOCUMENT, 1),
    chat('summary', 10.3, [1.8, 0.55], [500, 3_000], SUMMARY, 0, true),
    chat('alert', 15, [0.44, 0.13], [400, 12_000], SHORT_CHAT, 2),
    call('write', 9.8, 0.3, [193, 1_000], false),
    call('read', 5.6, 0.3, [193, 1_000], true),
  ],
};

/** Letters of credit: thirteen engines, eight entry hosts, three zones. */
const LETTERS: GatewayLoad = {
  name: 'letters',
  gateways: 8,
  zones: 3,
  engines: {
    count: 13,
    slots: 64,
    queue: 192,
    readTokensPerMs: 55,
    memoryTokens: 514_346,
    tokensPerEvent: 7,
    stepMs: 2.89,
    stepMsPerRequest: 0.101,
    firstMs: 15,
    fetchTokensPerMs: 3_730,
  },
  services: {count: 3, slots: 6, queue: 24},
  loadBound: 2,
  kinds: [
    chat(
      'review',
      18.2,
      [4.5, 1.4],
      [1_000, 12_000],
      {
        shared: [
          {tokens: {mean: 512, spread: 0.4, max: 1_280}, count: 1},
          {tokens: {mean: 10_000, spread: 0.7, max: 30_000}, count: 88},
        ],
        own: {mean: 1_300, spread: 1.4, max: 11_000},
        events: {mean: 55, spread: 0.44, max: 160},
      },
      1,
    ),
    chat(
      'explain',
      30,
      [1.9, 0.57],
      [400, 12_000],
      {
        shared: [
          {tokens: {mean: 119, spread: 0.4, max: 298}, count: 40},
          {tokens: {mean: 580, spread: 0.7, max: 1_700}, count: 146},
        ],
        own: {mean: 130, spread: 1, max: 660},
        events: {mean: 42, spread: 0.69, max: 136},
      },
      0,
      true,
    ),
    chat(
      'check',
      26.5,
      [0.49, 0.15],
      [500, 3_000],
      {
        shared: [
          {tokens: {mean: 341, spread: 0.4, max: 851}, count: 20},
          {tokens: {mean: 1_700, spread: 0.7, max: 5_100}, count: 57},
        ],
        own: {mean: 360, spread: 1.3, max: 1_400},
        events: {mean: 3, spread: 1.4, max: 13},
      },
      2,
    ),
    call('amend', 18.7, 0.3, [193, 1_500], false),
    call('status', 7.5, 0.3, [193, 1_500], true),
  ],
};

/** Multiple of the usual load at which engines of a returned zone are wanted. */
const RETURN_LOAD = 3;

/** A few prompts that all callers share, on engines with short streams. */
const POPULAR: GatewayLoad = {
  name: 'popular prompts',
  gateways: 10,
  zones: 4,
  engines: {
    ...DENSE_ENGINE,
    count: 24,
    memoryTokens: 236_081,
    tokensPerEvent: 8,
  },
  services: {count: 4, slots: 6, queue: 24},
  loadBound: 2,
  clump: 3,
  kinds: [
    chat(
      'popular',
      130,
      [1, 0.1],
      [600, 4_000],
      {
        shared: [{tokens: {mean: 2_000, spread: 0.4, max: 6_000}, count: 4}],
        own: {mean: 200, spread: 0.7, max: 1_000},
        events: {mean: 33, spread: 0.4, max: 80},
      },
      1,
    ),
    call('read', 60, 0.1, [148, 1_046], true, SHORT_WORK),
  ],
};

/**
 * @param gateways number of gateways
 * @param prompts number of prompts that the callers share
 * @returns a load with few prompts and the same rate of requests
 */
export function popularPrompts(gateways: number, prompts: number): GatewayLoad {
  const kinds = POPULAR.kinds.map(kind => {
    if (!kind.prompt) return kind;
    const shared = kind.prompt.shared.map(part => ({...part, count: prompts}));
    return {...kind, prompt: {...kind.prompt, shared}};
  });
  return {...POPULAR, gateways, kinds};
}

/**
 * @param gateways number of gateways
 * @param engines number of engines, whose load it is the same
 * @param clump requests that arrive at one gateway at the same moment
 * @returns a load of two zones that is too high for one of them alone while the
 *     engines of the other are cold
 */
export function zonesThatReturn(
  gateways: number,
  engines: number,
  clump: number,
): GatewayLoad {
  const load = popularPrompts(gateways, 40);
  const scale = engines / load.engines.count;
  const kinds = load.kinds.map(kind => ({
    ...kind,
    perSecond: kind.perSecond * scale * (kind.prompt ? RETURN_LOAD : 1),
  }));
  return {
    ...load,
    name: 'zones that return cold',
    zones: 2,
    engines: {...load.engines, count: engines, slots: 8, queue: 8},
    kinds,
    clump,
    clumpsAtOneGateway: true,
    coldPerSecond: 21,
  };
}

/** The small simulated deployments. */
export const GATEWAY_LOADS: readonly GatewayLoad[] = [
  COUPONS,
  REPORTS,
  LETTERS,
];

/** Deployments whose simulation takes some seconds for each day. */
export const LARGE_GATEWAY_LOADS: readonly GatewayLoad[] = [LATER_COUPONS];

/** Disturbances of a simulation, by the name of the day. */
export const DISTURBANCE_SCHEDULES: Readonly<
  Record<string, readonly Disturbance[]>
> = {
  calm: [],
  release: [{kind: 'release', atMs: 12_000, share: 0.5, gapMs: 1_000}],
  crash: [{kind: 'crash', atMs: 12_000, share: 0.2, forMs: 4_000}],
  failing: [
    {kind: 'failing', atMs: 12_000, share: 0.34, forMs: 6_000, part: 0.45},
  ],
  slow: [{kind: 'slow', atMs: 12_000, share: 0.3, forMs: 6_000, times: 8}],
  burst: [
    {kind: 'burst', atMs: 12_000, forMs: 5_000, times: 1.7},
    {kind: 'hotKey', atMs: 20_000, forMs: 5_000, share: 0.25},
  ],
  restart: [{kind: 'restart', atMs: 18_000, downMs: 1_000}],
  mixed: [
    {kind: 'hotKey', atMs: 5_000, forMs: 6_000, share: 0.15},
    {kind: 'release', atMs: 10_000, share: 0.5, gapMs: 1_000},
    {kind: 'burst', atMs: 14_000, forMs: 4_000, times: 1.5},
    {kind: 'crash', atMs: 20_000, share: 0.15, forMs: 4_000},
    {kind: 'scaleOut', atMs: 24_000, share: 0.3},
    {kind: 'failing', atMs: 26_000, share: 0.3, forMs: 4_000, part: 0.4},
  ],
};
