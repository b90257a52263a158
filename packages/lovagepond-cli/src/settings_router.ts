/**
 * Settings file of a router.
 */
import {type CallerSettings} from '@lovagepond/caller';
import {
  duration,
  type FileValues,
  hostPort,
  integer,
  oneOf,
  percentage,
  size,
  withTraits,
} from '@lovagepond/process';
import {type RouterSettings} from '@lovagepond/router';
import {z} from '@lovagepond/core';
import {COMMON_SECTIONS, controlMembersSection} from './settings_sections.js';
import {formatAddresses, keepDefined, withPort} from './settings_utils.js';

const MAX_CONNECTIONS = 1_000_000;
const MAX_TRIES = 100;

const callersSection = z.strictObject({
  listen: withTraits(hostPort(), {listens: true}),
  maxConnections: integer(1, MAX_CONNECTIONS).optional(),
  maxHeaders: size().optional(),
  maxBody: size().optional(),
  /** Memory of all request bodies. */
  maxHeld: size().optional(),
  maxWholeAnswer: size().optional(),
  maxBuffered: size().optional(),
  senderTimeout: duration().optional(),
  readerTimeout: duration().optional(),
  keepAlive: duration().optional(),
  defaultDeadline: duration().optional(),
  maxDeadline: duration().optional(),
  drainGrace: duration().optional(),
});

const attemptsSection = z.strictObject({
  connectTimeout: duration().optional(),
  silentAfter: duration().optional(),
  firstFrameAfter: duration().optional(),
  revokeTimeout: duration().optional(),
  revokeLead: duration().optional(),
  maxAttempts: integer(1, MAX_TRIES).optional(),
  maxHops: integer(1, MAX_TRIES).optional(),
  maxReattaches: integer(0, MAX_TRIES).optional(),
  retryShare: percentage().optional(),
  tick: duration().optional(),
});

const placementSection = z.strictObject({
  policy: oneOf(
    'holdAndTake',
    'costScore',
    'pointers',
    'boundedRendezvous',
    'rendezvous',
    'twoChoices',
    'leastLoaded',
    'roundRobin',
  ).optional(),
});

const islandSection = z.strictObject({
  policy: oneOf('serve', 'refuse').optional(),
  after: duration().optional(),
});

/** Sections of the settings file of a router. */
export const ROUTER_SCHEMA = {
  ...COMMON_SECTIONS,
  control: controlMembersSection,
  callers: callersSection,
  attempts: attemptsSection,
  placement: placementSection,
  island: islandSection,
} as const;

/** Values of the settings file of a router. */
export type RouterValues = FileValues<typeof ROUTER_SCHEMA>;

/**
 * @param values the validated file
 * @returns settings of the caller server, without those left to the defaults
 */
export function toCallerSettings({
  callers,
}: RouterValues): Partial<CallerSettings> {
  return keepDefined({
    host: callers.listen.host,
    port: callers.listen.port,
    maxConnections: callers.maxConnections,
    maxHeaderBytes: callers.maxHeaders,
    maxBodyBytes: callers.maxBody,
    maxHeldBodyBytes: callers.maxHeld,
    maxWholeAnswerBytes: callers.maxWholeAnswer,
    maxBufferedBytes: callers.maxBuffered,
    senderTimeoutMs: callers.senderTimeout,
    readerTimeoutMs: callers.readerTimeout,
    keepAliveMs: callers.keepAlive,
    defaultDeadlineMs: callers.defaultDeadline,
    maxDeadlineMs: callers.maxDeadline,
    drainGraceMs: callers.drainGrace,
  });
}

/**
 * @param values the validated file
 * @returns settings of the router, without those left to the defaults
 */
export function toRouterSettings(
  values: RouterValues,
): Partial<RouterSettings> & Pick<RouterSettings, 'name' | 'controlAddresses'> {
  const {process: identity, control, attempts, placement, island} = values;
  return {
    name: identity.name,
    region: identity.region,
    availabilityZone: identity.availabilityZone,
    controlAddresses: formatAddresses(
      withPort(control.members, control.memberPort),
    ),
    ...keepDefined({
      controlSilentAfterMs: control.silentAfter,
      controlRetryMs: control.retry,
      islandPolicy: island.policy,
      islandAfterMs: island.after,
      placementPolicy: placement.policy,
      connectTimeoutMs: attempts.connectTimeout,
      attemptSilentAfterMs: attempts.silentAfter,
      firstFrameAfterMs: attempts.firstFrameAfter,
      revokeTimeoutMs: attempts.revokeTimeout,
      revokeLeadMs: attempts.revokeLead,
      maxAttempts: attempts.maxAttempts,
      maxHops: attempts.maxHops,
      maxReattaches: attempts.maxReattaches,
      retryFraction: attempts.retryShare,
      tickMs: attempts.tick,
    }),
  };
}
