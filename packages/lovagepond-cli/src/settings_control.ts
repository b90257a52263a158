/**
 * Settings file of a member of control.
 */
import {join} from 'node:path';
import {type CONTROL_DEFAULTS, type ControlSettings} from '@lovagepond/control';
import {
  boolean,
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
import {z} from '@lovagepond/core';
import {COMMON_SECTIONS} from './settings_sections.js';
import {formatAddresses, keepDefined, withPort} from './settings_utils.js';

const MAX_PORT = 65_535;
const MAX_COUNT = 100_000_000;
/** A group of nine bears four; more members only slow it down. */
const MAX_TOLERATED_LOSSES = 4;
/** Within the data folder; state dumps stand beside it. */
const CONSENSUS_FOLDER = 'consensus';

const memberSection = z.strictObject({
  listen: withTraits(hostPort(), {listens: true}),
  /** Told to other members in place of the address listened on. */
  address: hostPort().optional(),
  /** All members, this one too, at the group's first start. */
  members: list(hostPort()),
  /** Takes the place of the ports in `members`. */
  memberPort: integer(1, MAX_PORT).optional(),
  /** False where the hosts' data folders can't all be new. */
  mayForm: boolean().optional(),
  /** Hosts that `members` doesn't name may take the places of lost ones. */
  openMembership: boolean().optional(),
  /** Hosts that the group must be able to lose at once. */
  toleratedLosses: integer(0, MAX_TOLERATED_LOSSES).optional(),
  /** True on a host without a disk: it follows and never votes. */
  observer: boolean().optional(),
  /** Shortest silence of a leader after which members elect another. */
  electionTimeout: duration().optional(),
  /** Time between two messages of the leader; a sixth of the timeout fits. */
  heartbeat: duration().optional(),
});

const administrationSection = z.strictObject({
  listen: withTraits(hostPort(), {listens: true}),
  /** Environment variable that holds the operators' token. */
  tokenVariable: nameText().prefault('LOVAGEPOND_TOKEN'),
  maxBody: size().optional(),
  requestTimeout: duration().optional(),
});

const limitsSection = z.strictObject({
  lease: duration().optional(),
  digestInterval: duration().optional(),
  heartbeatInterval: duration().optional(),
  leaderContactLimit: duration().optional(),
  historyRevisions: integer(1, MAX_COUNT).optional(),
  answerRetention: duration().optional(),
  keyRetention: duration().optional(),
  openClaimLimit: duration().optional(),
  ledgerEntries: integer(1, MAX_COUNT).optional(),
  concurrentLoads: integer(1, MAX_COUNT).optional(),
});

/** Sections of a control member's settings file. */
export const CONTROL_SCHEMA = {
  ...COMMON_SECTIONS,
  member: memberSection,
  administration: administrationSection,
  limits: limitsSection,
} as const;

/** Values of a control member's settings file. */
export type ControlValues = FileValues<typeof CONTROL_SCHEMA>;

/** What a member's file always sets; the rest has defaults. */
type FileSettings = Omit<ControlSettings, keyof typeof CONTROL_DEFAULTS> &
  Partial<ControlSettings>;

/**
 * @param values the checked file
 * @returns settings of the control member, without those left to its defaults
 */
export function toControlSettings(values: ControlValues): FileSettings {
  const {process: identity, platform, member, limits} = values;
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
      leaseMs: limits.lease,
      digestIntervalMs: limits.digestInterval,
      heartbeatIntervalMs: limits.heartbeatInterval,
      leaderContactLimitMs: limits.leaderContactLimit,
      historyLimit: limits.historyRevisions,
      answerRetentionMs: limits.answerRetention,
      keyRetentionMs: limits.keyRetention,
      openClaimLimitMs: limits.openClaimLimit,
      ledgerLimit: limits.ledgerEntries,
      concurrentLoads: limits.concurrentLoads,
    }),
  };
}

/**
 * @param values the checked file
 * @param environment where the operators' token is
 * @returns settings of the administration server, without those left to its
 *     defaults
 */
export function toOperatorSettings(
  {administration}: ControlValues,
  environment: Readonly<Record<string, string | undefined>>,
): Partial<OperatorSettings> {
  const {listen, tokenVariable, maxBody, requestTimeout} = administration;
  return {
    host: listen.host,
    port: listen.port,
    ...keepDefined({
      token: environment[tokenVariable],
      maxBodyBytes: maxBody,
      requestTimeoutMs: requestTimeout,
    }),
  };
}
