/**
 * The sidecar process: the only access path to one backend server.
 */
import {
  type Clock,
  type DrainResult,
  type Logger,
  type Random,
  type Role,
  SERVER_STATE,
  type StateDump,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {loadKeyHasher} from '@lovagepond/router';
import {type Backend} from './sidecar_backend.js';
import {SidecarBackendWatch} from './sidecar_backend_watch.js';
import {SidecarCacheMover} from './sidecar_cache_mover.js';
import {SidecarConfiguration} from './sidecar_configuration.js';
import {SidecarControlFeed} from './sidecar_control_feed.js';
import {SidecarControlLink} from './sidecar_control_link.js';
import {SidecarDispatcher} from './sidecar_dispatcher.js';
import {SidecarGate} from './sidecar_gate.js';
import {SidecarOrders} from './sidecar_orders.js';
import {SidecarPeers} from './sidecar_peers.js';
import {SidecarPresence} from './sidecar_presence.js';
import {SidecarServer} from './sidecar_server.js';
import {SidecarService} from './sidecar_service.js';
import {type SidecarSettings} from './sidecar_settings.js';
import {SidecarTakeClient} from './sidecar_take_client.js';

type AttemptRequest = lovagepond.v1.AttemptRequest;

const DUMP_VERSION = 1;
const IDLE_CHECK_MS = 20;
const RANDOM_DIGITS = 2 ** 32;
const RADIX = 36;

export interface SidecarDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  /** Connected backend server; the role closes it on stop. */
  readonly backend: Backend;
}

