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
  type LogLevel,
  MetricsRegistry,
  ProcessRunner,
  registerProcessMetrics,
  RoarrLogger,
  SystemClock,
} from '@lovagepond/platform';
import {findFreePorts} from './free_ports.js';
import {type RoleParts} from './role_definition.js';
import {checkChat} from './self_check.js';
import {makeStandaloneFleet} from './standalone_fleet.js';
import {StandaloneRole} from './standalone_role.js';
import {
  listFixedPorts,
  planPorts,
  PORT_COUNT,
  type PortPlan,
} from './standalone_settings.js';

const ANNOUNCE_DELAY_MS = 200;
const DRAIN_LIMIT_MS = 10_000;
const HOST = '127.0.0.1';

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

async function makeRole(
  plan: PortPlan,
  dataFolder: string,
  parts: RoleParts,
): Promise<StandaloneRole> {
  const {metrics, clock} = parts;
  const fleet = await makeStandaloneFleet(plan, dataFolder, parts, metrics);
  return new StandaloneRole(fleet, clock);
}

function printGuide({platform, administration, routers}: PortPlan): void {
  const lines = [
    ...routers.map(port => `router          http://${HOST}:${port}`),
    `administration  http://${HOST}:${administration}`,
    `metrics, dump   http://${HOST}:${platform}/metrics  /dump`,
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

/**
 * Runs until a signal ends the process.
 *
 * @param dataFolder the only folder that it writes to
 * @param logLevel least level that is logged
 * @returns the exit code
 */
export async function runStandalone(
  dataFolder: string,
  logLevel: LogLevel,
): Promise<ExitCode> {
  const plan = planPorts(listFixedPorts());
  const parts = makeParts(logLevel);
  const role = await makeRole(plan, dataFolder, parts);
  const settings = {
    address: {host: HOST, port: plan.platform},
    dataFolder,
    announceDelayMs: ANNOUNCE_DELAY_MS,
    drainLimitMs: DRAIN_LIMIT_MS,
  };
  const reload = (): void => {
    parts.log.info('standalone has no settings file to reload');
  };
  printGuide(plan);
  try {
    return await new ProcessRunner(settings, {...parts, role, reload}).run();
  } catch (err) {
    process.stderr.write(`standalone could not start: ${String(err)}\n`);
    return EXIT_CODE.START;
  }
}

/**
 * Starts the fleet on free ports, sends it one chat, and ends.
 *
 * @returns the exit code
 */
export async function runSelfCheck(): Promise<ExitCode> {
  const dataFolder = mkdtempSync(join(tmpdir(), 'lovagepond-self-check-'));
  const plan = planPorts(await findFreePorts(PORT_COUNT));
  const parts = makeParts('error');
  const role = await makeRole(plan, dataFolder, parts);
  try {
    await role.start();
    const lines = await checkChat(role, parts.clock, plan.routers);
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
