/**
 * A gateway's HTTP listener on loopback, with scripted backend servers.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
  type BackendServer,
  type Clock,
  type ConfigurationContent,
  type Logger,
  type Pool,
  Random,
} from '@lovagepond/core';
import {loadKeyHasher} from '@lovagepond/router/rendezvous_hash';
import {GatewayAdmission} from '../../gateway_admission.js';
import {GatewayChoice} from '../../gateway_choice.js';
import {GatewayConnections} from '../../gateway_connections.js';
import {GatewayCounters} from '../../gateway_counters.js';
import {GatewayFleet} from '../../gateway_fleet.js';
import {GatewayPeerLink} from '../../gateway_peer_link.js';
import {makePermits} from '../../gateway_permits.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {GatewayQuarantine} from '../../gateway_quarantine.js';
import {GatewayLoadReports} from '../../gateway_load_reports.js';
import {GatewayOverload} from '../../gateway_overload.js';
import {readClock} from '../../gateway_authority.js';
import {GatewayRetries} from '../../gateway_retries.js';
import {ServerLiveness} from '../../gateway_server_liveness.js';
import {probeServer} from '../../gateway_server_probe.js';
import {GatewayServer} from '../../gateway_server.js';
import {GatewayStreams} from '../../gateway_streams.js';
import {GatewayShares} from '../../gateway_shares.js';
import {makeWarmUp} from '../../gateway_warm_up.js';
import {makeBackendServer} from './backend_servers.js';
import {type Call, callPort, type CallerResponse} from './gateway_caller.js';
import {CONTENT} from './gateway_content.js';
import {ListedVersions, type StreamHistory} from './listed_versions.js';
import {answer, NAMES, type Script} from './scripted_answers.js';

export {type Call, type CallerResponse, KEY} from './gateway_caller.js';
export {CONTENT} from './gateway_content.js';
export {
  answer,
  beginStream,
  NAMES,
  refuse,
  type Script,
} from './scripted_answers.js';

const SEED = 7;

const PROBE_TIMEOUT_MS = 300;

export const clock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
};

export const silentLog: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

export interface HarnessOptions {
  /** Time for which the configuration is trusted, milliseconds. */
  readonly revocationBoundMs?: number;
  readonly maxRequests?: number;
  readonly content?: ConfigurationContent;
  readonly log?: Logger;
  readonly clock?: Clock;
  /** @returns the versions in service lately; by default all that were listed */
  readonly history?: () => StreamHistory | undefined;
  /** @returns properties of a server in control's list */
  readonly listed?: (index: number) => Partial<BackendServer>;
}

const STARTED_LONG_AGO = -60_000;

/** The listener and its backend servers. */
export class GatewayHarness {
  readonly admission: GatewayAdmission;
  readonly server: GatewayServer;
  readonly quarantine: GatewayQuarantine;
  readonly counters: GatewayCounters;
  readonly gatewayFleet: GatewayFleet;
  readonly overload: GatewayOverload;
  /** Servers reported as crashed; the reports are never acknowledged. */
  readonly crashed: ReadonlySet<string>;
  readonly #backends: Server[] = [];
  readonly #addresses = new Map<string, string>();
  /** Name of the server that each request reached, in order. */
  readonly arrivals: string[] = [];
  #nextId = 0;
  #listed: readonly BackendServer[] = [];
  #version = 0;
  readonly #versions: ListedVersions;

  private constructor(
    server: GatewayServer,
    admission: GatewayAdmission,
    quarantine: GatewayQuarantine,
    counters: GatewayCounters,
    crashed: ReadonlySet<string>,
    fleet: GatewayFleet,
    overload: GatewayOverload,
    versions: ListedVersions,
  ) {
    this.#versions = versions;
    this.gatewayFleet = fleet;
    this.overload = overload;
    this.crashed = crashed;
    this.counters = counters;
    this.server = server;
    this.admission = admission;
    this.quarantine = quarantine;
  }