/** Creates the name of this incarnation, which lasts until the process ends. */
function makeIncarnation({clock, random}: SidecarDependencies): string {
  const started = Math.round(clock.wallTime()).toString(RADIX);
  return `${started}-${random.below(RANDOM_DIGITS).toString(RADIX)}`;
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

export class SidecarRole implements Role {
  readonly #settings: SidecarSettings;
  readonly #deps: SidecarDependencies;
  readonly #incarnation: string;
  readonly #gate: SidecarGate;
  readonly #configuration: SidecarConfiguration;
  readonly #link: SidecarControlLink;
  readonly #peers: SidecarPeers;
  readonly #watch: SidecarBackendWatch;
  readonly #dispatcher: SidecarDispatcher;
  readonly #orders: SidecarOrders;
  readonly #takeClient: SidecarTakeClient;
  readonly #feed: SidecarControlFeed;
  readonly #presence: SidecarPresence;
  readonly #server: SidecarServer;
  #mover: SidecarCacheMover | undefined;
  #drainAbort: AbortController | undefined;
  /** The backend server said that it is about to exit. */
  #isBackendLeaving = false;
  /** The process is stopping, so control can't cancel this drain. */
  #isStopping = false;
  #address = '';
  #timers: NodeJS.Timeout[] = [];

  /**
   * @param settings the sidecar's settings
   * @param deps clock, log, random numbers and the backend server
   */
  constructor(settings: SidecarSettings, deps: SidecarDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    const {clock, log, random, backend} = deps;
    const {backendServer, pool, controlTimeoutMs, floorTokens} = settings;
    const incarnation = makeIncarnation(deps);
    this.#incarnation = incarnation;
    this.#gate = new SidecarGate({...settings, incarnation}, random);
    this.#gate.setNotReady('The sidecar starts.');
    this.#link = new SidecarControlLink(settings, random);
    this.#peers = new SidecarPeers(backendServer, pool, controlTimeoutMs);
    this.#configuration = new SidecarConfiguration(settings, {
      gate: this.#gate,
      log,
      report: revision => this.#reportConvergence(revision),
    });
    this.#watch = new SidecarBackendWatch({
      backend,
      gate: this.#gate,
      clock,
      log,
      onNotice: () => {
        this.#updateReadiness();
      },
    });
    this.#dispatcher = this.#makeDispatcher();
    this.#orders = new SidecarOrders({
      backendServer,
      backend,
      log,
      report: outcome => this.#link.reportOrder(outcome),
    });
    this.#takeClient = new SidecarTakeClient(settings, {
      gate: this.#gate,
      peers: this.#peers,
      clock,
      random,
      floorTokens,
    });
    this.#feed = this.#makeFeed();
    this.#presence = this.#makePresence();
    this.#server = this.#makeServer();
  }

  /** @returns `host:port` at which routers reach it, after the start */
  get address(): string {
    return this.#address;
  }

  /** @returns the incarnation of this process */
  get incarnation(): string {
    return this.#incarnation;
  }

  async start(): Promise<void> {
    const {host, port, announcedAddress} = this.#settings;
    const hasher = await loadKeyHasher();
    this.#mover = new SidecarCacheMover({
      ...this.#settings,
      gate: this.#gate,
      backend: this.#deps.backend,
      peers: this.#peers,
      clock: this.#deps.clock,
      log: this.#deps.log,
      hasher,
    });
    const bound = await this.#server.listen(host, port);
    this.#address = announcedAddress || `${host}:${bound}`;
    this.#watch.start();
    await this.#probeBackend();
    this.#feed.start();
    this.#presence.start();
    this.#startTimers();
    this.#deps.log.info('sidecar started', {
      backendServer: this.#settings.backendServer,
      address: this.#address,
      incarnation: this.#incarnation,
    });
  }

  isReady(): boolean {
    const accepts = this.#gate.ready && !this.#gate.draining;
    return accepts && this.#notReadyReason() === undefined;
  }

  async drain(limitMs: number): Promise<DrainResult> {
    this.#isStopping = true;
    this.#startDrain(limitMs);
    const {clock} = this.#deps;
    const endsAt = clock.now() + limitMs;
    while (!this.#dispatcher.idle && clock.now() < endsAt) {
      await pause(IDLE_CHECK_MS);
    }
    // Keep refusing requests of routers that have not yet received the change
    // of state. A refusal costs them one hop; a closed port would count as a
    // failure of the server and against their retry budget.
    const {drainLingerMs} = this.#settings;
    await pause(Math.min(drainLingerMs, Math.max(0, endsAt - clock.now())));
    const remainingMs = Math.max(0, endsAt - clock.now());
    const isFinished = await this.#server.finish(remainingMs);
    // Without time left, the server can't close even its idle connections.
    const openCalls = isFinished || remainingMs === 0 ? 0 : 1;
    return {unfinished: Math.max(this.#dispatcher.unfinished, openCalls)};
  }

  async stop(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    this.#timers = [];
    this.#drainAbort?.abort();
    this.#presence.stop();
    this.#feed.stop();
    this.#watch.stop();
    this.#dispatcher.stop();
    this.#server.stop();
    this.#peers.close();
    this.#link.close();
    const {backend} = this.#deps;
    if (backend.kind === 'engine') await backend.engine.close();
    else await backend.service.close();
  }

  dump(): StateDump {
    const now = this.#deps.clock.now();
    const state = {
      backendServer: this.#settings.backendServer,
      pool: this.#settings.pool,
      incarnation: this.#incarnation,
      address: this.#address,
      state: this.#presence.state,
      gate: this.#gate.dump(now),
      attempts: this.#dispatcher.counters,
      taken: this.#takeClient.taken,
      moves: this.#mover?.counters,
      peers: this.#peers.ready.length,
      fencingFloor: this.#orders.fencing.floor,
      control: this.#link.address,
      controlBytes: this.#feed.receivedBytes,
    };
    return {version: DUMP_VERSION, role: 'sidecar', state};
  }

  #makeDispatcher(): SidecarDispatcher {
    const {clock, log, backend} = this.#deps;
    return new SidecarDispatcher(this.#settings, {
      gate: this.#gate,
      backend,
      clock,
      log,
      ledger: this.#link,
      incarnation: this.#incarnation,
      newerConfiguration: revision => this.#configuration.newerThan(revision),
      point: request => this.#sendPointer(request),
      noteUnreachable: () => {
        this.#watch.noteUnreachable();
        this.#updateReadiness();
        void this.#probeBackend();
      },
      backendInstance: () => this.#watch.instance,
      hasEnded: instance => this.#watch.hasEnded(instance),
      noteServed: ({workspace, chat}) =>
        this.#mover?.recent.note({workspace, chat}),
    });
  }

  #makeFeed(): SidecarControlFeed {
    const {clock, log, random} = this.#deps;
    return new SidecarControlFeed(this.#settings, {
      clock,
      log,
      random,
      revision: () => this.#configuration.revision,
      onUpdate: update => this.#onUpdate(update),
    });
  }

  #makePresence(): SidecarPresence {
    return new SidecarPresence(this.#settings, {
      gate: this.#gate,
      clock: this.#deps.clock,
      link: this.#link,
      orders: this.#orders,
      incarnation: this.#incarnation,
      address: () => this.#address,
      revision: () => this.#configuration.revision,
      models: () => this.#watch.models,
      onWantedState: wanted => this.#applyWantedState(wanted),
    });
  }

  #makeServer(): SidecarServer {
    const {clock, backend} = this.#deps;
    const service = new SidecarService({
      gate: this.#gate,
      dispatcher: this.#dispatcher,
      backend,
      clock,
      incarnation: this.#incarnation,
      revision: () => this.#configuration.revision,
      install: bytes => {
        this.#configuration.install(bytes);
        this.#updateReadiness();
      },
    });
    return new SidecarServer(service);
  }

  #startTimers(): void {
    const {tickMs, backendProbeMs} = this.#settings;
    this.#timers = [
      setInterval(() => this.#tick(), tickMs),
      setInterval(() => void this.#probeBackend(), backendProbeMs),
    ];
  }

  #tick(): void {
    const now = this.#deps.clock.now();
    this.#dispatcher.tick(now);
    this.#takeClient.tick(now);
    this.#feed.tick(now);
    const isReady = this.#notReadyReason() === undefined;
    if (isReady !== this.#gate.ready) this.#updateReadiness();
  }

  async #probeBackend(): Promise<void> {
    await this.#watch.probe();
    this.#updateReadiness();
  }

  #notReadyReason(): string | undefined {
    if (!this.#watch.up) return 'The backend server does not answer.';
    if (this.#pauseLeftMs() > 0) return 'The backend server asked for a pause.';
    return this.#configuration.mayServe()
      ? undefined
      : 'No configuration is confirmed yet.';
  }

  #pauseLeftMs(): number {
    return this.#watch.pauseLeftMs(this.#deps.clock.now());
  }

  /** Announces a change at once, as routers get it only by announcement. */
  #updateReadiness(): void {
    const before = this.#presence.state;
    const now = this.#deps.clock.now();
    const pauseLeftMs = this.#pauseLeftMs();
    const readyAt = pauseLeftMs > 0 ? now + pauseLeftMs : undefined;
    this.#gate.setNotReady(this.#notReadyReason(), readyAt);
    if (!this.#watch.up || pauseLeftMs > 0) {
      this.#dispatcher.perform(this.#gate.backendDown(now));
    }
    this.#followBackendExit();
    if (before !== this.#presence.state) this.#presence.announce();
  }

  /** Drains while the server's instance is about to exit, and not longer. */
  #followBackendExit(): void {
    const {isLeaving} = this.#watch;
    if (isLeaving === this.#isBackendLeaving) return;
    this.#isBackendLeaving = isLeaving;
    this.#applyWantedState(
      isLeaving ? SERVER_STATE.DRAINING : SERVER_STATE.READY,
    );
  }

  #applyWantedState(wanted: string): void {
    const {draining} = this.#gate;
    if (wanted === SERVER_STATE.DRAINING && !draining) {
      this.#startDrain(this.#settings.drainLimitMs);
    }
    const mayResume = !this.#isStopping && !this.#isBackendLeaving;
    if (wanted === SERVER_STATE.READY && draining && mayResume) {
      this.#drainAbort?.abort();
      this.#gate.resume();
      this.#presence.announce();
    }
  }

  #startDrain(limitMs: number): void {
    const now = this.#deps.clock.now();
    this.#dispatcher.perform(this.#gate.startDraining(now, limitMs));
    this.#presence.announce();
    this.#drainAbort?.abort();
    this.#drainAbort = new AbortController();
    void this.#mover?.run(this.#drainAbort.signal);
  }

  #onUpdate(update: lovagepond.v1.ControlUpdate): void {
    if (update.configuration) {
      this.#configuration.receive(update.configuration);
      this.#updateReadiness();
    }
    const {addresses} = update.controlMembers ?? {};
    if (addresses) this.#link.updateMembers(addresses);
    if (update.membership) this.#peers.updateMembership(update.membership);
    if (update.load) this.#peers.updateLoads(update.load);
  }

  #sendPointer(request: AttemptRequest): void {
    const {firstChoiceAddress, workspace, chat, estimatedTokens} = request;
    if (!firstChoiceAddress) return;
    void this.#peers.point(
      firstChoiceAddress,
      workspace,
      chat,
      estimatedTokens,
    );
  }

  #reportConvergence(revision: number): void {
    void this.#link.reportConvergence({
      node: this.#settings.backendServer,
      role: 'sidecar',
      revision,
    });
  }
}
