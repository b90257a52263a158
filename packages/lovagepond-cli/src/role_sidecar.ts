/**
 * Creates a sidecar from its settings.
 */
import {
  DEFAULT_HTTP_CLIENT_SETTINGS,
  DEFAULT_MAX_CACHE_BYTES,
  DEFAULT_SERVICE_CLIENT_SETTINGS,
  HttpModelEngine,
  HttpPlainService,
} from '@lovagepond/backend';
import {type Random} from '@lovagepond/core';
import {
  type Backend,
  type BackendKind,
  DEFAULT_SIDECAR_SETTINGS,
  SidecarRole,
} from '@lovagepond/sidecar';
import {type RoleDefinition} from './role_definition.js';
import {SIDECAR_SCHEMA, toSidecarSettings} from './settings_sidecar.js';

const BACKEND_FACTORIES: Readonly<
  Record<BackendKind, (origin: string, random: Random) => Backend>
> = {
  engine: (origin, random) => {
    const maxCacheBytes = DEFAULT_MAX_CACHE_BYTES;
    const settings = {...DEFAULT_HTTP_CLIENT_SETTINGS, origin, maxCacheBytes};
    return {kind: 'engine', engine: new HttpModelEngine(settings, random)};
  },
  service: origin => {
    const settings = {...DEFAULT_SERVICE_CLIENT_SETTINGS, origin};
    return {kind: 'service', service: new HttpPlainService(settings)};
  },
};

/** The sidecar role, connected to its backend server. */
export const SIDECAR_ROLE: RoleDefinition<typeof SIDECAR_SCHEMA> = {
  name: 'sidecar',
  schema: SIDECAR_SCHEMA,
  createRole(values, {clock, log, random}) {
    const {kind, url} = values.backend;
    const backend = BACKEND_FACTORIES[kind](url, random);
    const settings = {
      ...DEFAULT_SIDECAR_SETTINGS,
      ...toSidecarSettings(values),
    };
    const dependencies = {clock, log, random, backend};
    return Promise.resolve(new SidecarRole(settings, dependencies));
  },
};
