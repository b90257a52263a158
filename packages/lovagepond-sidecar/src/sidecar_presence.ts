/**
 * Announces the backend server's state to control and applies the response: the
 * pool's mean load, the wanted state and orders.
 */
import {type Clock, SERVER_STATE, type ServerState} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {SidecarAnnouncer} from './sidecar_announcer.js';
import {type SidecarControlLink} from './sidecar_control_link.js';
import {type SidecarGate} from './sidecar_gate.js';
import {type SidecarOrders} from './sidecar_orders.js';
import {type SidecarSettings} from './sidecar_settings.js';

type AnnounceRequest = lovagepond.v1.AnnounceRequest.$Properties;
type AnnounceResponse = lovagepond.v1.AnnounceResponse;

export interface PresenceDependencies {
  readonly gate: SidecarGate;
  readonly clock: Clock;
  readonly link: SidecarControlLink;
  readonly orders: SidecarOrders;
  readonly incarnation: string;
  /** @returns `host:port` at which routers reach the sidecar */
  address(): string;
  /** @returns the revision in force */
  revision(): number;
  /** @returns models that the backend server has loaded */
  models(): readonly string[];
  /** Called with the state that operators set: draining or ready. */
  onWantedState(wanted: string): void;
}

/** Presence of the backend server at control and routers. */
export class SidecarPresence {
  readonly #settings: SidecarSettings;
  readonly #deps: PresenceDependencies;
  readonly #announcer: SidecarAnnouncer;

  constructor(settings: SidecarSettings, deps: PresenceDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    this.#announcer = new SidecarAnnouncer({
      link: deps.link,
      announceIntervalMs: settings.announceIntervalMs,
      makeAnnouncement: () => this.#makeAnnouncement(),
      onAnswer: (answer, sent) => this.#onAnswer(answer, sent),
    });
  }

  /** @returns the state that is announced */
  get state(): ServerState {
    const {gate} = this.#deps;
    if (gate.draining) return SERVER_STATE.DRAINING;
    return gate.ready ? SERVER_STATE.READY : SERVER_STATE.JOINING;
  }

  /** Starts announcing at each interval. */
  start(): void {
    this.#announcer.start();
  }

  /** Announces a change of state at once, as routers depend on it. */
  announce(): void {
    void this.#announcer.announce();
  }

  stop(): void {
    this.#announcer.stop();
  }

  #makeAnnouncement(): AnnounceRequest {
    const {backendServer, pool, labels} = this.#settings;
    const {availabilityZone, region} = this.#settings;
    const {gate, clock, orders, incarnation} = this.#deps;
    const {runningTokens, queuedTokens} = gate.load(clock.now());
    return {
      backendServer,
      incarnation,
      pool,
      labels: {...labels},
      availabilityZone,
      region,
      address: this.#deps.address(),
      state: this.state,
      runningTokens,
      queuedTokens,
      capacityTokens: gate.admission.capacityTokens,
      revision: this.#deps.revision(),
      models: [...this.#deps.models()],
      role: 'sidecar',
      fencingFloor: orders.fencing.floor,
    };
  }

  #onAnswer(answer: AnnounceResponse, sent: AnnounceRequest): void {
    const {gate, clock, orders} = this.#deps;
    const mean = {
      meanTokens: answer.poolMeanRunningTokens || answer.poolMeanTokens,
      ageMs: answer.poolMeanAgeMs,
      readyServers: answer.poolReadyServers,
      ownTokens: sent.runningTokens ?? 0,
    };
    gate.admission.setPoolMean(mean, clock.now());
    if (answer.fencingFloorKnown) {
      orders.fencing.raiseFloor(answer.fencingFloor);
    }
    void orders.receive(answer.orders);
    this.#deps.onWantedState(answer.wantedState);
  }
}
