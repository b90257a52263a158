/**
 * Engines that announce themselves to control's real registry.
 */
import {type WantedState} from '@lovagepond/control';
import {
  type Announcement,
  MembershipLog,
  MembershipRegistry,
} from '@lovagepond/control/deciders';
import {type ServerState} from '@lovagepond/core';
import {type Timeline} from './timeline.js';

const POOL = 'chat';
const TERM = 1;
const LEASE_MS = 3_000;
const TICK_MS = 100;
const ANNOUNCE_MS = 1_000;

interface Engine {
  incarnation: number;
  state: ServerState;
  wanted: WantedState;
  isSilent: boolean;
}

/** The engines and the membership list that routers receive. */
export class EngineList {
  readonly #engines = new Map<string, Engine>();
  readonly #log = new MembershipLog();
  readonly #registry = new MembershipRegistry({leaseMs: LEASE_MS}, this.#log);
  readonly #timeline: Timeline;

  constructor(timeline: Timeline) {
    this.#timeline = timeline;
    this.#registry.takeOver(TERM, timeline.now);
    timeline.repeat(ANNOUNCE_MS, () => {
      for (const name of this.#engines.keys()) this.#announce(name);
    });
    timeline.repeat(TICK_MS, () => {
      this.#registry.tick(timeline.now);
    });
  }

  /** @param name an engine to start; it announces itself from now on */
  start(name: string): void {
    const engine = {incarnation: 1, isSilent: false} as const;
    this.#engines.set(name, {...engine, state: 'ready', wanted: 'ready'});
    this.#announce(name);
  }

  /** @param name an engine whose announcements stop arriving */
  stopAnnouncing(name: string): void {
    this.#find(name).isSilent = true;
  }

  /** @param name an engine whose sidecar restarts */
  restart(name: string): void {
    this.#find(name).incarnation += 1;
    this.#announce(name);
  }

  /** @param name an engine that announces itself as draining */
  leave(name: string): void {
    this.#find(name).state = 'draining';
  }

  /** @param name an engine that operators drain */
  drain(name: string): void {
    this.#find(name).wanted = 'draining';
  }

  /**
   * @param name an engine
   * @returns its state in the list; undefined if it is not listed
   */
  stateOf(name: string): string | undefined {
    return this.#log.get(name)?.state;
  }

  /**
   * @param state a state
   * @returns number of listed engines in that state
   */
  count(state: string): number {
    return [...this.#log.servers()].filter(server => server.state === state)
      .length;
  }

  /** Number of ready engines in the mean load. */
  get readyServers(): number {
    return this.#registry.poolMean(POOL, this.#timeline.now).readyServers;
  }

  #find(name: string): Engine {
    const engine = this.#engines.get(name);
    if (!engine) throw new Error(`no engine is named ${name}`);
    return engine;
  }

  #announce(name: string): void {
    const engine = this.#find(name);
    if (engine.isSilent) return;
    const announcement: Announcement = {
      name,
      incarnation: `${name}-${engine.incarnation}`,
      pool: POOL,
      labels: {},
      availabilityZone: 'muc-riem',
      region: 'bayern-sued',
      address: `${name}:1`,
      state: engine.state,
      runningTokens: 1_000,
      queuedTokens: 0,
      capacityTokens: 100_000,
      models: [],
    };
    this.#registry.announce(announcement, engine.wanted, this.#timeline.now);
  }
}
