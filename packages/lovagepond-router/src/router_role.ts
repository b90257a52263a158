/**
 * The router role: connects the subscription to the control plane, the
 * callers' front end and the dispatcher, and manages their lifecycle.
 */
import {type CallerCounters, type CallerHandler} from '@lovagepond/caller';
import {
  type Clock,
  type DrainResult,
  type Logger,
  type Membership,
  type Random,
  type Role,
  type StateDump,
} from '@lovagepond/core';
import {SidecarConnections} from './router_connections.js';
import {ControlLink, type ControlUpdate} from './router_control_link.js';
import {CrashReporter} from './router_crash_reporter.js';
import {RouterCounters} from './router_counters.js';
import {RouterDispatcher} from './router_dispatcher.js';
import {EarlyRefusal} from './router_early_refusal.js';
import {DEFAULT_EVIDENCE_SETTINGS, RouterEvidence} from './router_evidence.js';
import {RouterLoadView} from './router_load_view.js';
import {PLACEMENT_POLICIES} from './router_placement_table.js';
import {SidecarProber} from './router_prober.js';
import {RequestQuarantine} from './router_quarantine.js';
import {loadKeyHasher} from './router_rendezvous_hash.js';
import {RetryBudget} from './router_retry_budget.js';
import {RouterRevisions} from './router_revisions.js';
import {ServerChoice} from './router_server_choice.js';
import {type RouterSettings} from './router_settings.js';
import {measureSkew} from './router_skew.js';
import {RouterState} from './router_state.js';

/** The callers' front end; see `CallerServer` of the caller package. */
export interface CallerFront {
  readonly port: number;
  readonly counters: CallerCounters;
  start(): Promise<void>;
  drain(limitMs: number): Promise<DrainResult>;
  stop(): Promise<void>;
}

export interface RouterDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  /** Creates the front end that passes callers' requests to the handler. */
  readonly createFront: (handler: CallerHandler) => CallerFront;
}

const DUMP_VERSION = 1;

type UpdateKind = NonNullable<ControlUpdate['kind']>;

type UpdateHandler = (update: ControlUpdate, now: number) => void;

/** Components that are created once the key hasher is loaded. */
interface RunningComponents {
  readonly dispatcher: RouterDispatcher;
  readonly prober: SidecarProber;
  readonly front: CallerFront;
}

/** Accepts callers' requests and forwards them to backend servers. */
export class RouterRole implements Role {
  readonly #settings: RouterSettings;
  readonly #deps: RouterDependencies;
  readonly #counters = new RouterCounters();
  readonly #load = new RouterLoadView();
  readonly #evidence: RouterEvidence;
  readonly #connections: SidecarConnections;
  readonly #state: RouterState;
  readonly #link: ControlLink;
  readonly #quarantine = new RequestQuarantine();
  readonly #crashReporter: CrashReporter;
  #choice: ServerChoice | undefined;
  #running: RunningComponents | undefined;
  #timer: NodeJS.Timeout | undefined;
  #draining = false;

