/**
 * State that the steps of one scenario share.
 */
import {setWorldConstructor, World} from '@cucumber/cucumber';
import {ConsensusGroup} from './consensus_group.js';
import {ControlGroup} from './control_group.js';
import {EngineList} from './engine_list.js';
import {GatedServer} from './gated_server.js';
import {Pool, type PoolOptions} from './pool.js';
import {Redemption} from './redemption.js';
import {RoutedRequest} from './routed_request.js';
import {Subscribers} from './subscribers.js';
import {Timeline} from './timeline.js';

const FLOOR_TOKENS = 4_000;
const SEED = 7;

/** Virtual time of one scenario, and the objects that its steps create. */
export class ScenarioWorld extends World {
  readonly timeline = new Timeline();
  readonly #servers = new Map<string, GatedServer>();
  #pool: Pool | undefined;
  #request: RoutedRequest | undefined;
  #control: ControlGroup | undefined;
  #redemption: Redemption | undefined;
  #consensus: ConsensusGroup | undefined;
  #subscribers: Subscribers | undefined;
  #engines: EngineList | undefined;

  /** The pool that an earlier step created. */
  get pool(): Pool {
    if (!this.#pool) throw new Error('no step created a pool');
    return this.#pool;
  }

  /** The caller's request that an earlier step created. */
  get request(): RoutedRequest {
    if (!this.#request) throw new Error('no step created a request');
    return this.#request;
  }

  /** The control members that an earlier step started. */
  get control(): ControlGroup {
    if (!this.#control) throw new Error('no step started control members');
    return this.#control;
  }

  /** @returns three control members */
  createControl(): ControlGroup {
    this.#control = new ControlGroup(this.timeline);
    return this.#control;
  }

  /** The control hosts, which run the real consensus core. */
  get consensus(): ConsensusGroup {
    if (!this.#consensus) throw new Error('no step started control hosts');
    return this.#consensus;
  }

  /**
   * @param names the hosts' names
   * @returns the started hosts
   */
  createConsensus(names: readonly string[]): ConsensusGroup {
    this.#consensus = new ConsensusGroup(names, this.timeline);
    return this.#consensus;
  }

  /** Routers and sidecars that subscribe to control. */
  get subscribers(): Subscribers {
    if (!this.#subscribers) throw new Error('no step added subscribers');
    return this.#subscribers;
  }

  /** @returns an empty set of subscribers */
  createSubscribers(): Subscribers {
    this.#subscribers = new Subscribers(this.control, this.timeline);
    return this.#subscribers;
  }

  /** Engines that announce themselves to control. */
  get engines(): EngineList {
    if (!this.#engines) throw new Error('no step started engines');
    return this.#engines;
  }

  /** @returns an empty list of engines */
  createEngines(): EngineList {
    this.#engines = new EngineList(this.timeline);
    return this.#engines;
  }

  /** The service whose calls may not be repeated. */
  get redemption(): Redemption {
    if (!this.#redemption) throw new Error('no step started the service');
    return this.#redemption;
  }

  /** @param servers names of the backend servers that run the service */
  createRedemption(servers: readonly string[]): void {
    this.#redemption = new Redemption(servers, this.control, this.timeline);
  }

  /** @returns a caller's request, already sent to the first server */
  createRequest(): RoutedRequest {
    this.#request = new RoutedRequest(this.timeline);
    return this.#request;
  }

  /** @param options size, load bound and timing of the pool */
  createPool(options: PoolOptions): void {
    this.#pool = new Pool(options, this.timeline);
  }

  /**
   * @param name a backend server's name
   * @returns the pool's server of that name; without a pool, a server of its
   *     own, created on first use
   */
  server(name: string): GatedServer {
    if (this.#pool) return this.#pool.server(name);
    const existing = this.#servers.get(name);
    if (existing) return existing;
    const server = this.createServerWithoutMean(name);
    const idleMean = {meanTokens: 0, ageMs: 0, readyServers: 6, ownTokens: 0};
    server.gate.admission.setPoolMean(idleMean, this.timeline.now);
    this.timeline.repeat(1_000, () => {
      server.gate.admission.setPoolMean(idleMean, this.timeline.now);
    });
    return server;
  }

  /**
   * @param name a backend server's name
   * @returns a new server whose sidecar has received no mean of its pool
   */
  createServerWithoutMean(name: string): GatedServer {
    const options = {
      name,
      floorTokens: FLOOR_TOKENS,
      tokensPerSecond: 500,
      seed: SEED,
    };
    const server = new GatedServer(options, this.timeline);
    this.#servers.set(name, server);
    return server;
  }
}

setWorldConstructor(ScenarioWorld);
