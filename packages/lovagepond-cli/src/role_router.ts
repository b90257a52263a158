/**
 * Creates a router from its settings.
 */
import {CallerServer, DEFAULT_CALLER_SETTINGS} from '@lovagepond/caller';
import {DEFAULT_ROUTER_SETTINGS, RouterRole} from '@lovagepond/router';
import {type RoleDefinition} from './role_definition.js';
import {
  ROUTER_SCHEMA,
  toCallerSettings,
  toRouterSettings,
} from './settings_router.js';

/** The router role. */
export const ROUTER_ROLE: RoleDefinition<typeof ROUTER_SCHEMA> = {
  name: 'router',
  schema: ROUTER_SCHEMA,
  createRole(values, dependencies) {
    const settings = {...DEFAULT_ROUTER_SETTINGS, ...toRouterSettings(values)};
    const callerSettings = {
      ...DEFAULT_CALLER_SETTINGS,
      ...toCallerSettings(values),
    };
    const {clock, log, random} = dependencies;
    return Promise.resolve(
      new RouterRole(settings, {
        clock,
        log,
        random,
        createFront: handler =>
          new CallerServer(callerSettings, {clock, handler, log}),
      }),
    );
  },
};
