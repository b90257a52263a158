/**
 * Runs every role in this process over loopback, for the router's benchmarks.
 */
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {
  DEFAULT_FAKE_ENGINE_SETTINGS,
  DEFAULT_FAKE_SERVER_SETTINGS,
  DEFAULT_HTTP_CLIENT_SETTINGS,
  DEFAULT_MAX_CACHE_BYTES,
  DEFAULT_SERVICE_CLIENT_SETTINGS,
  FakeEngineServer,
  FakeServiceServer,
  HttpModelEngine,
  HttpPlainService,
} from '@lovagepond/backend';
import {CallerServer, DEFAULT_CALLER_SETTINGS} from '@lovagepond/caller';
import {MemoryStorage} from '@lovagepond/consensus';
import {CONTROL_DEFAULTS, ControlRole} from '@lovagepond/control';
import {Random, type Role} from '@lovagepond/core';
import {DEFAULT_ROUTER_SETTINGS, RouterRole} from '@lovagepond/router';
import {
  type Backend,
  DEFAULT_SIDECAR_SETTINGS,
  SidecarRole,
} from '@lovagepond/sidecar';
import {MEASURE_CLOCK, NO_LOG, waitUntil} from './measure_environment.js';

const HOST = '127.0.0.1';
const SEED = 11;
const ANY = ['*'];

/** The configuration of the benchmarks. */
export const BENCH_CONFIGURATION = {
  pools: [
    {name: 'engines', kind: 'engine'},
    {name: 'services', kind: 'service'},
  ],
  workspaces: [{name: 'bench'}],
  requestKinds: [{name: 'chat'}, {name: 'call'}],
  selectors: [
    {
      name: 'chats',
      workspaces: ANY,
      requestKinds: ['chat'],
      pools: 'pool=engines',
    },
    {
      name: 'calls',
      workspaces: ANY,
      requestKinds: ['call'],
      pools: 'pool=services',
    },
  ],
} as const;

/** URLs that a benchmark calls. */
export interface BenchUrls {
  readonly router: string;
  readonly engine: string;
  readonly service: string;
}

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** One control member, two backend servers with sidecars, one router. */
export class RouterBench {
  readonly #roles: Role[] = [];

  /**
   * @param stepMs time between an engine's tokens, milliseconds
   * @returns the URLs, once all roles are ready
   */
  async start(stepMs: number): Promise<BenchUrls> {
    const control = await this.#startControl();
    const engine = await this.#startEngine(stepMs);
    const service = new FakeServiceServer({host: HOST, port: 0});
    await this.#start(service);
    const engineUrl = `http://${engine.address}`;
    const serviceUrl = `http://${service.address}`;
    await this.#startSidecar(control, 'engine', engineUrl);
    await this.#startSidecar(control, 'service', serviceUrl);
    const router = await this.#startRouter(control);
    return {
      router: `http://${HOST}:${router.port}`,
      engine: engineUrl,
      service: serviceUrl,
    };
  }

  /** Stops all roles. */
  async stop(): Promise<void> {
    for (const role of this.#roles.reverse()) await role.stop();
  }

  async #start(role: Role): Promise<void> {
    this.#roles.push(role);
    await role.start();
  }

  async #startControl(): Promise<string> {
    const port = await findFreePort();
    const address = `${HOST}:${port}`;
    const settings = {
      ...CONTROL_DEFAULTS,
      nodeName: 'control',
      region: 'bench',
      availabilityZone: 'bench',
      address,
      host: HOST,
      port,
      administrationAddress: '',
      members: [address],
      dataFolder: '',
    };
    const role = new ControlRole(settings, {
      clock: MEASURE_CLOCK,
      log: NO_LOG,
      random: new Random(SEED),
      storage: new MemoryStorage('bench'),
    });
    await this.#start(role);
    await waitUntil(() => role.isReady());
    const answer = await role.administration.change({
      operationId: 'bench',
      baseRevision: 0,
      dryRun: false,
      change: {kind: 'replace', content: BENCH_CONFIGURATION},
    });
    if (answer.kind !== 'accepted') throw new Error(JSON.stringify(answer));
    return address;
  }

  async #startEngine(stepMs: number): Promise<FakeEngineServer> {
    const settings = {
      ...DEFAULT_FAKE_ENGINE_SETTINGS,
      ...DEFAULT_FAKE_SERVER_SETTINGS,
      prefillTokensPerSecond: 1_000_000,
      decodeTokensPerSecond: 1_000_000,
      stepMs,
    };
    const engine = new FakeEngineServer(settings, {clock: MEASURE_CLOCK});
    await this.#start(engine);
    return engine;
  }

  async #startSidecar(
    control: string,
    kind: Backend['kind'],
    backendUrl: string,
  ): Promise<void> {
    const random = new Random(SEED);
    const backend: Backend =
      kind === 'engine'
        ? {kind, engine: makeEngineClient(backendUrl, random)}
        : {kind, service: makeServiceClient(backendUrl)};
    const settings = {
      ...DEFAULT_SIDECAR_SETTINGS,
      backendServer: `${kind}-1`,
      pool: `${kind}s`,
      controlAddresses: [control],
      backendKind: kind,
      backendUrl,
    };
    const dependencies = {clock: MEASURE_CLOCK, log: NO_LOG, random, backend};
    const role = new SidecarRole(settings, dependencies);
    await this.#start(role);
    await waitUntil(() => role.isReady());
  }

  async #startRouter(control: string): Promise<RouterRole> {
    const settings = {
      ...DEFAULT_ROUTER_SETTINGS,
      name: 'router',
      controlAddresses: [control],
    };
    const clock = MEASURE_CLOCK;
    const role = new RouterRole(settings, {
      clock,
      log: NO_LOG,
      random: new Random(SEED),
      createFront: handler =>
        new CallerServer(DEFAULT_CALLER_SETTINGS, {clock, handler}),
    });
    await this.#start(role);
    await waitUntil(() => role.isReady());
    await waitUntil(() => role.dump().state['backendServers'] === 2);
    return role;
  }
}

function makeEngineClient(origin: string, random: Random): HttpModelEngine {
  const maxCacheBytes = DEFAULT_MAX_CACHE_BYTES;
  const settings = {...DEFAULT_HTTP_CLIENT_SETTINGS, origin, maxCacheBytes};
  return new HttpModelEngine(settings, random);
}

function makeServiceClient(origin: string): HttpPlainService {
  return new HttpPlainService({...DEFAULT_SERVICE_CLIENT_SETTINGS, origin});
}
