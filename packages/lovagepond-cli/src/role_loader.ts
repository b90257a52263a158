/**
 * Loads a role's code when it is asked for, and no other role's.
 */
import {type RoleName} from './cli_constants.js';
import {type RoleDefinition} from './role_definition.js';

const LOADERS: Readonly<Record<RoleName, () => Promise<RoleDefinition>>> = {
  router: async () => (await import('./role_router.js')).ROUTER_ROLE,
  sidecar: async () => (await import('./role_sidecar.js')).SIDECAR_ROLE,
  control: async () => (await import('./role_control.js')).CONTROL_ROLE,
  gateway: async () => (await import('./role_gateway.js')).GATEWAY_ROLE,
};

/**
 * @param role a role's name
 * @returns how it is set and made
 */
export function loadRoleDefinition(role: RoleName): Promise<RoleDefinition> {
  return LOADERS[role]();
}
