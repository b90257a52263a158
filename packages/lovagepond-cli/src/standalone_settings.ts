/**
 * Settings of every role that `standalone` runs in one process.
 *
 * They are sections of keys, as a settings file would hold them, and pass the
 * same checks.
 */
import {type ParsedSettings} from '@lovagepond/platform';
import {type RoleName} from './cli_constants.js';

/** Counts of what runs in the one process. */
export const STANDALONE_COUNTS = {ROUTERS: 2, ENGINES: 3, SERVICES: 1} as const;

/** Which port each part listens on. */
export interface PortPlan {
  readonly platform: number;
  readonly control: number;
  readonly administration: number;
  readonly routers: readonly number[];
  /** One for each backend server: engines first, then services. */
  readonly sidecars: readonly number[];
  readonly backends: readonly number[];
}

/** One role's settings, not checked yet. */
export interface StandaloneRole {
  readonly role: RoleName;
  readonly parsed: ParsedSettings;
}

const HOST = '127.0.0.1';
/** Administration has the port that `ctl` tries by default. */
const FIRST_PORT = {
  /** Platform, control, administration. */
  SHARED: [7_400, 7_401, 7_403],
  ROUTERS: 7_411,
  SIDECARS: 7_421,
  BACKENDS: 7_431,
} as const;
const BACKENDS = STANDALONE_COUNTS.ENGINES + STANDALONE_COUNTS.SERVICES;

/** Ports that {@link planPorts} needs. */
export const PORT_COUNT = 3 + STANDALONE_COUNTS.ROUTERS + 2 * BACKENDS;

/**
 * @param ports as many ports as {@link PORT_COUNT}
 * @returns which part takes which
 */
export function planPorts(ports: readonly number[]): PortPlan {
  const left = [...ports];
  const take = (count: number): number[] => left.splice(0, count);
  const [platform = 0, control = 0, administration = 0] = take(3);
  return {
    platform,
    control,
    administration,
    routers: take(STANDALONE_COUNTS.ROUTERS),
    sidecars: take(BACKENDS),
    backends: take(BACKENDS),
  };
}

/** @returns the ports that `npm start` uses, in the order of the plan */
export function listFixedPorts(): number[] {
  const count = (first: number, length: number): number[] =>
    Array.from({length}, (_, index) => first + index);
  return [
    ...FIRST_PORT.SHARED,
    ...count(FIRST_PORT.ROUTERS, STANDALONE_COUNTS.ROUTERS),
    ...count(FIRST_PORT.SIDECARS, BACKENDS),
    ...count(FIRST_PORT.BACKENDS, BACKENDS),
  ];
}

function at(port: number): string {
  return `${HOST}:${port}`;
}

function makeCommon(
  role: RoleName,
  name: string,
  plan: PortPlan,
  dataFolder: string,
): ParsedSettings['sections'] {
  return {
    process: {role, name, region: 'loopback', availabilityZone: 'here'},
    platform: {address: at(plan.platform), dataFolder},
  };
}

function makeControl(plan: PortPlan, dataFolder: string): StandaloneRole {
  const name = 'control-1';
  const sections = {
    ...makeCommon('control', name, plan, dataFolder),
    member: {listen: at(plan.control), members: at(plan.control)},
    administration: {listen: at(plan.administration)},
  };
  return {role: 'control', parsed: {file: name, sections, faults: []}};
}

function makeSidecar(
  plan: PortPlan,
  index: number,
  dataFolder: string,
): StandaloneRole {
  const isEngine = index < STANDALONE_COUNTS.ENGINES;
  const name = isEngine ? `engine-${index + 1}` : `check-${index + 1}`;
  const sections = {
    ...makeCommon('sidecar', name, plan, dataFolder),
    control: {members: at(plan.control)},
    sidecar: {
      listen: at(plan.sidecars[index] ?? 0),
      pool: isEngine ? 'chat-models' : 'checks',
    },
    backend: {
      kind: isEngine ? 'engine' : 'service',
      url: `http://${at(plan.backends[index] ?? 0)}`,
    },
    labels: {tier: 'demo'},
  };
  return {role: 'sidecar', parsed: {file: name, sections, faults: []}};
}

function makeRouter(
  plan: PortPlan,
  port: number,
  index: number,
  dataFolder: string,
): StandaloneRole {
  const name = `router-${index + 1}`;
  const sections = {
    ...makeCommon('router', name, plan, dataFolder),
    control: {members: at(plan.control)},
    callers: {listen: at(port)},
  };
  return {role: 'router', parsed: {file: name, sections, faults: []}};
}

/**
 * @param plan the ports
 * @param dataFolder folder of the whole process
 * @returns every role's settings, in the order of their start
 */
export function makeStandaloneRoles(
  plan: PortPlan,
  dataFolder: string,
): StandaloneRole[] {
  return [
    makeControl(plan, dataFolder),
    ...plan.sidecars.map((_, index) => makeSidecar(plan, index, dataFolder)),
    ...plan.routers.map((port, index) =>
      makeRouter(plan, port, index, dataFolder),
    ),
  ];
}
