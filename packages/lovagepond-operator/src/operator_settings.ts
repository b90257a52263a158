/**
 * Settings of the administration server.
 */

/** Settings of an {@link AdministrationServer}. */
export interface OperatorSettings {
  /** Address to listen on; loopback by default. */
  readonly host: string;
  /** TCP port; 0 takes a free one. */
  readonly port: number;
  /** The operators' token; an empty token allows no change. */
  readonly token: string;
  /** Largest body accepted, bytes. */
  readonly maxBodyBytes: number;
  /** Limit on the memory of all bodies, bytes. */
  readonly maxHeldBytes: number;
  /** Open connections; further ones are closed unread. */
  readonly maxConnections: number;
  /** Time limit to receive a complete request, milliseconds. */
  readonly requestTimeoutMs: number;
}

/** Default settings. */
export const DEFAULT_OPERATOR_SETTINGS: OperatorSettings = Object.freeze({
  host: '127.0.0.1',
  port: 7403,
  token: '',
  maxBodyBytes: 1_048_576,
  maxHeldBytes: 16 * 1_048_576,
  maxConnections: 200,
  requestTimeoutMs: 10_000,
});

const LOOPBACK_HOSTS = new Set(['localhost', '::1']);

/**
 * @param host an address from the settings
 * @returns true when only processes of the same host can connect to it
 */
export function isLoopback(host: string): boolean {
  return LOOPBACK_HOSTS.has(host) || /^127(\.\d{1,3}){3}$/.test(host);
}
