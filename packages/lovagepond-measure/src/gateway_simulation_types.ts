/**
 * Types of the gateway simulation: workload, servers, disturbances, and the
 * variant of the decisions under test.
 */
import {type EngineWeights} from '@lovagepond/gateway/deciders';

/** A log-normal distribution of lengths, capped at `max`. */
export interface LengthDistribution {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly spread: number;
  readonly max: number;
}

/** A prompt part that several requests share. */
export interface SharedPart {
  readonly tokens: LengthDistribution;
  /** Number of distinct parts; each request draws one. */
  readonly count: number;
}

/** Requests of one kind. */
export interface SimulatedRequestKind {
  readonly name: string;
  readonly perSecond: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  /** Value of an answer within the target latency, for weighted results. */
  readonly worth: number;
  /** Value of a later answer. */
  readonly lateWorth: number;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  /** The stream can be resumed, or the call is idempotent. */
  readonly repeatable: boolean;
  readonly maxAttempts: number;
  /** Lengths of a chat; absent for a call of a plain service. */
  readonly prompt?: {
    readonly shared: readonly SharedPart[];
    readonly own: LengthDistribution;
    readonly events: LengthDistribution;
  };
  /** Processing time of a call of a plain service, milliseconds. */
  readonly workMs?: LengthDistribution;
  /** Share of calls that a healthy service fails. */
  readonly failureShare?: number;
}

/** Number, speed and capacity of the engines of one pool. */
export interface EngineProfile {
  readonly count: number;
  readonly slots: number;
  readonly queue: number;
  /** Prefill rate. */
  readonly readTokensPerMs: number;
  /** Limit of running and cached tokens; cached parts beyond are evicted. */
  readonly memoryTokens: number;
  /** Tokens per stream event. */
  readonly tokensPerEvent: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** Fixed delay before prefill or a context fetch. */
  readonly firstMs: number;
  readonly fetchTokensPerMs: number;
}

/** Number and capacity of the plain services of one pool. */
export interface ServiceProfile {
  readonly count: number;
  readonly slots: number;
  readonly queue: number;
}

/** An injected fault, a change of load, or maintenance at a given time. */
export type Disturbance =
  /** Rolling replacement of servers; each new one starts first. */
  | {
      readonly kind: 'release';
      readonly atMs: number;
      readonly share: number;
      readonly gapMs: number;
    }
  /** Servers crash; replacements start after `forMs`. */
  | {
      readonly kind: 'crash';
      readonly atMs: number;
      readonly share: number;
      readonly forMs: number;
    }
  /** Servers fail a share (`part`) of their requests. */
  | {
      readonly kind: 'failing';
      readonly atMs: number;
      readonly share: number;
      readonly forMs: number;
      readonly part: number;
    }
  /** Plain services take `times` as long. */
  | {
      readonly kind: 'slow';
      readonly atMs: number;
      readonly share: number;
      readonly forMs: number;
      readonly times: number;
    }
  /** All request rates are multiplied by `times`. */
  | {
      readonly kind: 'burst';
      readonly atMs: number;
      readonly forMs: number;
      readonly times: number;
    }
  /** A share of each kind's requests has the same shared prompt parts. */
  | {
      readonly kind: 'hotKey';
      readonly atMs: number;
      readonly forMs: number;
      readonly share: number;
    }
  /**
   * The engines of one zone crash; as many start `downMs` later, all at once, and
   * are cold for `coldMs`.
   */
  | {
      readonly kind: 'coldReturn';
      readonly atMs: number;
      readonly zone: number;
      readonly downMs: number;
      readonly coldMs: number;
    }
  /** Engines with empty caches are added. */
  | {readonly kind: 'scaleOut'; readonly atMs: number; readonly share: number}
  /** Control relays nothing that gateways report. */
  | {
      readonly kind: 'controlSilence';
      readonly atMs: number;
      readonly forMs: number;
    }
  /** All gateways restart and lose their state. */
  | {readonly kind: 'restart'; readonly atMs: number; readonly downMs: number};

/** A deployment with its workload. */
export interface GatewayLoad {
  readonly name: string;
  readonly gateways: number;
  readonly zones: number;
  readonly engines: EngineProfile;
  readonly services: ServiceProfile;
  readonly loadBound: number;
  /** Requests that arrive at the same moment; 1 by default. */
  readonly clump?: number;
  /** All of them arrive at one gateway. */
  readonly clumpsAtOneGateway?: boolean;
  /** Requests that a cold engine bears in a second; any number by default. */
  readonly coldPerSecond?: number;
  readonly kinds: readonly SimulatedRequestKind[];
}

/** A variant of the gateways' decisions, for ablation. */
export interface GatewayVariant {
  readonly name: string;
  readonly weights?: Partial<EngineWeights>;
  /** Gateways don't report which prompts engines have read. */
  readonly noReadingReports?: boolean;
  /** Gateways don't report their running requests and outcomes. */
  readonly noRunningReports?: boolean;
  /** Late answers of services count as normal successes. */
  readonly noTiming?: boolean;
  /** Gateways receive individual reports in place of totals. */
  readonly individualReports?: boolean;
  /** Engines don't fetch contexts from each other. */
  readonly noFetch?: boolean;
  /** Answers carry no load of their server. */
  readonly noLoadHeader?: boolean;
  /** The load bound excludes no server. */
  readonly noBound?: boolean;
  /** Each gateway keeps the load bound alone. */
  readonly noPermits?: boolean;
  /** Share of the requests that need a new connection, and its longest wait. */
  readonly connectShare?: number;
  readonly connectMs?: number;
  /** Share of the datagrams between gateways that are lost. */
  readonly datagramLoss?: number;
}

/** Settings of one simulation. */
export interface GatewaySimulationSettings {
  readonly load: GatewayLoad;
  readonly variant: GatewayVariant;
  readonly disturbances: readonly Disturbance[];
  readonly seed: number;
  readonly endMs: number;
}
