/**
 * Settings file of a control member.
 */
import {join} from 'node:path';
import {CONTROL_DEFAULTS, type ControlSettings} from '@lovagepond/control';
import {
  boolean,
  decimal,
  duration,
  type FileValues,
  formatHostPort,
  hostPort,
  integer,
  list,
  nameText,
  size,
  withTraits,
} from '@lovagepond/process';
import {type OperatorSettings} from '@lovagepond/operator';
import {heartbeatIntervalMs, listAgeLimitMs, z} from '@lovagepond/core';
import {COMMON_SECTIONS} from './settings_sections.js';
import {formatAddresses, keepDefined, withPort} from './settings_utils.js';

const MAX_PORT = 65_535;
const MAX_CONNECTIONS = 1_000_000;
const MAX_COUNT = 100_000_000;
/** Nine members tolerate four losses; more members only slow consensus down. */
const MAX_TOLERATED_LOSSES = 4;
/** Subfolder of the data folder, which also holds state dumps. */
const CONSENSUS_FOLDER = 'consensus';

const memberSection = z.strictObject({
  listen: withTraits(hostPort(), {listens: true}),
  /** Address announced to other members instead of `listen`. */
  address: hostPort().optional(),
  /** All members, including this one, at the first start of the group. */
  members: list(hostPort()),
  /** Replaces the ports in `members`. */
  memberPort: integer(1, MAX_PORT).optional(),
  /**
   * False if data folders may have been emptied since the first start: the
   * member then only joins a group and never forms one.
   */
  mayForm: boolean().optional(),
  /** Whether hosts that `members` doesn't name may replace lost members. */
  openMembership: boolean().optional(),
  /** Number of hosts that the group must be able to lose at once. */
  toleratedLosses: integer(0, MAX_TOLERATED_LOSSES).optional(),
  /** True on a host without a disk: the member follows and never votes. */
  observer: boolean().optional(),
  /** Shortest time without a leader's message before an election. */
  electionTimeout: duration().optional(),
  /** All availability zones of the deployment. */
  zones: list(nameText()).optional(),
  /** Interval of the leader's heartbeats; about 1/6 of `electionTimeout`. */
  heartbeat: duration().optional(),
});

const administrationSection = z.strictObject({
  listen: withTraits(hostPort(), {listens: true}),
  /** Name of the environment variable with the operators' token. */
  tokenVariable: nameText().prefault('LOVAGEPOND_TOKEN'),
  maxBody: size().optional(),
  /** Memory of all request bodies. */
  maxHeld: size().optional(),
  maxConnections: integer(1, MAX_CONNECTIONS).optional(),
  requestTimeout: duration().optional(),
});

const limitsSection = z.strictObject({
  lease: duration().optional(),
  digestInterval: duration().optional(),
  heartbeatInterval: duration().optional(),
  leaderContactLimit: duration().optional(),
  /**
   * Time for which a backend server serves on after its leave was confirmed. It
   * lowers the contact limit and the heartbeat interval that it doesn't allow.
   */
  drainTimeout: duration().optional(),
  historyRevisions: integer(1, MAX_COUNT).optional(),
  answerRetention: duration().optional(),
  keyRetention: duration().optional(),
  openClaimLimit: duration().optional(),
  ledgerEntries: integer(1, MAX_COUNT).optional(),
  concurrentLoads: integer(1, MAX_COUNT).optional(),
});

const retriesSection = z.strictObject({
  /** Retries as a fraction of requests, in each pool. */
  fraction: decimal(0, 1).optional(),
  /** Sliding window in which both are counted. */
  window: duration().optional(),
  /** Retries of a window beyond the fraction, of all gateways together. */
  slack: decimal(0, MAX_COUNT).optional(),
});

/** Sections of the settings file of a control member. */
export const CONTROL_SCHEMA = {
  ...COMMON_SECTIONS,
  member: memberSection,
  administration: administrationSection,
  limits: limitsSection,
  retries: retriesSection,
} as const;

/** Values of the settings file of a control member. */
export type ControlValues = FileValues<typeof CONTROL_SCHEMA>;

/** Settings from the file; those that have a default may be missing. */
type FileSettings = Omit<ControlSettings, keyof typeof CONTROL_DEFAULTS> &
  Partial<ControlSettings>;

function toContactLimits({
  leaderContactLimit = CONTROL_DEFAULTS.leaderContactLimitMs,
  heartbeatInterval = CONTROL_DEFAULTS.heartbeatIntervalMs,
  drainTimeout,
}: ControlValues['limits']): Pick<
  ControlSettings,
  'leaderContactLimitMs' | 'heartbeatIntervalMs'
> {
  if (drainTimeout === undefined) {
    return {
      leaderContactLimitMs: leaderContactLimit,
      heartbeatIntervalMs: heartbeatInterval,
    };
  }
  const limitMs = listAgeLimitMs(drainTimeout, leaderContactLimit);
  return {
    leaderContactLimitMs: limitMs,
    heartbeatIntervalMs: heartbeatIntervalMs(limitMs, heartbeatInterval),
  };
}

/**
 * @param values the validated file
 * @returns settings of the control member, without those left to the defaults
 */
export function toControlSettings(values: ControlValues): FileSettings {
  const {process: identity, platform, member, limits, retries} = values;
  return {
    nodeName: identity.name,
    region: identity.region,
    availabilityZone: identity.availabilityZone,
    address: formatHostPort(member.address ?? member.listen),
    host: member.listen.host,
    port: member.listen.port,
    administrationAddress: formatHostPort(values.administration.listen),
    members: formatAddresses(withPort(member.members, member.memberPort)),
    dataFolder: join(platform.dataFolder, CONSENSUS_FOLDER),
    ...keepDefined({
      mayFormGroup: member.mayForm,
      openMembership: member.openMembership,
      toleratedLosses: member.toleratedLosses,
      observer: member.observer,
      zones: member.zones,
      leaseMs: limits.lease,
      digestIntervalMs: limits.digestInterval,
      ...toContactLimits(limits),
      historyLimit: limits.historyRevisions,
      answerRetentionMs: limits.answerRetention,
      keyRetentionMs: limits.keyRetention,
      openClaimLimitMs: limits.openClaimLimit,
      ledgerLimit: limits.ledgerEntries,
      concurrentLoads: limits.concurrentLoads,
      retryFraction: retries.fraction,
      retryWindowMs: retries.window,
      retrySlack: retries.slack,
    }),
  };
}

/**
 * @param values the validated file
 * @param environment environment variables, one of them the operators' token
 * @returns settings of the administration server, without those left to the
 *     defaults
 */
export function toOperatorSettings(
  {administration}: ControlValues,
  environment: Readonly<Record<string, string | undefined>>,
): Partial<OperatorSettings> {
  const {listen, tokenVariable, maxBody, maxHeld} = administration;
  return {
    host: listen.host,
    port: listen.port,
    ...keepDefined({
      token: environment[tokenVariable],
      maxBodyBytes: maxBody,
      maxHeldBytes: maxHeld,
      maxConnections: administration.maxConnections,
      requestTimeoutMs: administration.requestTimeout,
    }),
  };
}