  readonly #updateHandlers: Readonly<Record<UpdateKind, UpdateHandler>> = {
    configuration: ({configuration}) => {
      const bytes = configuration?.configuration;
      if (bytes && bytes.length > 0) this.#state.install(bytes);
      if (!configuration?.majorityConfirmed) return;
      this.#state.revisions.confirm(configuration.revision ?? 0);
    },
    membership: ({membership}, now) => {
      if (membership) this.#state.updateMembership(membership, now);
    },
    load: ({load}, now) => {
      // In another membership version the slots denote other servers.
      const {version} = this.#state.membership;
      if (load?.membershipVersion !== version || !load.loads) return;
      this.#load.applyDigest(load.loads, now - (load.ageMs ?? 0));
    },
    quarantine: ({quarantine}, now) => {
      const added = this.#quarantine.apply(quarantine ?? {}, now);
      for (const {subject} of added) {
        this.#deps.log.warn('request quarantined', {fingerprint: subject});
      }
      if (added.length > 0) this.#running?.dispatcher.abortQuarantined(now);
    },
    // The control link keeps the list of members.
    controlMembers: () => {},
    heartbeat: () => {},
    // Only gateways use prompt readings for placement: sidecars have the
    // readings of their own engines.
    readings: () => {},
    streamPeers: () => {},
  };

  constructor(settings: RouterSettings, deps: RouterDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    const {random, log} = deps;
    this.#evidence = new RouterEvidence(DEFAULT_EVIDENCE_SETTINGS, random);
    this.#connections = new SidecarConnections(settings.connectTimeoutMs);
    this.#crashReporter = new CrashReporter({
      clock: deps.clock,
      quarantine: this.#quarantine,
      report: report => this.#link.reportCrashes(report),
    });
    const revisions = new RouterRevisions(settings);
    this.#state = new RouterState(revisions, log, {
      membershipChanged: (membership, now) =>
        this.#onMembership(membership, now),
      revisionInstalled: revision => this.#link.reportRevision(revision),
    });
    const facts = {
      node: settings.name,
      region: settings.region,
      // The router passes whole configurations on to outdated sidecars.
      takesDeltas: false,
    };
    const listener = {
      heldRevision: () => this.#state.revision,
      onUpdate: (update: ControlUpdate, now: number) =>
        this.#onUpdate(update, now),
    };
    this.#link = new ControlLink(settings, facts, {...deps, listener});
  }

  /** @returns the port that callers connect to; 0 before the start */
  get port(): number {
    return this.#running?.front.port ?? 0;
  }

  async start(): Promise<void> {
    const running = await this.#createComponents();
    this.#running = running;
    await running.front.start();
    this.#link.start();
    this.#timer = setInterval(() => {
      this.#tick(running);
    }, this.#settings.tickMs);
  }

  isReady(): boolean {
    if (this.#draining || !this.#running) return false;
    return this.#state.mayServe(this.#deps.clock.now());
  }

  /**
   * Reports immediately that the router isn't ready. The front end refuses new
   * connections after its grace period. Requests whose answers can't end within
   * the limit are refused. Those in flight finish, and the subscription stays
   * open until they have.
   */
  async drain(limitMs: number): Promise<DrainResult> {
    this.#draining = true;
    const now = this.#deps.clock.now();
    this.#running?.dispatcher.beginDraining(now + limitMs, now);
    const result = await this.#running?.front.drain(limitMs);
    return result ?? {unfinished: 0};
  }

  async stop(): Promise<void> {
    this.#draining = true;
    clearInterval(this.#timer);
    this.#link.stop();
    await this.#running?.front.stop();
    this.#connections.close();
  }

  dump(): StateDump {
    const {revisions, membership} = this.#state;
    const state = {
      name: this.#settings.name,
      ready: this.isReady(),
      draining: this.#draining,
      control: this.#link.address,
      controlBytesReceived: this.#link.receivedBytes,
      controlBytesSent: this.#link.sentBytes,
      revision: this.#state.revision,
      revisionConfirmed: revisions.isConfirmed(),
      membershipVersion: membership.version,
      backendServers: membership.servers.size,
      suspects: this.#evidence.suspects,
      suspectedRequests: this.#quarantine.size,
      skew: Object.fromEntries(measureSkew(membership, this.#load)),
      connections: this.#connections.size,
      inFlight: this.#running?.dispatcher.inFlight ?? 0,
      requestsByState: this.#running?.dispatcher.countByState() ?? {},
      ...this.#counters.read(),
      front: this.#running?.front.counters,
    };
    return {version: DUMP_VERSION, role: 'router', state};
  }

  async #createComponents(): Promise<RunningComponents> {
    const settings = this.#settings;
    const {clock, log, random, createFront} = this.#deps;
    const hasher = await loadKeyHasher();
    const choice = new ServerChoice({
      policy: PLACEMENT_POLICIES[settings.placementPolicy](hasher),
      hasher,
      load: this.#load,
      random,
      isSuspect: ({incarnation}, now) =>
        this.#evidence.isSuspect(incarnation, now),
    });
    this.#choice = choice;
    const shared = {
      clock,
      state: this.#state,
      load: this.#load,
      evidence: this.#evidence,
      counters: this.#counters,
      connections: this.#connections,
      quarantine: this.#quarantine,
      crashes: this.#crashReporter,
    };
    const dispatcher = new RouterDispatcher(settings, {
      ...shared,
      log,
      choice,
      budget: new RetryBudget(settings),
      refusal: new EarlyRefusal(this.#load, random),
    });
    const timeoutMs = settings.connectTimeoutMs;
    const onProbe = (): void => this.#counters.noteProbe();
    const prober = new SidecarProber({...shared, timeoutMs, onProbe});
    return {dispatcher, prober, front: createFront(dispatcher)};
  }

  #tick({dispatcher, prober}: RunningComponents): void {
    const now = this.#deps.clock.now();
    this.#link.tick(now);
    dispatcher.tick(now);
    this.#crashReporter.tick(now);
    prober.tick(now, this.#state.revision);
  }

  #onUpdate(update: ControlUpdate, now: number): void {
    this.#state.revisions.noteControlMessage(now);
    const handle = this.#updateHandlers[update.kind ?? 'heartbeat'];
    handle(update, now);
  }

  #onMembership(membership: Membership, now: number): void {
    this.#choice?.useMembership(membership, now);
    const servers = [...membership.servers.values()];
    const addresses = new Set(servers.map(server => server.address));
    const incarnations = new Set(servers.map(server => server.incarnation));
    this.#connections.keepOnly(addresses);
    this.#state.revisions.keepOnly(incarnations);
    this.#evidence.keepOnly(incarnations);
  }
}
