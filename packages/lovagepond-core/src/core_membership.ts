/**
 * The membership view: the backend servers that have announced themselves.
 */
import {type Labels} from './core_labels.js';

/** Whether a backend server accepts new requests. */
export const SERVER_STATE = {
  /** Announced, but unconfirmed or damped after flapping: gets no requests. */
  JOINING: 'joining',
  READY: 'ready',
  /** Finishes its current requests and gets no new ones. */
  DRAINING: 'draining',
} as const;

export type ServerState = (typeof SERVER_STATE)[keyof typeof SERVER_STATE];

/** One backend server as its sidecar announced it. */
export interface BackendServer {
  readonly name: string;
  /** Changes with each start of the sidecar. */
  readonly incarnation: string;
  readonly pool: string;
  readonly labels: Labels;
  readonly availabilityZone: string;
  readonly region: string;
  /** `host:port` of the sidecar. */
  readonly address: string;
  readonly state: ServerState;
  /** Outstanding tokens at which the server is full. */
  readonly capacityTokens: number;
  readonly models: readonly string[];
  /** Position of the server's byte in the load digest. */
  readonly slot: number;
  /**
   * Concurrent requests of a server without a sidecar, to which routers send
   * directly, at its own `address`. Absent or 0 behind a sidecar.
   */
  readonly directSlots?: number;
  /**
   * Stable position to which shared prompts are assigned, for a server without
   * a sidecar. A successor takes it over. Empty while on standby.
   */
  readonly place?: string;
  /** Set while a server without a sidecar is warming up. */
  readonly warmUp?: WarmUp | undefined;
}

/**
 * @param server a server
 * @returns true if it has no sidecar, so that routers send to it directly
 */
export function isDirect({
  directSlots,
}: Pick<BackendServer, 'directSlots'>): boolean {
  return directSlots !== undefined;
}

/**
 * The routers that may send to a server while it is warming up. They share its
 * limit on requests, so that the limit holds without contact between them.
 */
export interface WarmUp {
  readonly routers: readonly string[];
}

/** All backend servers at one version. Immutable. */
export interface Membership {
  readonly version: number;
  readonly servers: ReadonlyMap<string, BackendServer>;
}

/** The membership before the first update from control. */
export const EMPTY_MEMBERSHIP: Membership = Object.freeze({
  version: 0,
  servers: new Map(),
});
