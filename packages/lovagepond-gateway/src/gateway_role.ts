/**
 * The gateway role: forwards requests of any method to backend servers that
 * have no sidecar, using the configuration and the server list that control
 * pushes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  applyDelta,
  type Clock,
  type Configuration,
  decodeConfiguration,
  decodeDelta,
  type DrainResult,
  EMPTY_MEMBERSHIP,
  type Logger,
  type Pool,
  type Random,
  type Role,
  type StateDump,
} from '@lovagepond/core';
import {ControlLink, type ControlUpdate} from '@lovagepond/router/control_link';
import {applyMembership} from '@lovagepond/router/membership';
import {loadKeyHasher} from '@lovagepond/router/rendezvous_hash';
import {GatewayAdmission} from './gateway_admission.js';
import {type ClockReading, readClock} from './gateway_authority.js';
import {GatewayChoice} from './gateway_choice.js';
import {type Reachability} from './gateway_crash_detector.js';
import {GatewayConnections} from './gateway_connections.js';
import {GatewayCounters} from './gateway_counters.js';
import {GatewayFleet} from './gateway_fleet.js';
import {type GatewayHeaderNames} from './gateway_headers.js';
import {GatewayPeerLink} from './gateway_peer_link.js';
import {type GatewayPermits, makePermits} from './gateway_permits.js';
import {PrefillRate} from './gateway_prefill_rate.js';
import {GatewayQuarantine} from './gateway_quarantine.js';
import {LoadLimits} from './gateway_load_limit.js';
import {GatewayLoadReports} from './gateway_load_reports.js';
import {GatewayOverload} from './gateway_overload.js';
import {type GatewayRetries, makeRetries} from './gateway_retries.js';
import {GatewayServer} from './gateway_server.js';
import {GatewayShares} from './gateway_shares.js';
import {logServers} from './gateway_server_validity.js';
import {ServerLiveness} from './gateway_server_liveness.js';
import {probeServer} from './gateway_server_probe.js';
import {type GatewaySettings} from './gateway_settings.js';
import {GatewayStreams} from './gateway_streams.js';
import {type GatewayWarmUp, makeWarmUp} from './gateway_warm_up.js';

export interface GatewayDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  readonly names: GatewayHeaderNames;
}

const DUMP_VERSION = 1;
const TICK_MS = 100;

/**
 * Time after which a starting gateway queries the newest revision again while
 * its last query is still pending, milliseconds. When all gateways start
 * together, their queries wait for the leader, which ten queries a second from
 * each gateway would overload.
 */
const CONFIRMATION_TIMEOUT_MS = 400;

/**
 * Interval between load reports, milliseconds; short compared with the 200 ms
 * that the prefill of a large prompt takes.
 */
const REPORT_INTERVAL_MS = 20;

type UpdateKind = NonNullable<ControlUpdate['kind']>;
type UpdateHandler = (update: ControlUpdate, now: number) => void;

