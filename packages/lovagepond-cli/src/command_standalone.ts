/**
 * `lovagepond standalone`: runs every role and fake backend servers in one
 * process.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Random} from '@lovagepond/core';
import {
  EXIT_CODE,
  type ExitCode,
  type HostPort,
  type LogLevel,
  MetricsRegistry,
  parseHostPort,
  ProcessRunner,
  registerProcessMetrics,
  RoarrLogger,
  SystemClock,
} from '@lovagepond/process';
import {type RoleDependencies} from './role_definition.js';
import {checkFleet} from './self_check.js';
import {createStandaloneFleet} from './standalone_fleet.js';
import {StandaloneRole} from './standalone_role.js';
import {
  assignDataFolders,
  assignFreePorts,
  type FleetSet,
  readSetFolder,
} from './standalone_set.js';
import {createBuiltInSet} from './standalone_settings.js';

const ANNOUNCE_DELAY_MS = 200;
const DRAIN_LIMIT_MS = 10_000;
const LOOPBACK: HostPort = {host: '127.0.0.1', port: 0};

function createRoleDependencies(level: LogLevel): RoleDependencies {
  const clock = new SystemClock();
  const metrics = new MetricsRegistry();
  registerProcessMetrics(metrics);
  return {
    clock,
    metrics,
    log: new RoarrLogger(level, {role: 'standalone'}),
    random: new Random(clock.wallTime() >>> 0),
  };
}

function readSet(setFolder: string | undefined): FleetSet {
  return setFolder === undefined
    ? createBuiltInSet()
    : readSetFolder(setFolder);
}

function listAddresses(
  {settings}: FleetSet,
  section: string,
  key: string,
): string[] {
  return settings.flatMap(({sections}) => sections[section]?.[key] ?? []);
}

async function createStandaloneRole(
  set: FleetSet,
  dependencies: RoleDependencies,
): Promise<StandaloneRole> {
  const fleet = await createStandaloneFleet(set, dependencies);
  return new StandaloneRole(fleet, set.configuration, dependencies.clock);
}

function printAddresses(set: FleetSet, platform: string): void {
  const routers = listAddresses(set, 'callers', 'listen');
  const administration = listAddresses(set, 'administration', 'listen');
  const lines = [
    ...routers.map(address => `router          http://${address}`),
    ...administration.map(address => `administration  http://${address}`),
    `metrics, dump   http://${platform}/metrics  /dump`,
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

/** Command-line options of `standalone`. */
export interface StandaloneOptions {
  /** The only folder that the process writes to. */
  readonly dataFolder: string;
  /** Lowest level that is logged. */
  readonly logLevel: LogLevel;
  /** Folder of settings files; the built-in set when left out. */
  readonly set?: string;
}

/**
 * Runs until a signal ends the process.
 *
 * @param options the command-line options
 * @returns the exit code
 */
export async function runStandalone({
  dataFolder,
  logLevel,
  set: setFolder,
}: StandaloneOptions): Promise<ExitCode> {
  try {
    const set = assignDataFolders(readSet(setFolder), dataFolder);
    const dependencies = createRoleDependencies(logLevel);
    const role = await createStandaloneRole(set, dependencies);
    const platform = listAddresses(set, 'platform', 'address')[0] ?? '';
    const settings = {
      address: parseHostPort(platform) ?? LOOPBACK,
      dataFolder,
      announceDelayMs: ANNOUNCE_DELAY_MS,
      drainLimitMs: DRAIN_LIMIT_MS,
    };
    const reload = (): void => {
      dependencies.log.warn('standalone does not reload settings');
    };
    printAddresses(set, platform);
    return await new ProcessRunner(settings, {
      ...dependencies,
      role,
      reload,
    }).run();
  } catch (err) {
    process.stderr.write(`standalone could not start: ${String(err)}\n`);
    return EXIT_CODE.START;
  }
}

/**
 * Starts the fleet on free ports, sends test requests through it and stops it.
 *
 * @param setFolder folder of settings files; the built-in set when left out
 * @returns the exit code
 */
export async function runSelfCheck(setFolder?: string): Promise<ExitCode> {
  const dataFolder = mkdtempSync(join(tmpdir(), 'lovagepond-self-check-'));
  const setOnFreePorts = await assignFreePorts(readSet(setFolder));
  const set = assignDataFolders(setOnFreePorts, dataFolder);
  const dependencies = createRoleDependencies('error');
  const role = await createStandaloneRole(set, dependencies);
  const routers = listAddresses(set, 'callers', 'listen');
  const {configuration} = set;
  try {
    await role.start();
    const target = {routers, configuration};
    const lines = await checkFleet(role, dependencies.clock, target);
    process.stdout.write(`${lines.join('\n')}\n`);
    return EXIT_CODE.OK;
  } catch (err) {
    process.stderr.write(`self-check failed: ${String(err)}\n`);
    return EXIT_CODE.INTERNAL;
  } finally {
    await role.stop();
    rmSync(dataFolder, {recursive: true, force: true});
  }
}
