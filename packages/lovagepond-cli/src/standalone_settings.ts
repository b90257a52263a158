/**
 * The built-in set that `standalone` runs without `--set`. Its sections have
 * the form of a parsed settings file and pass the same validation.
 */
import {type ParsedSettings} from '@lovagepond/process';
import {type RoleName} from './cli_constants.js';
import {STANDALONE_CONFIGURATION} from './standalone_configuration.js';
import {type FleetSet} from './standalone_set.js';

const ROUTERS = 2;
const ENGINES = 3;
const SERVICES = 1;

/** Administration listens on the port that `ctl` uses by default. */
const PORT = {
  PLATFORM: 7_400,
  CONTROL: 7_401,
  ADMINISTRATION: 7_403,
  FIRST_ROUTER: 7_411,
  FIRST_SIDECAR: 7_421,
  FIRST_BACKEND: 7_431,
} as const;

function loopbackAddress(port: number): string {
  return `127.0.0.1:${port}`;
}

function createParsedSettings(
  role: RoleName,
  name: string,
  sections: ParsedSettings['sections'],
): ParsedSettings {
  const common = {
    process: {role, name, region: 'loopback', availabilityZone: 'here'},
    platform: {address: loopbackAddress(PORT.PLATFORM), dataFolder: name},
  };
  return {file: name, sections: {...common, ...sections}, faults: []};
}

function createControlSettings(): ParsedSettings {
  const address = loopbackAddress(PORT.CONTROL);
  return createParsedSettings('control', 'control-1', {
    member: {listen: address, members: address},
    administration: {listen: loopbackAddress(PORT.ADMINISTRATION)},
  });
}

function createSidecarSettings(index: number): ParsedSettings {
  const isEngine = index < ENGINES;
  const name = isEngine ? `engine-${index + 1}` : `check-${index + 1}`;
  return createParsedSettings('sidecar', name, {
    control: {members: loopbackAddress(PORT.CONTROL)},
    sidecar: {
      listen: loopbackAddress(PORT.FIRST_SIDECAR + index),
      pool: isEngine ? 'chat-models' : 'checks',
    },
    backend: {
      kind: isEngine ? 'engine' : 'service',
      url: `http://${loopbackAddress(PORT.FIRST_BACKEND + index)}`,
    },
    labels: {tier: 'demo'},
  });
}

function createRouterSettings(index: number): ParsedSettings {
  return createParsedSettings('router', `router-${index + 1}`, {
    control: {members: loopbackAddress(PORT.CONTROL)},
    callers: {listen: loopbackAddress(PORT.FIRST_ROUTER + index)},
  });
}

/** @returns two routers, three engines, one service and one control member */
export function createBuiltInSet(): FleetSet {
  const sidecars = Array.from({length: ENGINES + SERVICES}, (_, index) =>
    createSidecarSettings(index),
  );
  const routers = Array.from({length: ROUTERS}, (_, index) =>
    createRouterSettings(index),
  );
  return {
    settings: [createControlSettings(), ...sidecars, ...routers],
    configuration: STANDALONE_CONFIGURATION,
  };
}
