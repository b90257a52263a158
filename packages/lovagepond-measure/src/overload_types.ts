/**
 * Types of the overload measurement: scenarios, stand-in servers and messages
 * between its processes.
 */

/** Stand-in backend servers of one pool. */
export interface BackendSpec {
  readonly kind: 'service' | 'engine';
  readonly count: number;
  readonly slots: number;
  /** Requests that one server queues; further ones are refused as not run. */
  readonly queue: number;
  /** Duration of one call, milliseconds; services only. */
  readonly workMs: number;
  /** Prompt tokens computed per millisecond; engines only. */
  readonly prefillRate: number;
  /** Tokens of context memory; engines only. */
  readonly cacheTokens: number;
  /** Constant factor on the first server's durations; it isn't reported. */
  readonly firstServerFactor: number;
}

/** Callers with the same workspace and request kind. */
export interface CallerGroup {
  readonly workspace: string;
  readonly kind: string;
  /** Their load as a multiple of the capacity of all servers. */
  readonly load: number;
  /** Indexes of the gateways that they call; all by default. */
  readonly gateways?: readonly number[];
}

export type Disturbance =
  'slowHalf' | 'crashThird' | 'killGateway' | 'freezeGateway' | 'stopControl';

/** A part of the run with a row of its own for each group of callers. */
export interface Window {
  readonly name: string;
  /** Since the end of the warm-up. */
  readonly fromMs: number;
  readonly toMs: number;
  /** Usable part of the servers' capacity; 1 by default. */
  readonly capacity?: number;
}

export interface OverloadScenario {
  readonly name: string;
  readonly gateways: number;
  readonly controls: number;
  readonly backends: BackendSpec;
  readonly groups: readonly CallerGroup[];
  /** Number of shared prefixes that prompts draw from; engines only. */
  readonly prefixes: number;
  /** The gateways' setting `prefillRate`. */
  readonly prefillSetting: number;
  readonly windows: readonly Window[];
  /** Happens at the end of the warm-up. */
  readonly disturbance?: Disturbance;
  /** Multiple of the groups' load, by time since the end of the warm-up. */
  readonly surge?: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly factor: number;
  };
}

/** Options of one run. */
export interface OverloadOptions {
  readonly admission: boolean;
  readonly seed: number;
  readonly warmUpMs: number;
  readonly followsRetryAfter: boolean;
  /** Path of the product's bundle. */
  readonly product: string;
  /** Path of the program that runs {@link OVERLOAD_PROCESSES}. */
  readonly program: string;
}

export const TIMES = Object.freeze({
  service: {targetMs: 200, deadlineMs: 1_000},
  engine: {targetMs: 600, deadlineMs: 2_500},
});

/** Tokens of a prompt: a shared prefix, then the request's own part. */
export const PROMPT = Object.freeze({sharedTokens: 200, ownTokens: 1_000});

/** Events of one stream, and the time between two of them. */
export const STREAM = Object.freeze({events: 20, eventMs: 10});

/** @returns requests per second that all servers can serve */
export function capacityOf(spec: BackendSpec): number {
  const perServer =
    spec.kind === 'service'
      ? (spec.slots * 1_000) / spec.workMs
      : (spec.prefillRate * 1_000) / PROMPT.ownTokens;
  const others = spec.count - 1 + 1 / spec.firstServerFactor;
  return perServer * others;
}

/** Counters of all stand-in servers since their start. */
export interface BackendCounts {
  /** Time for which slots (engines: the prefill) were busy, milliseconds. */
  readonly busyMs: number;
  readonly started: number;
  /** Work whose caller left before its end, or that ended past the deadline. */
  readonly inVain: number;
  /** Ids of the requests whose work began. */
  readonly startedIds: readonly string[];
}

/** Commands to the process of the stand-in servers. */
export type BackendCommand =
  | {readonly kind: 'start'; readonly spec: BackendSpec}
  | {
      readonly kind: 'slow';
      readonly servers: readonly number[];
      readonly factor: number;
    }
  | {readonly kind: 'crash' | 'revive'; readonly servers: readonly number[]}
  | {readonly kind: 'count'};

export type BackendReply =
  | {readonly kind: 'started'; readonly ports: readonly number[]}
  | {readonly kind: 'counted'; readonly counts: BackendCounts}
  | {readonly kind: 'done'};

/** Settings of one process with a control member. */
export interface ControlProcessSettings {
  readonly name: string;
  readonly port: number;
  readonly members: readonly string[];
  readonly folder: string;
  readonly configuration: unknown;
  readonly pool: string;
  readonly slots: number;
  readonly addresses: readonly string[];
}

/** What became of one request; exactly one per caller. */
export const OUTCOME = Object.freeze({
  SERVED: 'served',
  /** The gateway answered that the request didn't run. */
  REFUSED: 'refused',
  /** Any other error, or a connection that closed early. */
  FAILED: 'failed',
  /** The caller left at its deadline without an answer. */
  LEFT: 'left',
});
export type Outcome = (typeof OUTCOME)[keyof typeof OUTCOME];

/** One request as its caller saw it. */
export interface RequestRecord {
  readonly id: string;
  readonly group: number;
  /** Since the end of the warm-up; negative before it. */
  readonly sentAtMs: number;
  readonly outcome: Outcome;
  /** Time to the first byte of a body; 0 if there was none. */
  readonly firstMs: number;
  /** Time to the end, or until the caller was told or left. */
  readonly endMs: number;
}

/** All that one run of a scenario yields. */
export interface OverloadRun {
  readonly scenario: OverloadScenario;
  readonly admission: boolean;
  /** Number of callers. */
  readonly sent: number;
  readonly records: readonly RequestRecord[];
  /** Event loop delay of the callers' process, 99th percentile, milliseconds. */
  readonly callersDelayMs: number;
  /** Of the servers since the end of the warm-up; ids since their start. */
  readonly counts: BackendCounts;
  /** Refusals "not run" of requests that did run. */
  readonly untrueRefusals: number;
  /** Gateways' processor time in the windows, microseconds per request. */
  readonly processorUs: number;
}
