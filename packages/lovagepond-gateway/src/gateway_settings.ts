/**
 * What a gateway is told by its settings.
 */
import {type GatewayBudgetSettings} from './gateway_retry_budget.js';

/** Settings of one gateway. All times are milliseconds. */
export interface GatewaySettings extends GatewayBudgetSettings {
  readonly name: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly host: string;
  readonly port: number;
  /** `host:port` of control members. */
  readonly controlAddresses: readonly string[];
  readonly controlSilentAfterMs: number;
  readonly controlRetryMs: number;
  /** Time between two questions whether the configuration is the newest. */
  readonly authorityIntervalMs: number;
  /**
   * A removed API key admits nothing later than this after its removal was
   * accepted, also at a gateway that hears nothing of it.
   */
  readonly revocationBoundMs: number;
  readonly connectTimeoutMs: number;
  /** Prompt tokens that an engine reads in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Bytes of all request bodies held at once; further ones are refused. */
  readonly maxHeldBytes: number;
  /** Connections are still taken so long after readiness was withdrawn. */
  readonly drainLingerMs: number;
}

/** Defaults for all that has a sensible one. */
export const DEFAULT_GATEWAY_SETTINGS = {
  region: 'default',
  availabilityZone: 'default',
  controlSilentAfterMs: 1_500,
  controlRetryMs: 100,
  authorityIntervalMs: 500,
  revocationBoundMs: 5_000,
  connectTimeoutMs: 400,
  prefillTokensPerMs: 40,
  maxHeldBytes: 64 * 1024 * 1024,
  drainLingerMs: 2_500,
  retryFraction: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 64,
  retryShares: 16,
} as const satisfies Partial<GatewaySettings>;
