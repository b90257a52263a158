/**
 * The router role: joins control's subscription, the front towards callers
 * and the dispatcher, and takes them through start, drain and stop.
 */
import {type CallerCounters, type CallerHandler} from '@lovagepond/caller';
import {
  type Clock,
  type Logger,
  type Random,
  type Role,
  type StateDump,
} from '@lovagepond/core';
import {ControlLink, type ControlUpdate} from './router_control_link.js';
import {RouterDispatcher} from './router_dispatcher.js';
import {type RouterSettings} from './router_settings.js';

/** The front towards callers, as `CallerServer` of the caller package is. */
export interface CallerFront {
  readonly port: number;
  readonly counters: CallerCounters;
  start(): Promise<void>;
  drain(limitMs: number): Promise<void>;
  stop(): Promise<void>;
}

/** What a router needs besides its settings. */
export interface RouterParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  /** Makes the front that hands requests to the handler. */
  readonly createFront: (handler: CallerHandler) => CallerFront;
}

const DUMP_VERSION = 1;

type UpdateKind = NonNullable<ControlUpdate['kind']>;

type UpdateHandler = (update: ControlUpdate, now: number) => void;

/** One router. */
export class RouterRole implements Role {
  readonly #settings: RouterSettings;
  readonly #clock: Clock;
  readonly #dispatcher: RouterDispatcher;
  readonly #link: ControlLink;
  readonly #front: CallerFront;
  #timer: NodeJS.Timeout | undefined;
  #draining = false;
  #membershipKnown = false;

  readonly #updateHandlers: Readonly<Record<UpdateKind, UpdateHandler>> = {
    configuration: ({configuration}) => {
      const bytes = configuration?.configuration;
      if (bytes && bytes.length > 0) this.#dispatcher.install(bytes);
      if (!configuration?.majorityConfirmed) return;
      this.#dispatcher.revisions.confirm(configuration.revision ?? 0);
    },
    membership: ({membership}) => {
      if (!membership) return;
      this.#membershipKnown = true;
      this.#dispatcher.updateMembership(membership);
    },
    load: () => {},
    heartbeat: () => {},
  };

  constructor(settings: RouterSettings, parts: RouterParts) {
    this.#settings = settings;
    this.#clock = parts.clock;
    this.#dispatcher = new RouterDispatcher(settings, parts);
    this.#front = parts.createFront(this.#dispatcher);
    const facts = {node: settings.name, region: settings.region};
    this.#link = new ControlLink(settings, facts, {
      ...parts,
      listener: {
        heldRevision: () => this.#dispatcher.heldRevision(),
        onUpdate: (update, now) => {
          this.#onUpdate(update, now);
        },
      },
    });
  }

  /** @returns the port for callers, once started */
  get port(): number {
    return this.#front.port;
  }

  /** See {@link Role.start}. */
  async start(): Promise<void> {
    await this.#front.start();
    this.#link.start();
    this.#timer = setInterval(() => {
      this.#tick();
    }, this.#settings.tickMs);
  }

  /** See {@link Role.isReady}. */
  isReady(): boolean {
    if (this.#draining || !this.#membershipKnown) return false;
    return this.#dispatcher.revisions.mayServe(this.#clock.now());
  }

  /**
   * See {@link Role.drain}. Readiness goes at once; the front takes no new
   * connections after its grace time; requests in flight finish, and the
   * subscription stays until they have.
   */
  async drain(limitMs: number): Promise<void> {
    this.#draining = true;
    await this.#front.drain(limitMs);
  }

  /** See {@link Role.stop}. */
  async stop(): Promise<void> {
    this.#draining = true;
    clearInterval(this.#timer);
    this.#link.stop();
    await this.#front.stop();
    this.#dispatcher.close();
  }

  /** See {@link Role.dump}. */
  dump(): StateDump {
    const {revisions, membership} = this.#dispatcher;
    const state = {
      name: this.#settings.name,
      ready: this.isReady(),
      draining: this.#draining,
      control: this.#link.address,
      controlBytes: this.#link.receivedBytes,
      revision: revisions.configuration.revision,
      revisionConfirmed: revisions.isConfirmed(),
      membershipVersion: membership.version,
      backendServers: membership.servers.size,
      connections: this.#dispatcher.connections.size,
      inFlight: this.#dispatcher.inFlight,
      ...this.#dispatcher.counters,
      front: this.#front.counters,
    };
    return {version: DUMP_VERSION, role: 'router', state};
  }

  #tick(): void {
    const now = this.#clock.now();
    this.#link.tick(now);
    this.#dispatcher.tick(now);
  }

  #onUpdate(update: ControlUpdate, now: number): void {
    this.#dispatcher.revisions.noteControl(now);
    const handle = this.#updateHandlers[update.kind ?? 'heartbeat'];
    handle(update, now);
  }
}
