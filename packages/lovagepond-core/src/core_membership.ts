/**
 * What every role knows about the backend servers that announced themselves.
 */
import {type Labels} from './core_labels.js';

/** A backend server's state towards new work. */
export const SERVER_STATE = {
  /** Announced, not yet proven or damped after flapping: gets no work. */
  JOINING: 'joining',
  READY: 'ready',
  /** Leaving: finishes what it has and gets nothing new. */
  DRAINING: 'draining',
} as const;

/** One of the values of {@link SERVER_STATE}. */
export type ServerState = (typeof SERVER_STATE)[keyof typeof SERVER_STATE];

/** One backend server as its sidecar announced it. */
export interface BackendServer {
  readonly name: string;
  /** New with each start of its sidecar. */
  readonly incarnation: string;
  readonly pool: string;
  readonly labels: Labels;
  readonly availabilityZone: string;
  readonly region: string;
  /** `host:port` of its sidecar. */
  readonly address: string;
  readonly state: ServerState;
  /** Tokens it may have outstanding before it is full by itself. */
  readonly capacityTokens: number;
  readonly models: readonly string[];
  /** Position of its byte in the load digest. */
  readonly slot: number;
  /**
   * Requests it processes at once, of a server that has no sidecar: `address`
   * is then its own, and routers send to it directly. Absent or 0 for a
   * server behind a sidecar.
   */
  readonly directSlots?: number;
  /**
   * Where shared prompts have their home, of a server without a sidecar: a
   * place outlives its server. Empty while the server stands by.
   */
  readonly place?: string;
}

/** The list of backend servers at one version. Immutable. */
export interface Membership {
  readonly version: number;
  readonly servers: ReadonlyMap<string, BackendServer>;
}

/** The membership of a process that has heard of no backend server yet. */
export const EMPTY_MEMBERSHIP: Membership = Object.freeze({
  version: 0,
  servers: new Map(),
});