  /**
   * @param scripts one for each server, named server-0, server-1 and so on
   * @param options settings, the configuration, properties of all servers in
   *     control's list, the log, and the listener's clock
   */
  static async start(
    scripts: readonly Script[],
    {
      revocationBoundMs = 5_000,
      maxRequests = 1_000,
      listed = () => ({}),
      content = CONTENT,
      log = silentLog,
      clock: ownClock = clock,
      history,
    }: HarnessOptions = {},
  ): Promise<GatewayHarness> {
    const random = new Random(SEED);
    const admission = new GatewayAdmission(revocationBoundMs, random);
    admission.install({revision: 1, content});
    admission.authority.confirm(
      1,
      {
        now: clock.now(),
        wallTime: clock.wallTime(),
      },
      clock.now(),
    );
    admission.noteServersKnown();
    const fleet = new GatewayFleet();
    const hasher = await loadKeyHasher();
    const rate = new PrefillRate(40);
    const settings = {availabilityZone: 'a', rate};
    let retriesLeft = 50;
    const retries = new GatewayRetries(
      {fraction: 0.2, windowMs: 10_000},
      {
        process: 1,
        readClock: () => readClock(ownClock),
        ask: ({wanted}, onAnswer) => {
          const granted = (wanted ?? []).map(({pool, count}) => {
            const given = Math.min(count ?? 0, retriesLeft);
            retriesLeft -= given;
            return {pool: pool ?? '', count: given};
          });
          onAnswer({answered: true, granted});
        },
        schedule: () => {},
      },
    );
    const counters = new GatewayCounters();
    const shares = new GatewayShares();
    const overload = new GatewayOverload({
      clock,
      log,
      random,
      shares,
    });
    overload.useConfiguration(content);
    const link = new GatewayPeerLink(
      {name: 'gateway', host: '127.0.0.1', port: 0},
      {clock, log, hasher},
    );
    const versions = new ListedVersions();
    const streams = new GatewayStreams(link, hasher, {
      readStreamHistory: () =>
        Promise.resolve(history ? history() : versions.toHistory()),
    });
    const findPool = (name: string): Pool | undefined =>
      admission.configuration.content.pools.find(pool => pool.name === name);
    const shared = {hasher, random, findPool};
    const permits = makePermits(link, fleet, shared);
    const warmUp = makeWarmUp(
      link,
      fleet,
      {name: 'gateway', startedAt: STARTED_LONG_AGO},
      shared,
    );
    const crashed = new Set<string>();
    const quarantine = new GatewayQuarantine({
      clock,
      log: silentLog,
      probe: address => probeServer(address, PROBE_TIMEOUT_MS),
      report: ({crashes}) => {
        for (const {backendServer} of crashes ?? []) {
          crashed.add(backendServer ?? '');
        }
        return Promise.resolve(false);
      },
      abortQuarantined: () => {
        server.abortQuarantined();
      },
    });
    const server = new GatewayServer(
      {
        host: '127.0.0.1',
        port: 0,
        maxHeldBytes: 1_000_000,
        maxConnections: 1_000,
        maxRequests,
      },
      {
        clock: ownClock,
        log,
        random,
        names: NAMES,
        admission,
        fleet,
        choice: new GatewayChoice(settings, hasher, random),
        retries,
        connections: new GatewayConnections({
          connectTimeoutMs: 300,
          maxConnections: 1_000,
        }),
        quarantine,
        liveness: new ServerLiveness(address =>
          probeServer(address, PROBE_TIMEOUT_MS),
        ),
        warmUp,
        permits,
        counters,
        overload,
        streams,
        readings: new GatewayLoadReports('gateway', fleet, rate, shares),
        rate,
      },
    );
    await server.start();
    const harness = new GatewayHarness(
      server,
      admission,
      quarantine,
      counters,
      crashed,
      fleet,
      overload,
      versions,
    );
    const servers: BackendServer[] = [];
    for (const [index, script] of scripts.entries()) {
      const backend = await harness.#startBackend(index, script);
      servers.push({...backend, ...listed(index)});
    }
    harness.#listed = servers;
    harness.#publish();
    return harness;
  }

  /** @param name a server that control no longer lists */
  removeServer(name: string): void {
    this.#listed = this.#listed.filter(one => one.name !== name);
    this.#publish();
  }

  /**
   * Starts a server that has crashed again, at its address.
   *
   * @param name the server
   * @returns the number of requests that it got
   */
  async restart(name: string): Promise<() => number> {
    let arrivals = 0;
    const backend = createServer((req, res) => {
      arrivals += 1;
      answer(req, res, 200, 'yes');
    });
    this.#backends.push(backend);
    const port = Number(this.addressOf(name).split(':')[1]);
    await new Promise<void>(resolve => {
      backend.listen(port, '127.0.0.1', resolve);
    });
    return () => arrivals;
  }

  /** Has control list a server with other properties. */
  relist(name: string, other: Partial<BackendServer>): void {
    this.#listed = this.#listed.map(one =>
      one.name === name ? {...one, ...other} : one,
    );
    this.#publish();
  }

  #publish(): void {
    this.#version += 1;
    this.#versions.add(this.#listed);
    const list = this.#listed.map(one => [one.name, one] as const);
    const servers = new Map(list);
    this.gatewayFleet.useMembership({version: this.#version, servers});
  }

  /**
   * @param name a server
   * @returns its address
   */
  addressOf(name: string): string {
    return this.#addresses.get(name) ?? '';
  }

  /** @param port of the server to stop as if its process had crashed */
  crash(port: number): void {
    for (const backend of this.#backends) {
      const address = backend.address() as AddressInfo | null;
      if (address?.port !== port) continue;
      backend.close();
      backend.closeAllConnections();
    }
  }

  /** @param port of a server that accepts no further connections */
  stopListening(port: number): void {
    for (const backend of this.#backends) {
      const address = backend.address() as AddressInfo | null;
      if (address?.port === port) backend.close();
    }
  }

  stop(): void {
    this.server.stop();
    for (const backend of this.#backends) {
      backend.close();
      backend.closeAllConnections();
    }
  }

  call(call: Call): Promise<CallerResponse> {
    this.#nextId += 1;
    return callPort(this.server.port, `request-${this.#nextId}`, call);
  }

  async #startBackend(index: number, script: Script): Promise<BackendServer> {
    const name = `server-${index}`;
    const backend = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        this.arrivals.push(name);
        script(req, res, Buffer.concat(chunks).toString());
      });
    });
    this.#backends.push(backend);
    await new Promise<void>(resolve => {
      backend.listen(0, '127.0.0.1', resolve);
    });
    const {port} = backend.address() as AddressInfo;
    this.#addresses.set(name, `127.0.0.1:${port}`);
    return makeBackendServer(name, {
      pool: 'servers',
      // The first server is in the gateway's zone, so it is selected first.
      availabilityZone: index === 0 ? 'a' : 'b',
      address: `127.0.0.1:${port}`,
      slot: index,
      directSlots: 4,
    });
  }
}
