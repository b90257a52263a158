/**
 * The settings of a gateway.
 */
/** All times are milliseconds. */
export interface GatewaySettings {
  readonly name: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly host: string;
  readonly port: number;
  /** Host of the UDP socket for other gateways; `host` by default. */
  readonly peerHost?: string;
  /** Port of the UDP socket for other gateways; any free one by default. */
  readonly peerPort?: number;
  /** `host:port` of control members. */
  readonly controlAddresses: readonly string[];
  /** Switch to another member after no update or heartbeat for this long. */
  readonly controlSilentAfterMs: number;
  /** Delay before a new subscription; failures double it, up to fourfold. */
  readonly controlRetryMs: number;
  /** Interval between queries for the newest revision. */
  readonly authorityIntervalMs: number;
  /**
   * Time after the accepted removal of an API key within which all gateways
   * stop accepting it, including those that are cut off from control.
   */
  readonly revocationBoundMs: number;
  readonly connectTimeoutMs: number;
  /** Initial prefill rate of engines, prompt tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Use each server's own estimates instead of one rate for all engines. */
  readonly serverCapacity: boolean;
  /** Open connections of callers at which further ones are closed unread. */
  readonly maxConnections: number;
  /** Limit on the memory of all request bodies, bytes. */
  readonly maxHeldBytes: number;
  /**
   * Requests whose body is complete and that are not answered yet; further ones
   * are rejected. Each may need a connection to a server.
   */
  readonly maxRequests: number;
  /** Time for which a server that drains still accepts requests. */
  readonly drainTimeoutMs: number;
  /** Time for which a draining gateway still accepts connections. */
  readonly drainLingerMs: number;
  /** Retries of all gateways as a fraction of requests; control has the same. */
  readonly retryFraction: number;
  /** Sliding window in which both are counted. */
  readonly retryWindowMs: number;
}

export const DEFAULT_GATEWAY_SETTINGS = {
  region: 'default',
  availabilityZone: 'default',
  controlSilentAfterMs: 1_500,
  controlRetryMs: 100,
  authorityIntervalMs: 500,
  revocationBoundMs: 5_000,
  connectTimeoutMs: 400,
  prefillTokensPerMs: 40,
  serverCapacity: false,
  maxConnections: 3_000,
  maxHeldBytes: 64 * 1024 * 1024,
  maxRequests: 600,
  drainTimeoutMs: 2_000,
  drainLingerMs: 2_500,
  retryFraction: 0.2,
  retryWindowMs: 10_000,
} as const satisfies Partial<GatewaySettings>;
