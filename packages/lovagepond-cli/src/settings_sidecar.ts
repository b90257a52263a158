/**
 * Settings file of a sidecar.
 */
import {
  duration,
  type FileValues,
  formatHostPort,
  hostPort,
  httpUrl,
  integer,
  nameText,
  oneOf,
  size,
  withTraits,
} from '@lovagepond/process';
import {type SidecarSettings} from '@lovagepond/sidecar';
import {z} from '@lovagepond/core';
import {
  COMMON_SECTIONS,
  controlMembersSection,
  labelsSection,
} from './settings_sections.js';
import {formatAddresses, keepDefined, withPort} from './settings_utils.js';

const MAX_COUNT = 1_000_000_000;

const count = integer(0, MAX_COUNT);

const sidecarSection = z.strictObject({
  listen: withTraits(hostPort(), {listens: true}),
  /** Address announced to routers instead of `listen`. */
  announcedAddress: hostPort().optional(),
  pool: nameText(),
  announceInterval: duration().optional(),
  heartbeatInterval: duration().optional(),
  controlTimeout: duration().optional(),
  claimTimeout: duration().optional(),
  detachGrace: duration().optional(),
  answerGrace: duration().optional(),
  maxAnswer: size().optional(),
  maxBody: size().optional(),
  tick: duration().optional(),
});

const backendSection = z.strictObject({
  kind: oneOf('engine', 'service'),
  url: httpUrl(),
  probeInterval: duration().optional(),
  capacityTokens: count.optional(),
  floorTokens: count.optional(),
});

const gateSection = z.strictObject({
  meanFresh: duration().optional(),
  meanTrust: duration().optional(),
  attemptRetention: duration().optional(),
  maxAttempts: count.optional(),
  maxQueuedRequests: count.optional(),
  maxChats: count.optional(),
  maxPointers: count.optional(),
  pointerLifetime: duration().optional(),
});

const takeSection = z.strictObject({
  interval: duration().optional(),
  maxInterval: duration().optional(),
  reservation: duration().optional(),
});

const moveSection = z.strictObject({
  bytesPerSecond: size().optional(),
  maxChats: count.optional(),
});

const islandSection = z.strictObject({
  policy: oneOf('serve', 'refuse').optional(),
});

/** Sections of the settings file of a sidecar. */
export const SIDECAR_SCHEMA = {
  ...COMMON_SECTIONS,
  control: controlMembersSection.omit({retry: true}),
  sidecar: sidecarSection,
  backend: backendSection,
  labels: labelsSection,
  gate: gateSection,
  take: takeSection,
  move: moveSection,
  island: islandSection,
} as const;

/** Values of the settings file of a sidecar. */
export type SidecarValues = FileValues<typeof SIDECAR_SCHEMA>;

/** Settings from the file; those that have a default may be missing. */
type FileSettings = Partial<SidecarSettings> &
  Pick<
    SidecarSettings,
    'backendServer' | 'pool' | 'controlAddresses' | 'backendUrl'
  >;

function toGateSettings({
  gate,
  take,
  backend,
}: SidecarValues): Partial<SidecarSettings> {
  return keepDefined({
    capacityTokens: backend.capacityTokens,
    floorTokens: backend.floorTokens,
    meanFreshMs: gate.meanFresh,
    meanTrustMs: gate.meanTrust,
    attemptRetentionMs: gate.attemptRetention,
    maxAttempts: gate.maxAttempts,
    maxQueuedRequests: gate.maxQueuedRequests,
    maxChats: gate.maxChats,
    maxPointers: gate.maxPointers,
    pointerLifetimeMs: gate.pointerLifetime,
    takeIntervalMs: take.interval,
    maxTakeIntervalMs: take.maxInterval,
    reservationMs: take.reservation,
  });
}

function toTimings({
  control,
  sidecar,
  backend,
  move,
  island,
}: SidecarValues): Partial<SidecarSettings> {
  return keepDefined({
    announceIntervalMs: sidecar.announceInterval,
    heartbeatIntervalMs: sidecar.heartbeatInterval,
    controlTimeoutMs: sidecar.controlTimeout,
    controlSilentAfterMs: control.silentAfter,
    claimTimeoutMs: sidecar.claimTimeout,
    detachGraceMs: sidecar.detachGrace,
    answerGraceMs: sidecar.answerGrace,
    maxAnswerBytes: sidecar.maxAnswer,
    maxBodyBytes: sidecar.maxBody,
    tickMs: sidecar.tick,
    backendProbeMs: backend.probeInterval,
    moveBytesPerSecond: move.bytesPerSecond,
    maxMovedChats: move.maxChats,
    islandPolicy: island.policy,
  });
}

/**
 * @param values the validated file
 * @returns settings of the sidecar, without those left to the defaults
 */
export function toSidecarSettings(values: SidecarValues): FileSettings {
  const {process: identity, platform, control, sidecar, backend} = values;
  const {listen, announcedAddress} = sidecar;
  return {
    backendServer: identity.name,
    region: identity.region,
    availabilityZone: identity.availabilityZone,
    pool: sidecar.pool,
    labels: values.labels,
    host: listen.host,
    port: listen.port,
    announcedAddress: announcedAddress ? formatHostPort(announcedAddress) : '',
    controlAddresses: formatAddresses(
      withPort(control.members, control.memberPort),
    ),
    backendUrl: backend.url,
    backendKind: backend.kind,
    drainLimitMs: platform.drainLimit,
    ...toGateSettings(values),
    ...toTimings(values),
  };
}
