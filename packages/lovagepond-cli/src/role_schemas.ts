/**
 * Settings schemas of all roles. Importing them loads no role's code.
 */
import {type FileSchema} from '@lovagepond/process';
import {type RoleName} from './cli_constants.js';
import {CONTROL_SCHEMA} from './settings_control.js';
import {GATEWAY_SCHEMA} from './settings_gateway.js';
import {ROUTER_SCHEMA} from './settings_router.js';
import {SIDECAR_SCHEMA} from './settings_sidecar.js';

/** Settings schema by role name. */
export const ROLE_SCHEMAS: Readonly<Record<RoleName, FileSchema>> = {
  control: CONTROL_SCHEMA,
  gateway: GATEWAY_SCHEMA,
  router: ROUTER_SCHEMA,
  sidecar: SIDECAR_SCHEMA,
};
