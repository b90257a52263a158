/**
 * How a member of control is made from its settings file.
 */
import {CONTROL_DEFAULTS, ControlRole} from '@lovagepond/control';
import {AdministrationServer} from '@lovagepond/operator/server';
import {DEFAULT_OPERATOR_SETTINGS} from '@lovagepond/operator/settings';
import {ControlMember} from './control_member.js';
import {type RoleDefinition} from './role_definition.js';
import {
  CONTROL_SCHEMA,
  toControlSettings,
  toOperatorSettings,
} from './settings_control.js';

/** The control role, with its administration server. */
export const CONTROL_ROLE: RoleDefinition<typeof CONTROL_SCHEMA> = {
  name: 'control',
  schema: CONTROL_SCHEMA,
  createRole(values, {clock, log, random}) {
    const settings = {...CONTROL_DEFAULTS, ...toControlSettings(values)};
    const control = new ControlRole(settings, {clock, log, random});
    const administration = new AdministrationServer(
      control.administration,
      {
        ...DEFAULT_OPERATOR_SETTINGS,
        ...toOperatorSettings(values, process.env),
      },
      log,
    );
    return Promise.resolve(new ControlMember(control, administration));
  },
};
