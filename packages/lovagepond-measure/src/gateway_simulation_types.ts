/**
 * What a play of gateways is made of: callers, servers, troubles, and the
 * variant of the decisions that is played.
 */
import {type EngineWeights} from '@lovagepond/gateway/deciders';

/** A length drawn anew for each thing: log-normal around the mean, cut off. */
export interface LengthDistribution {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly spread: number;
  readonly max: number;
}

/** One part of prompts that several requests share. */
export interface SharedPart {
  readonly tokens: LengthDistribution;
  /** How many of it there are; requests draw one. */
  readonly count: number;
}

/** Requests of one kind. */
export interface SimulatedRequestKind {
  readonly name: string;
  readonly perSecond: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  readonly worth: number;
  readonly lateWorth: number;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  /** The caller's stream can be resumed, or the call may run twice. */
  readonly repeatable: boolean;
  readonly maxAttempts: number;
  /** The prompt of a chat; absent for a call of a plain service. */
  readonly prompt?: {
    readonly shared: readonly SharedPart[];
    readonly own: LengthDistribution;
    readonly events: LengthDistribution;
  };
  /** Processing time of a call of a plain service, milliseconds. */
  readonly workMs?: LengthDistribution;
  /** Part of the calls that a service that is well fails. */
  readonly failureShare?: number;
}

/** Engines of one pool. */
export interface EngineProfile {
  readonly count: number;
  readonly slots: number;
  readonly queue: number;
  readonly readTokensPerMs: number;
  readonly memoryTokens: number;
  /** Tokens of an event of a stream. */
  readonly tokensPerEvent: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** Time until a prompt begins to be read, or to be taken over. */
  readonly firstMs: number;
  readonly fetchTokensPerMs: number;
}

/** Servers of one pool of plain calls. */
export interface ServiceProfile {
  readonly count: number;
  readonly slots: number;
  readonly queue: number;
}

/** Something that goes wrong, or planned work, at a moment of the play. */
export type Disturbance =
  /** Servers are replaced one after the other; the new one comes first. */
  | {
      readonly kind: 'release';
      readonly atMs: number;
      readonly share: number;
      readonly gapMs: number;
    }
  /** Servers end at once and others come in their place. */
  | {
      readonly kind: 'crash';
      readonly atMs: number;
      readonly share: number;
      readonly forMs: number;
    }
  /** Servers fail part of their requests. */
  | {
      readonly kind: 'failing';
      readonly atMs: number;
      readonly share: number;
      readonly forMs: number;
      readonly part: number;
    }
  /** Plain services work so many times as long. */
  | {
      readonly kind: 'slow';
      readonly atMs: number;
      readonly share: number;
      readonly forMs: number;
      readonly times: number;
    }
  /** More requests, of one kind or of all. */
  | {
      readonly kind: 'burst';
      readonly atMs: number;
      readonly forMs: number;
      readonly times: number;
    }
  /** Part of a kind's requests are about one thing. */
  | {
      readonly kind: 'hotKey';
      readonly atMs: number;
      readonly forMs: number;
      readonly share: number;
    }
  /** Empty servers are added. */
  | {readonly kind: 'scaleOut'; readonly atMs: number; readonly share: number}
  /** All gateways start again and remember nothing. */
  | {readonly kind: 'restart'; readonly atMs: number; readonly downMs: number};

/** A deployment with its callers. */
export interface GatewayLoad {
  readonly name: string;
  readonly gateways: number;
  readonly zones: number;
  readonly engines: EngineProfile;
  readonly services: ServiceProfile;
  readonly loadBound: number;
  readonly kinds: readonly SimulatedRequestKind[];
}

/** One way to decide, played beside others. */
export interface GatewayVariant {
  readonly name: string;
  readonly weights?: Partial<EngineWeights>;
  /** Gateways tell each other nothing of what servers read. */
  readonly noReadingReports?: boolean;
  /** Gateways tell each other nothing of their requests and outcomes. */
  readonly noRunningReports?: boolean;
  /** Late answers of services count as any other. */
  readonly noTiming?: boolean;
  /** Gateways hear each other's requests one by one, not their sums. */
  readonly individualReports?: boolean;
  /** Engines read anew what others hold. */
  readonly noFetch?: boolean;
  /** Answers don't say how loaded their server is. */
  readonly noLoadHeader?: boolean;
  /** No server is excluded for its load. */
  readonly noBound?: boolean;
}

/** One play. */
export interface GatewaySimulationSettings {
  readonly load: GatewayLoad;
  readonly variant: GatewayVariant;
  readonly disturbances: readonly Disturbance[];
  readonly seed: number;
  readonly endMs: number;
}
