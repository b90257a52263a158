/**
 * The set of settings that `standalone` runs when it is given none: sections
 * of keys as settings files would hold them, which pass the same checks.
 */
import {type ParsedSettings} from '@lovagepond/process';
import {type RoleName} from './cli_constants.js';
import {STANDALONE_CONFIGURATION} from './standalone_configuration.js';
import {type FleetSet} from './standalone_set.js';

const ROUTERS = 2;
const ENGINES = 3;
const SERVICES = 1;

/** Administration has the port that `ctl` tries by default. */
const PORT = {
  PLATFORM: 7_400,
  CONTROL: 7_401,
  ADMINISTRATION: 7_403,
  FIRST_ROUTER: 7_411,
  FIRST_SIDECAR: 7_421,
  FIRST_BACKEND: 7_431,
} as const;

function at(port: number): string {
  return `127.0.0.1:${port}`;
}

function parsedAs(
  role: RoleName,
  name: string,
  sections: ParsedSettings['sections'],
): ParsedSettings {
  const common = {
    process: {role, name, region: 'loopback', availabilityZone: 'here'},
    platform: {address: at(PORT.PLATFORM), dataFolder: name},
  };
  return {file: name, sections: {...common, ...sections}, faults: []};
}

function makeControl(): ParsedSettings {
  const address = at(PORT.CONTROL);
  return parsedAs('control', 'control-1', {
    member: {listen: address, members: address},
    administration: {listen: at(PORT.ADMINISTRATION)},
  });
}

function makeSidecar(index: number): ParsedSettings {
  const isEngine = index < ENGINES;
  const name = isEngine ? `engine-${index + 1}` : `check-${index + 1}`;
  return parsedAs('sidecar', name, {
    control: {members: at(PORT.CONTROL)},
    sidecar: {
      listen: at(PORT.FIRST_SIDECAR + index),
      pool: isEngine ? 'chat-models' : 'checks',
    },
    backend: {
      kind: isEngine ? 'engine' : 'service',
      url: `http://${at(PORT.FIRST_BACKEND + index)}`,
    },
    labels: {tier: 'demo'},
  });
}

function makeRouter(index: number): ParsedSettings {
  return parsedAs('router', `router-${index + 1}`, {
    control: {members: at(PORT.CONTROL)},
    callers: {listen: at(PORT.FIRST_ROUTER + index)},
  });
}

/** @returns two routers, three engines, one service and one control member */
export function makeBuiltInSet(): FleetSet {
  const sidecars = Array.from({length: ENGINES + SERVICES}, (_, index) =>
    makeSidecar(index),
  );
  const routers = Array.from({length: ROUTERS}, (_, index) =>
    makeRouter(index),
  );
  return {
    settings: [makeControl(), ...sidecars, ...routers],
    configuration: STANDALONE_CONFIGURATION,
  };
}
