/**
 * Creates a control member from its settings.
 */
import {type ConsensusTimings} from '@lovagepond/consensus';
import {
  CONTROL_DEFAULTS,
  CONTROL_TIMINGS,
  type ControlDependencies,
  ControlRole,
} from '@lovagepond/control';
import {AdministrationServer} from '@lovagepond/operator/server';
import {DEFAULT_OPERATOR_SETTINGS} from '@lovagepond/operator/settings';
import {ControlMember} from './control_member.js';
import {type RoleDefinition, type RoleDependencies} from './role_definition.js';
import {keepDefined} from './settings_utils.js';
import {
  CONTROL_SCHEMA,
  type ControlValues,
  toControlSettings,
  toOperatorSettings,
} from './settings_control.js';

/** A control member with its administration server, and its control role. */
export interface CreatedControlMember {
  readonly member: ControlMember;
  readonly control: ControlRole;
}

/**
 * @param values the validated settings
 * @returns consensus timings
 */
function toTimings({member}: ControlValues): ConsensusTimings {
  return {
    ...CONTROL_TIMINGS,
    ...keepDefined({
      electionTimeoutMs: member.electionTimeout,
      heartbeatIntervalMs: member.heartbeat,
    }),
  };
}

/**
 * The monotonic clock of a process starts at 0 when the process starts. An
 * earlier process of the same member had ended by then.
 */
const PROCESS_STARTED_AT = 0;

/**
 * @param values the validated settings
 * @param dependencies clock, log and random numbers of the process
 * @param extraDependencies optional dependencies of the control role
 * @returns the member and its control role, not started yet
 */
export function createControlMember(
  values: ControlValues,
  {clock, log, random}: RoleDependencies,
  extraDependencies: Pick<ControlDependencies, 'readHeldContexts'> = {},
): CreatedControlMember {
  const settings = {...CONTROL_DEFAULTS, ...toControlSettings(values)};
  const control = new ControlRole(settings, {
    clock,
    log,
    random,
    timings: toTimings(values),
    processStartedAt: PROCESS_STARTED_AT,
    ...extraDependencies,
  });
  const administration = new AdministrationServer(
    control.administration,
    {
      ...DEFAULT_OPERATOR_SETTINGS,
      ...toOperatorSettings(values, process.env),
    },
    log,
  );
  return {member: new ControlMember(control, administration), control};
}

/** The control role together with its administration server. */
export const CONTROL_ROLE: RoleDefinition<typeof CONTROL_SCHEMA> = {
  name: 'control',
  schema: CONTROL_SCHEMA,
  createRole(values, dependencies) {
    return Promise.resolve(createControlMember(values, dependencies).member);
  },
};
