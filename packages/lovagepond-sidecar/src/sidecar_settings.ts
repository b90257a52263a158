/**
 * Settings of a sidecar.
 */
import {type Labels, type POOL_KIND} from '@lovagepond/core';
import {DEFAULT_TAKER_SETTINGS, type TakerSettings} from './sidecar_take.js';
import {DEFAULT_GATE_SETTINGS, type GateSettings} from './sidecar_types.js';

/** Behaviour of a restarted sidecar that can't reach control. */
export const PARTITION_POLICY = {
  /** Serve with a configuration received from a router. */
  SERVE: 'serve',
  /** Refuse requests with `notReady` until control confirms a revision. */
  REFUSE: 'refuse',
} as const;

export type PartitionPolicy =
  (typeof PARTITION_POLICY)[keyof typeof PARTITION_POLICY];

/** One of the values of `POOL_KIND`. */
export type BackendKind = (typeof POOL_KIND)[keyof typeof POOL_KIND];

/** Settings of one sidecar. All times are in milliseconds. */
export interface SidecarSettings
  extends Omit<GateSettings, 'incarnation'>, TakerSettings {
  readonly pool: string;
  readonly labels: Labels;
  readonly region: string;
  readonly availabilityZone: string;
  /** IP address that the gRPC server listens on. */
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  /** `host:port` announced to routers; empty for the address listened on. */
  readonly announcedAddress: string;
  /** `host:port` of every control member. */
  readonly controlAddresses: readonly string[];
  /** Base URL of the backend server. */
  readonly backendUrl: string;
  readonly backendKind: BackendKind;
  readonly announceIntervalMs: number;
  /** Timeout of one call to control. */
  readonly controlTimeoutMs: number;
  /** Time without an update after which another control member is tried. */
  readonly controlSilentAfterMs: number;
  readonly islandPolicy: PartitionPolicy;
  /** Longest time without a frame to a router. */
  readonly heartbeatIntervalMs: number;
  readonly tickMs: number;
  /** How long a run continues without an attached stream. */
  readonly detachGraceMs: number;
  /** How long a finished answer can be resumed. */
  readonly answerGraceMs: number;
  /** Maximum number of answer bytes kept for one attempt. */
  readonly maxAnswerBytes: number;
  /** Maximum number of finished answers kept for routers that reconnect. */
  readonly maxFinishedAnswers: number;
  /** Maximum size of a request body, bytes. */
  readonly maxBodyBytes: number;
  /** Interval between health checks of the backend server. */
  readonly backendProbeMs: number;
  /** How long a draining sidecar keeps refusing requests after its last run. */
  readonly drainLingerMs: number;
  /** Longest time for draining. */
  readonly drainLimitMs: number;
  /** Time limit of a claim including its retries. */
  readonly claimTimeoutMs: number;
  /** KV cache bytes sent per second while draining; 0 sends none. */
  readonly moveBytesPerSecond: number;
  /** Maximum number of chats whose cache is moved. */
  readonly maxMovedChats: number;
}

/** Defaults of all settings that have one. */
export const DEFAULT_SIDECAR_SETTINGS = {
  ...DEFAULT_GATE_SETTINGS,
  ...DEFAULT_TAKER_SETTINGS,
  labels: {},
  region: 'default',
  availabilityZone: 'default',
  host: '127.0.0.1',
  port: 0,
  announcedAddress: '',
  backendKind: 'engine',
  announceIntervalMs: 1_000,
  controlTimeoutMs: 1_000,
  controlSilentAfterMs: 5_000,
  islandPolicy: PARTITION_POLICY.REFUSE,
  heartbeatIntervalMs: 1_000,
  tickMs: 20,
  detachGraceMs: 1_500,
  answerGraceMs: 10_000,
  maxAnswerBytes: 256 * 1024,
  maxFinishedAnswers: 256,
  maxBodyBytes: 4 * 1024 * 1024,
  backendProbeMs: 500,
  drainLingerMs: 1_500,
  drainLimitMs: 30_000,
  claimTimeoutMs: 3_000,
  moveBytesPerSecond: 32 * 1024 * 1024,
  maxMovedChats: 1_024,
} as const satisfies Partial<SidecarSettings>;
