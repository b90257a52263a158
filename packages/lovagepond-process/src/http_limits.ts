/**
 * Bounds of what the peers of an HTTP server may have it hold.
 */

/** Options of Node's HTTP server whose connections are bounded. */
export const HTTP_SERVER_OPTIONS = {
  // Node's own answer to requests without the header passes no listener, so
  // that such requests would escape the limits.
  requireHostHeader: false,
} as const;

/** Limits for the peers of one server. */
export interface HttpLimits {
  /**
   * Open connections. For a further one that which was quiet the longest is
   * closed; if none was quiet for long, the further one is.
   */
  readonly maxConnections?: number;
  /**
   * Requests of one connection that are not answered yet. A connection with
   * more is closed.
   */
  readonly maxPipelined: number;
  /** Time for which a peer may take nothing of a response, milliseconds. */
  readonly unreadTimeoutMs: number;
}

export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxPipelined: 4,
  unreadTimeoutMs: 15_000,
};

/** Memory of the incomplete heads of a server, bytes. */
export const MAX_HEADS_BYTES = 16 * 1024 * 1024;

/** Requests that wait behind another one, on all connections of a server. */
export const MAX_WAITING_BEHIND = 1_000;
