/**
 * `lovagepond standalone`: every role and stand-ins for the backend servers in
 * one process.
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
import {type RoleParts} from './role_definition.js';
import {checkFleet} from './self_check.js';
import {makeStandaloneFleet} from './standalone_fleet.js';
import {StandaloneRole} from './standalone_role.js';
import {
  type FleetSet,
  moveToFolder,
  moveToFreePorts,
  readSetFolder,
} from './standalone_set.js';
import {makeBuiltInSet} from './standalone_settings.js';

const ANNOUNCE_DELAY_MS = 200;
const DRAIN_LIMIT_MS = 10_000;
const LOOPBACK: HostPort = {host: '127.0.0.1', port: 0};

function makeParts(level: LogLevel): RoleParts {
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
  return setFolder === undefined ? makeBuiltInSet() : readSetFolder(setFolder);
}

function listAddresses(
  {settings}: FleetSet,
  section: string,
  key: string,
): string[] {
  return settings.flatMap(({sections}) => sections[section]?.[key] ?? []);
}

async function makeRole(
  set: FleetSet,
  parts: RoleParts,
): Promise<StandaloneRole> {
  const fleet = await makeStandaloneFleet(set, parts);
  return new StandaloneRole(fleet, set.configuration, parts.clock);
}

function printGuide(set: FleetSet, platform: string): void {
  const routers = listAddresses(set, 'callers', 'listen');
  const administration = listAddresses(set, 'administration', 'listen');
  const lines = [
    ...routers.map(address => `router          http://${address}`),
    ...administration.map(address => `administration  http://${address}`),
    `metrics, dump   http://${platform}/metrics  /dump`,
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

/** What `standalone` is told on the command line. */
export interface StandaloneOptions {
  /** The only folder that it writes to. */
  readonly dataFolder: string;
  /** Least level that is logged. */
  readonly logLevel: LogLevel;
  /** A folder of settings files; the built-in set without it. */
  readonly set?: string;
}

/**
 * Runs until a signal ends the process.
 *
 * @param options what to run
 * @returns the exit code
 */
export async function runStandalone({
  dataFolder,
  logLevel,
  set: setFolder,
}: StandaloneOptions): Promise<ExitCode> {
  try {
    const set = moveToFolder(readSet(setFolder), dataFolder);
    const parts = makeParts(logLevel);
    const role = await makeRole(set, parts);
    const platform = listAddresses(set, 'platform', 'address')[0] ?? '';
    const settings = {
      address: parseHostPort(platform) ?? LOOPBACK,
      dataFolder,
      announceDelayMs: ANNOUNCE_DELAY_MS,
      drainLimitMs: DRAIN_LIMIT_MS,
    };
    const reload = (): void => {
      parts.log.warn('standalone takes no settings over while it runs');
    };
    printGuide(set, platform);
    return await new ProcessRunner(settings, {...parts, role, reload}).run();
  } catch (err) {
    process.stderr.write(`standalone could not start: ${String(err)}\n`);
    return EXIT_CODE.START;
  }
}

/**
 * Starts the fleet on free ports, sends it a chat, and ends.
 *
 * @param setFolder a folder of settings files; the built-in set without it
 * @returns the exit code
 */
export async function runSelfCheck(setFolder?: string): Promise<ExitCode> {
  const dataFolder = mkdtempSync(join(tmpdir(), 'lovagepond-self-check-'));
  const moved = await moveToFreePorts(readSet(setFolder));
  const set = moveToFolder(moved, dataFolder);
  const parts = makeParts('error');
  const role = await makeRole(set, parts);
  const routers = listAddresses(set, 'callers', 'listen');
  const {configuration} = set;
  try {
    await role.start();
    const target = {routers, configuration};
    const lines = await checkFleet(role, parts.clock, target);
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