export class GatewayRole implements Role {
  readonly #settings: GatewaySettings;
  readonly #deps: GatewayDependencies;
  readonly #admission: GatewayAdmission;
  readonly #fleet: GatewayFleet;
  readonly #loadLimits = new LoadLimits();
  readonly #rate: PrefillRate;
  readonly #loadReports: GatewayLoadReports;
  readonly #connections: GatewayConnections;
  readonly #quarantine: GatewayQuarantine;
  readonly #probe = (address: string): Promise<Reachability> =>
    probeServer(address, this.#settings.connectTimeoutMs);
  readonly #counters = new GatewayCounters();
  readonly #shares = new GatewayShares();
  readonly #retries: GatewayRetries;
  readonly #overload: GatewayOverload;
  readonly #link: ControlLink;
  #membership = EMPTY_MEMBERSHIP;
  #server: GatewayServer | undefined;
  #peerLink: GatewayPeerLink | undefined;
  #streams: GatewayStreams | undefined;
  #permits: GatewayPermits | undefined;
  #warmUp: GatewayWarmUp | undefined;
  #timer: NodeJS.Timeout | undefined;
  #reportTimer: NodeJS.Timeout | undefined;
  #confirmationSentAt = Number.NEGATIVE_INFINITY;
  /** Pending queries for the newest revision. */
  #pendingConfirmations = 0;
  #draining = false;
  /** True once the gateway has been able to decide on requests. */
  #isServing = false;

  readonly #updateHandlers: Readonly<Record<UpdateKind, UpdateHandler>> = {
    configuration: ({configuration}) => {
      const {configuration: whole, delta} = configuration ?? {};
      if (whole && whole.length > 0) this.#installWhole(whole);
      if (delta && delta.length > 0) this.#installDelta(delta);
      // A query sent now confirms the first configuration without a delay.
      const at = this.#readClock();
      if (this.#admission.isStarting(at)) this.#confirmRevision(at);
    },
    quarantine: ({quarantine}, now) => {
      if (quarantine) this.#quarantine.useUpdate(quarantine, now);
    },
    membership: ({membership}, now) => {
      if (!membership) return;
      this.#membership = applyMembership(this.#membership, membership);
      this.#admission.noteServersKnown();
      const listed = this.#fleet.useMembership(this.#membership);
      this.#quarantine.useListed(listed, now);
      this.#connections.keepOnly(listed);
      this.#warmUp?.useListed(this.#fleet.all(), now);
      this.#overload.keepOnly(listed);
      this.#permits?.useListed(listed);
      logServers(this.#deps.log, this.#fleet, this.#membership.version);
      this.#retryQueued();
    },
    load: () => {},
    streamPeers: ({streamPeers}) => {
      if (streamPeers) this.#peerLink?.usePeers(streamPeers);
    },
    readings: ({readings}, now) => {
      if (readings) this.#loadReports.apply(readings, now);
    },
    // ControlLink handles the two kinds below.
    controlMembers: () => {},
    heartbeat: () => {},
  };

  constructor(settings: GatewaySettings, deps: GatewayDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    this.#admission = new GatewayAdmission(
      settings.revocationBoundMs,
      deps.random,
    );
    this.#fleet = new GatewayFleet(settings);
    this.#rate = new PrefillRate(settings.prefillTokensPerMs);
    this.#loadReports = new GatewayLoadReports(
      settings.name,
      this.#fleet,
      this.#rate,
      this.#shares,
    );
    this.#connections = new GatewayConnections({
      connectTimeoutMs: settings.connectTimeoutMs,
      maxConnections: settings.maxRequests,
    });
    this.#quarantine = new GatewayQuarantine({
      clock: deps.clock,
      log: deps.log,
      probe: this.#probe,
      report: report => this.#link.reportCrashes(report),
      abortQuarantined: () => {
        this.#server?.abortQuarantined();
      },
    });
    this.#overload = new GatewayOverload({
      ...deps,
      shares: this.#shares,
    });
    this.#retries = makeRetries(settings, deps, req =>
      this.#link.requestRetries(req),
    );
    const {name: node, region} = settings;
    const facts = {node, region, takesDeltas: true};
    const listener = {
      heldRevision: () => this.#admission.configuration.revision,
      onUpdate: (update: ControlUpdate, now: number) => {
        this.#updateHandlers[update.kind ?? 'heartbeat'](update, now);
      },
    };
    this.#link = new ControlLink(settings, facts, {...deps, listener});
  }

  /** The port that callers connect to; 0 before the start. */
  get port(): number {
    return this.#server?.port ?? 0;
  }

  async start(): Promise<void> {
    const {clock, log, random, names} = this.#deps;
    const hasher = await loadKeyHasher();
    const {availabilityZone, name, host, peerHost, peerPort} = this.#settings;
    const link = new GatewayPeerLink(
      {name, host: peerHost ?? host, port: peerPort ?? 0},
      {clock, log, hasher},
    );
    this.#peerLink = link;
    const streams = new GatewayStreams(link, hasher, this.#link);
    this.#streams = streams;
    const findPool = (pool: string): Pool | undefined =>
      this.#admission.configuration.content.pools.find(
        one => one.name === pool,
      );
    const shared = {hasher, random, findPool};
    const permits = makePermits(link, this.#fleet, shared);
    this.#permits = permits;
    const warmUp = makeWarmUp(
      link,
      this.#fleet,
      {name, startedAt: clock.now()},
      shared,
    );
    this.#warmUp = warmUp;
    await link.start();
    const choiceSettings = {
      availabilityZone,
      rate: this.#rate,
      limits: this.#loadLimits,
    };
    this.#server = new GatewayServer(this.#settings, {
      clock,
      log,
      random,
      names,
      admission: this.#admission,
      fleet: this.#fleet,
      choice: new GatewayChoice(choiceSettings, hasher, random),
      retries: this.#retries,
      connections: this.#connections,
      quarantine: this.#quarantine,
      liveness: new ServerLiveness(this.#probe),
      warmUp,
      permits,
      counters: this.#counters,
      overload: this.#overload,
      streams,
      readings: this.#loadReports,
      rate: this.#rate,
    });
    await this.#server.start();
    this.#link.start();
    this.#timer = setInterval(() => {
      this.#tick();
    }, TICK_MS);
    this.#reportTimer = setInterval(() => {
      this.#sendReport(link, clock.now());
    }, REPORT_INTERVAL_MS);
  }

  #sendReport(link: GatewayPeerLink, now: number): void {
    const report = this.#loadReports.takeReport(now);
    const streamAddress = link.takeAddress(now);
    const requests = this.#retries.takeReport(now);
    if (!report && streamAddress === undefined && !requests) return;
    this.#link.reportReadings({
      ...report,
      ...(streamAddress !== undefined && {streamAddress}),
      ...(requests && {requests}),
    });
  }

  isReady(): boolean {
    return !this.#draining && !this.#admission.isStarting(this.#readClock());
  }

  /**
   * Load balancers take seconds to notice that the gateway is no longer ready.
   * Until then new connections are served, with one request each.
   */
  async drain(limitMs: number): Promise<DrainResult> {
    this.#draining = true;
    this.#server?.beginDraining(this.#deps.clock.now() + limitMs);
    const lingerMs = Math.min(this.#settings.drainLingerMs, limitMs);
    await sleep(lingerMs);
    const limit = sleep(limitMs - lingerMs, undefined, {ref: false});
    await Promise.race([this.#server?.finish(), limit]);
    return {unfinished: this.#server?.unfinished ?? 0};
  }

  stop(): Promise<void> {
    this.#draining = true;
    clearInterval(this.#timer);
    clearInterval(this.#reportTimer);
    this.#link.stop();
    this.#server?.stop();
    this.#peerLink?.stop();
    this.#connections.close();
    return Promise.resolve();
  }

  dump(): StateDump {
    const at = this.#readClock();
    const state = {
      name: this.#settings.name,
      ready: this.isReady(),
      draining: this.#draining,
      control: this.#link.address,
      revision: this.#admission.configuration.revision,
      sureOfConfiguration: this.#admission.authority.canDeny(at),
      membershipVersion: this.#membership.version,
      prefillTokensPerMs: this.#rate.tokensPerMs,
      backendServers: this.#fleet.describe(at.now),
      serversByVersion: this.#fleet.countByVersion(),
      ...((this.#settings.serverCapacity || this.#overload.isActive) && {
        serverCapacity: this.#fleet.describeCapacity(at.now),
      }),
      rejectedServers: this.#fleet.rejected.length,
      pausedServers: this.#fleet.paused,
      leavingServers: this.#fleet.leaving,
      suspectedRequests: this.#quarantine.size,
      crashedServers: this.#quarantine.crashedServers,
      ...this.#counters.read(),
      inFlight: this.#server?.inFlight ?? 0,
      intake: this.#server?.intake,
      connectionsOpened: this.#connections.opened,
      connectionsIdle: this.#connections.idle,
      admission: this.#overload.describe(at.now),
      streams: this.#streams?.describe(),
      retries: this.#retries.describe(),
      permits: this.#permits?.describe(),
      warmUp: this.#warmUp?.decisions,
    };
    return {version: DUMP_VERSION, role: 'gateway', state};
  }

  #readClock(): ClockReading {
    return readClock(this.#deps.clock);
  }

  #tick(): void {
    const at = this.#readClock();
    this.#link.tick(at.now);
    if (this.#admission.authority.shouldSwitchMember(at.now)) {
      this.#link.restart('member lags behind the confirmed revision');
    }
    this.#fleet.expire(at.now);
    for (const pool of this.#fleet.pools()) {
      this.#loadLimits.sample(this.#fleet.listed(pool), pool, at.now);
    }
    this.#peerLink?.expire(at.now);
    this.#streams?.expire(at.now);
    this.#permits?.refresh(at.now);
    this.#quarantine.tick(at.now);
    if (at.now - this.#confirmationSentAt < this.#confirmIntervalMs(at)) return;
    this.#confirmRevision(at);
  }

  #confirmIntervalMs(at: ClockReading): number {
    if (!this.#admission.isStarting(at)) {
      return this.#settings.authorityIntervalMs;
    }
    return this.#pendingConfirmations > 0 ? CONFIRMATION_TIMEOUT_MS : TICK_MS;
  }

  #confirmRevision(at: ClockReading): void {
    this.#confirmationSentAt = at.now;
    this.#pendingConfirmations += 1;
    const {revision} = this.#admission.configuration;
    const isStarting = this.#admission.isStarting(at);
    void this.#link.confirmRevision(revision, isStarting).then(confirmed => {
      this.#pendingConfirmations -= 1;
      if (confirmed !== undefined) {
        this.#admission.authority.confirm(
          confirmed,
          at,
          this.#deps.clock.now(),
        );
        this.#retryQueued();
      }
    });
  }

  #retryQueued(): void {
    if (!this.#server?.retryQueued() || this.#isServing) return;
    this.#isServing = true;
    const {clock, log} = this.#deps;
    log.info('serves requests', {sinceStartMs: Math.round(clock.now())});
  }

  #installWhole(bytes: Uint8Array): void {
    const configuration = decodeConfiguration(bytes);
    if (configuration) this.#install(configuration);
    else this.#deps.log.error('received configuration cannot be decoded');
  }

  #installDelta(bytes: Uint8Array): void {
    const delta = decodeDelta(bytes);
    const {configuration: held} = this.#admission;
    const configuration = delta && applyDelta(held, delta);
    if (configuration) {
      this.#install(configuration);
      return;
    }
    // Without the delta, the old configuration would stay in use until the next
    // change. A new subscription receives the missing changes.
    this.#deps.log.error('configuration delta could not be applied', {
      held: held.revision,
      base: delta?.baseRevision,
    });
    this.#link.restart('configuration delta could not be applied');
  }

  #install(configuration: Configuration): void {
    this.#admission.install(configuration);
    this.#server?.useLimits(configuration.content.callerLimits);
    // An older configuration than the held one is not installed.
    this.#overload.useConfiguration(this.#admission.configuration.content);
    this.#retryQueued();
    this.#deps.log.info('configuration installed', {
      revision: configuration.revision,
      documentVersion: configuration.content.documentVersion,
    });
  }
}
