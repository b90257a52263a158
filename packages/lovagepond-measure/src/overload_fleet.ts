/**
 * The processes of one scenario: stand-in servers, control members and
 * gateways, connected over loopback.
 */
import {type ChildProcess, fork, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdirSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {GATEWAY_SCHEMA} from '@lovagepond/cli/settings_gateway';
import {findFreePorts} from '../../../scripts/fleet_processes.mjs';
import {type ControlCommand} from './overload_control.js';
import {
  type BackendCommand,
  type BackendCounts,
  type BackendReply,
  type ControlProcessSettings,
  type Disturbance,
  type OverloadOptions,
  type OverloadScenario,
  TIMES,
} from './overload_types.js';

export const HOST = 'load.example';
const POOL = 'servers';
const START_LIMIT_MS = 20_000;
const POLL_MS = 50;
const FREEZE_MS = 2_000;
const DOWN_MS = 4_000;
const SLOWDOWN = 3;
const NANOSECONDS_PER_US = 1_000;

/** @returns the API key of a workspace */
export function keyOf(workspace: string): string {
  return `key-of-${workspace}`;
}

function makeConfiguration(
  {backends, groups}: OverloadScenario,
  admission: boolean,
): unknown {
  const {kind, slots, cacheTokens} = backends;
  const engine = {engineSlots: slots, contextTokens: cacheTokens};
  const isEngine = kind === 'engine';
  const kinds = [...new Set(groups.map(group => group.kind))];
  const workspaces = [...new Set(groups.map(group => group.workspace))];
  const {targetMs, deadlineMs} = TIMES[kind];
  return {
    pools: [
      {
        name: POOL,
        kind,
        ...(isEngine && engine),
        ...(admission && {admission: {}}),
      },
    ],
    workspaces: workspaces.map(name => ({name, apiKeys: [keyOf(name)]})),
    requestKinds: kinds.map(name => ({
      name,
      forwarding: {
        timeoutMs: deadlineMs,
        targetLatencyMs: targetMs,
        maxAttempts: 2,
        priority: name.startsWith('urgent') ? 8 : 5,
        streaming: isEngine,
        resumable: false,
        sticky: isEngine,
      },
    })),
    selectors: kinds.map(name => ({
      name,
      workspaces: ['*'],
      requestKinds: [name],
      pools: '',
      match: {host: HOST, pathPrefix: `/${name}/`},
      poolWeights: [{pool: POOL, weight: 1}],
    })),
  };
}

/** @returns processor time of all threads of a process, microseconds */
function processorUs(pid: number): number {
  const folder = `/proc/${pid}/task`;
  const times = readdirSync(folder).map(thread => {
    const text = readFileSync(`${folder}/${thread}/schedstat`, 'utf8');
    return Number(text.split(' ')[0]);
  });
  return times.reduce((sum, time) => sum + time, 0) / NANOSECONDS_PER_US;
}

function isRunning({exitCode, signalCode}: ChildProcess): boolean {
  return exitCode === null && signalCode === null;
}

async function nextMessage(child: ChildProcess): Promise<unknown> {
  const signal = AbortSignal.timeout(START_LIMIT_MS);
  const [message] = (await once(child, 'message', {signal})) as unknown[];
  return message;
}

async function waitForReady(url: string): Promise<void> {
  const deadline = Date.now() + START_LIMIT_MS;
  for (;;) {
    const isReady = await fetch(url).then(
      res => res.ok,
      () => false,
    );
    if (isReady) return;
    if (Date.now() > deadline) throw new Error(`${url} was not ready in time`);
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

export class OverloadFleet {
  readonly #scenario: OverloadScenario;
  readonly #options: OverloadOptions;
  readonly #folder: string;
  readonly #children: ChildProcess[] = [];
  #backends: ChildProcess | undefined;
  #controls: ChildProcess[] = [];
  #gateways: ChildProcess[] = [];
  #addresses: readonly string[] = [];
  #lastReply: Promise<unknown> = Promise.resolve();

  /** @param folder for settings and control's data; it must exist */
  constructor(
    scenario: OverloadScenario,
    options: OverloadOptions,
    folder: string,
  ) {
    this.#scenario = scenario;
    this.#options = options;
    this.#folder = folder;
    process.once('exit', this.#killAll);
  }

  /** Gateways would outlive a measurement that ends early. */
  readonly #killAll = (): void => {
    for (const child of this.#children) child.kill('SIGKILL');
  };

  /** `host:port` of each gateway. */
  get addresses(): readonly string[] {
    return this.#addresses;
  }

  /** Resolves when all gateways are ready. */
  async start(): Promise<void> {
    const {scenario, admission} = {...this.#options, scenario: this.#scenario};
    this.#backends = this.#fork('overload-backends');
    const {backends: spec, controls, gateways} = scenario;
    const started = await this.#command({kind: 'start', spec});
    if (started.kind !== 'started') throw new Error('no stand-in servers');
    const ports = await findFreePorts(controls + 2 * gateways);
    const members = ports.splice(0, controls).map(port => `127.0.0.1:${port}`);
    const announced = members.map(async (member, at) => {
      const settings: ControlProcessSettings = {
        name: `control-${at}`,
        port: Number(member.split(':')[1]),
        members,
        folder: join(this.#folder, `control-${at}`),
        configuration: makeConfiguration(scenario, admission),
        pool: POOL,
        slots: spec.slots,
        addresses: started.ports.map(port => `127.0.0.1:${port}`),
      };
      mkdirSync(settings.folder);
      const child = this.#fork('overload-control');
      this.#controls.push(child);
      child.send(settings);
      await nextMessage(child);
    });
    // Only the leader reports that it has announced all servers.
    await Promise.any(announced);
    const readiness = ports.splice(0, gateways);
    this.#addresses = ports.map(port => `127.0.0.1:${port}`);
    readiness.forEach((port, at) => {
      this.#startGateway(at, port, members);
    });
    await Promise.all(
      readiness.map(port => waitForReady(`http://127.0.0.1:${port}/readyz`)),
    );
  }

  /** @returns the servers' counters */
  async count(): Promise<BackendCounts> {
    const reply = await this.#command({kind: 'count'});
    if (reply.kind !== 'counted') throw new Error('no counts');
    return reply.counts;
  }

  /** @returns processor time of all running gateways, microseconds */
  processorUs(): number {
    return this.#gateways
      .filter(isRunning)
      .reduce((sum, {pid}) => sum + processorUs(pid ?? 0), 0);
  }

  async disturb(disturbance: Disturbance): Promise<void> {
    const all = [...Array(this.#scenario.backends.count).keys()];
    const gateway = this.#gateways[0] as ChildProcess;
    if (disturbance === 'slowHalf') {
      const servers = all.slice(0, all.length / 2);
      await this.#command({kind: 'slow', servers, factor: SLOWDOWN});
    } else if (disturbance === 'crashThird') {
      const servers = all.slice(0, all.length / 3);
      await this.#restart('crash', servers);
      setTimeout(() => void this.#restart('revive', servers), DOWN_MS);
    } else if (disturbance === 'stopControl') {
      for (const control of this.#controls) control.kill('SIGKILL');
    } else if (disturbance === 'killGateway') {
      gateway.kill('SIGKILL');
      await once(gateway, 'exit');
    } else {
      gateway.kill('SIGSTOP');
      setTimeout(() => gateway.kill('SIGCONT'), FREEZE_MS);
    }
  }

  async #restart(
    kind: 'crash' | 'revive',
    servers: readonly number[],
  ): Promise<void> {
    const {count} = this.#scenario.backends;
    const startedAt = kind === 'crash' ? undefined : Date.now();
    const command: ControlCommand = {
      starts: Array.from({length: count}, (_, at) =>
        servers.includes(at) ? startedAt : 1,
      ),
    };
    await this.#command({kind, servers});
    for (const control of this.#controls) control.send(command);
  }

  /** Kills all processes of the fleet. */
  async end(): Promise<void> {
    const running = this.#children.filter(isRunning);
    const exits = running.map(child => once(child, 'exit'));
    this.#killAll();
    await Promise.all(exits);
    process.off('exit', this.#killAll);
  }

  #fork(name: string): ChildProcess {
    const child = fork(this.#options.program, [name]);
    this.#children.push(child);
    return child;
  }

  /** Sends one command at a time, as replies carry no id. */
  #command(command: BackendCommand): Promise<BackendReply> {
    const backends = this.#backends as ChildProcess;
    const reply = this.#lastReply.then(async () => {
      backends.send(command);
      return nextMessage(backends) as Promise<BackendReply>;
    });
    this.#lastReply = reply.catch(() => undefined);
    return reply;
  }

  #startGateway(at: number, port: number, members: readonly string[]): void {
    const {prefillSetting} = this.#scenario;
    const {admission, product} = this.#options;
    // Releases without per-server estimates reject the setting.
    const shape = GATEWAY_SCHEMA.gateway.shape;
    const hasEstimates = Object.hasOwn(shape, 'serverCapacity');
    const lines = [
      '[process]',
      'role = gateway',
      `name = gateway-${at}`,
      'region = region',
      'availabilityZone = zone',
      '[platform]',
      `address = 127.0.0.1:${port}`,
      `dataFolder = ${join(this.#folder, `gateway-${at}`)}`,
      '[control]',
      `members = ${members.join(', ')}`,
      '[gateway]',
      `listen = ${this.#addresses[at]}`,
      `prefillRate = ${prefillSetting}`,
      // By default gateways accept no API key after 4.25 s without control,
      // which would end the load of the scenario without control.
      'revocationBound = 60s',
      ...(admission && hasEstimates ? ['serverCapacity = on'] : []),
      '[retries]',
    ];
    const file = join(this.#folder, `gateway-${at}.ini`);
    writeFileSync(file, `${lines.join('\n')}\n`);
    const args = [product, 'gateway', '-c', file];
    const child = spawn(process.execPath, args, {stdio: 'ignore'});
    this.#children.push(child);
    this.#gateways.push(child);
  }
}
