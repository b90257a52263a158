/**
 * How a member of control is made from its settings file.
 */
import {type ConsensusTimings} from '@lovagepond/consensus';
import {
  CONTROL_DEFAULTS,
  CONTROL_TIMINGS,
  type ControlParts,
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

/** A member of control, and the control role inside of it. */
export interface CreatedControlMember {
  readonly member: ControlMember;
  readonly control: ControlRole;
}

/**
 * @param values the checked file
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
 * The clock of a process counts from its start, and a member's former life was
 * in a process that had ended by then.
 */
const PROCESS_STARTED_AT = 0;

/**
 * @param values the checked settings file
 * @param parts what each role is given
 * @returns the member with its administration server, not started yet
 */
export function createControlMember(
  values: ControlValues,
  {clock, log, random}: RoleDependencies,
  extraDependencies: Pick<ControlParts, 'readHeldContexts'> = {},
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

/** The control role, with its administration server. */
export const CONTROL_ROLE: RoleDefinition<typeof CONTROL_SCHEMA> = {
  name: 'control',
  schema: CONTROL_SCHEMA,
  createRole(values, dependencies) {
    return Promise.resolve(createControlMember(values, dependencies).member);
  },
};
