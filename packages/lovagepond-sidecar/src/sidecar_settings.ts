/**
 * What a sidecar is told by its settings.
 */
import {type Labels, type POOL_KIND} from '@lovagepond/core';
import {DEFAULT_TAKER_SETTINGS, type TakerSettings} from './sidecar_take.js';
import {DEFAULT_GATE_SETTINGS, type GateSettings} from './sidecar_types.js';

/** What a restarted sidecar does while it can't reach control. */
export const PARTITION_POLICY = {
  /** Serve by a configuration that a router brought. */
  SERVE: 'serve',
  /** Refuse requests with `notReady` until control confirms a revision. */
  REFUSE: 'refuse',
} as const;

/** One of the values of {@link PARTITION_POLICY}. */
export type PartitionPolicy =
  (typeof PARTITION_POLICY)[keyof typeof PARTITION_POLICY];

/** One of the values of `POOL_KIND`. */
export type BackendKind = (typeof POOL_KIND)[keyof typeof POOL_KIND];

/** Settings of one sidecar. All times are milliseconds. */
export interface SidecarSettings
  extends Omit<GateSettings, 'incarnation'>, TakerSettings {
  readonly pool: string;
  readonly labels: Labels;
  readonly region: string;
  readonly availabilityZone: string;
  /** IP number that the gRPC server listens on. */
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  /** `host:port` told to routers; empty means the address listened on. */
  readonly announcedAddress: string;
  /** `host:port` of every control member. */
  readonly controlAddresses: readonly string[];
  /** Base URL of the backend server. */
  readonly backendUrl: string;
  readonly backendKind: BackendKind;
  readonly announceIntervalMs: number;
  /** Time for one call to control. */
  readonly controlTimeoutMs: number;
  /** Without an update for so long, another control member is tried. */
  readonly controlSilentAfterMs: number;
  readonly islandPolicy: PartitionPolicy;
  /** Frames to a router come at least this often. */
  readonly heartbeatIntervalMs: number;
  readonly tickMs: number;
  /** How long a run goes on without a router attached to it. */
  readonly detachGraceMs: number;
  /** How long a finished answer can still be attached to. */
  readonly answerGraceMs: number;
  /** Answer bytes kept for one attempt. */
  readonly maxAnswerBytes: number;
  /** Finished answers kept for routers that come back. */
  readonly maxFinishedAnswers: number;
  /** Largest request body, bytes. */
  readonly maxBodyBytes: number;
  /** Time between two looks at the backend server. */
  readonly backendProbeMs: number;
  /** How long a leaving sidecar goes on refusing after its last request. */
  readonly drainLingerMs: number;
  /** Longest planned leave. */
  readonly drainLimitMs: number;
  /** Time for the whole of a claim, its repeats included. */
  readonly claimTimeoutMs: number;
  /** Bytes a second of KV cache sent during a planned leave; 0 sends none. */
  readonly moveBytesPerSecond: number;
  /** Chats whose cache is moved at most. */
  readonly maxMovedChats: number;
}

/** Defaults for all that has a sensible one. */
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
