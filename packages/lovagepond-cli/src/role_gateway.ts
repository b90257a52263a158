/**
 * Creates a gateway from its settings.
 */
import {
  DEFAULT_GATEWAY_SETTINGS,
  DEFAULT_HEADER_NAMES,
  type GatewayHeaderNames,
  GatewayRole,
} from '@lovagepond/gateway';
import {type RoleDefinition} from './role_definition.js';
import {GATEWAY_SCHEMA, toGatewaySettings} from './settings_gateway.js';

/**
 * @param names the header names that callers and backend servers use
 * @returns the definition of the gateway role
 */
export function createGatewayDefinition(
  names: GatewayHeaderNames,
): RoleDefinition<typeof GATEWAY_SCHEMA> {
  return {
    name: 'gateway',
    schema: GATEWAY_SCHEMA,
    createRole(values, {clock, log, random}) {
      const settings = {
        ...DEFAULT_GATEWAY_SETTINGS,
        ...toGatewaySettings(values),
      };
      const dependencies = {clock, log, random, names};
      return Promise.resolve(new GatewayRole(settings, dependencies));
    },
  };
}

/** The gateway role with the default header names. */
export const GATEWAY_ROLE = createGatewayDefinition(DEFAULT_HEADER_NAMES);
