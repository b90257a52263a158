/**
 * Imports the code of a role on demand, and of no other role.
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
 * @param role name of the role
 * @returns the definition of the role
 */
export function loadRoleDefinition(role: RoleName): Promise<RoleDefinition> {
  return LOADERS[role]();
}
