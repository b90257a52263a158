/**
 * The mixes of requests that the estimates of durations are compared on.
 */
import {type LengthDistribution} from './gateway_simulation_types.js';

/** A kind of request. */
export interface DrainKind {
  readonly name: string;
  readonly route: string;
  readonly pool: string;
  /** Requests in a second at all gateways. */
  readonly perSecond: number;
  readonly deadlineMs: number;
  /** Mean work of a plain response, milliseconds, and its spread. */
  readonly workMs?: number;
  readonly spread?: number;
  /** Most output tokens of a stream. */
  readonly tokens?: LengthDistribution;
  /** False if requests don't tell their output tokens. */
  readonly tellsTokens?: boolean;
  /** Prompt tokens that are shared, and those of the request. */
  readonly promptTokens?: number;
  readonly ownTokens?: number;
  /** Share of the streams that use all their tokens; others at most half. */
  readonly fullShare: number;
}

/** The requests of a deployment. */
export interface DrainMix {
  readonly name: string;
  readonly gateways: number;
  readonly tokensPerEvent: number;
  readonly kinds: readonly DrainKind[];
  /** All events take the same time, and no request waits. */
  readonly isEven?: boolean;
}

function length(mean: number, spread = 0.3): LengthDistribution {
  return {mean, spread, max: 4 * mean};
}

const REPORT: DrainKind = {
  name: 'report',
  route: 'report',
  pool: 'models',
  perSecond: 13.9,
  deadlineMs: 5_000,
  tokens: length(50),
  promptTokens: 8_620,
  ownTokens: 580,
  fullShare: 1,
};

const SUMMARY: DrainKind = {
  ...REPORT,
  name: 'summary',
  route: 'summary',
  perSecond: 10.3,
  deadlineMs: 3_000,
  tokens: length(25),
  promptTokens: 2_041,
  ownTokens: 360,
};

const ALERT: DrainKind = {
  ...REPORT,
  name: 'alert',
  route: 'alert',
  perSecond: 15,
  deadlineMs: 12_000,
  tokens: length(280),
  promptTokens: 603,
  ownTokens: 110,
};

const ENTRY: DrainKind = {
  name: 'entry',
  route: 'entry',
  pool: 'register',
  perSecond: 9.8,
  deadlineMs: 1_000,
  workMs: 42.9,
  spread: 0.3,
  fullShare: 1,
};

const READING: DrainKind = {
  ...ENTRY,
  name: 'reading',
  route: 'reading',
  perSecond: 5.6,
};

const STREAMS = [REPORT, SUMMARY, ALERT] as const;
const PLAIN = [ENTRY, READING] as const;

function mix(name: string, kinds: readonly DrainKind[]): DrainMix {
  return {name, gateways: 7, tokensPerEvent: 5, kinds};
}

/** One route: many short streams, and one in ten of some six seconds. */
const SHORT: DrainKind = {...ALERT, name: 'short', perSecond: 30};
const SHARED_ROUTE = [
  {...SHORT, tokens: length(40)},
  {...SHORT, name: 'long', perSecond: 3, tokens: length(1_000, 0.15)},
] as const;

/** The mixes, in print order. */
export const DRAIN_MIXES: readonly DrainMix[] = [
  mix('reports', [...STREAMS, ...PLAIN]),
  {...mix('reports, even times', [...STREAMS, ...PLAIN]), isEven: true},
  mix('reports, streams end early', [
    ...STREAMS.map(kind => ({...kind, fullShare: 0.05})),
    ...PLAIN,
  ]),
  mix('reports, tokens not told', [
    ...STREAMS.map(kind => ({...kind, tellsTokens: false})),
    ...PLAIN,
  ]),
  mix('short and long streams of a route', SHARED_ROUTE),
  mix(
    'the same, tokens not told',
    SHARED_ROUTE.map(kind => ({...kind, tellsTokens: false})),
  ),
];
