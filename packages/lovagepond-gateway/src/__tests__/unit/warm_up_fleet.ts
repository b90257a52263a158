/**
 * Gateways that send to one server that is warming up, with datagrams and waits
 * in virtual time. Each has clocks of its own, which may stand still.
 */
import {type Pool, Random} from '@lovagepond/core';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {PeerAddresses} from '../../gateway_peer_addresses.js';
import {decodeDatagram} from '../../gateway_peer_datagrams.js';
import {GatewayPermits} from '../../gateway_permits.js';
import {SEND_DECISION, SendPermit} from '../../gateway_send_permit.js';
import {ServerState} from '../../gateway_server_state.js';
import {GatewayWarmUp} from '../../gateway_warm_up.js';
import {makeBackendServer} from './backend_servers.js';

const SERVER = 's';
const LOAD_LIMIT = 1_000;
const TICK_MS = 10;
const REFRESH_MS = 100;
/** The first gateways have run for this long, milliseconds. */
const RUN_MS = 60_000;

export interface WarmUpFleetOptions {
  readonly gateways: number;
  readonly maxRequestsPerSecond: number;
  /** Names of the gateways that issue permits. */
  readonly routers: readonly string[];
  readonly seed?: number;
  /** Share of the datagrams that are lost. */
  readonly loss?: number;
  /** Longest delay of a datagram, milliseconds. */
  readonly delayMs?: number;
}

interface Gateway {
  readonly state: ServerState;
  readonly warmUp: GatewayWarmUp;
  readonly permits: GatewayPermits;
  /** Its list has the server. */
  isListed: boolean;
  /** Subtracted from the virtual time by its monotonic clock. */
  behindMs: number;
  /** Handles nothing until this virtual time. */
  stoppedUntil: number;
}

export class WarmUpFleet {
  readonly #options: Required<WarmUpFleetOptions>;
  readonly #hasher: KeyHasher;
  readonly #random: Random;
  readonly #gateways = new Map<string, Gateway>();
  readonly #due: {at: number; run: () => void}[] = [];
  readonly #cut = new Set<string>();
  now = RUN_MS;
  /** Virtual times of the sends to the server. */
  readonly sent: number[] = [];
  denied = 0;
  /** Whether issuers of load permits tell that the server is warming up. */
  tellsOthers = true;

  constructor(hasher: KeyHasher, options: WarmUpFleetOptions) {
    this.#hasher = hasher;
    this.#options = {seed: 1, loss: 0, delayMs: 2, ...options};
    this.#random = new Random(this.#options.seed);
    for (const name of this.names) this.start(name, 0);
  }

  get names(): readonly string[] {
    const {gateways} = this.#options;
    return Array.from({length: gateways}, (_, at) => `g${at}`);
  }

  /** The gateways that issue the server's load permits. */
  get issuers(): readonly string[] {
    const peers = new PeerAddresses('outside', this.#hasher);
    const listed = this.names.map(node => ({node, address: node}));
    peers.apply({whole: true, peers: listed}, 0);
    return peers.rank(this.#hasher.hash(SERVER), 3);
  }

  /**
   * Starts a gateway, or starts it again without its state.
   *
   * @param startedAt virtual time
   */
  start(name: string, startedAt = this.now): void {
    const {routers, maxRequestsPerSecond} = this.#options;
    const server = makeBackendServer(SERVER, {warmUp: {routers}});
    const state = new ServerState(server);
    const peers = new PeerAddresses(name, this.#hasher);
    const listed = this.names.map(node => ({node, address: node}));
    peers.apply({whole: true, peers: listed}, this.now);
    const warmUpLimits = {durationMs: 3_000, maxRequestsPerSecond};
    const shared = {
      hasher: this.#hasher,
      random: this.#random,
      peers,
      send: (to: string, bytes: Uint8Array) => {
        this.#deliver(name, to, bytes);
      },
      onPending: () => {},
      findPool: () => ({name: 'p', warmUp: warmUpLimits}) as Pool,
    };
    const warmUp = new GatewayWarmUp(
      {name, startedAt},
      {
        ...shared,
        findServer: () => state,
      },
    );
    const permits = new GatewayPermits({
      ...shared,
      reportedLoad: () => 0,
      findServer: () =>
        this.tellsOthers && gateway.isListed ? state : undefined,
    });
    warmUp.useListed([state], startedAt);
    permits.useListed(new Set([SERVER]));
    const gateway: Gateway = {
      state,
      warmUp,
      permits,
      isListed: true,
      behindMs: 0,
      stoppedUntil: 0,
    };
    this.#gateways.set(name, gateway);
  }

  /**
   * One request: chosen if the gateway may get a permit, sent after its waits if
   * the permit still allows it.
   *
   * @param name the gateway
   * @param waitMs wait between the permit and the send, as for a connection
   * @param abandons the caller leaves before the send
   */
  request(name: string, waitMs = 0, abandons = false): void {
    const gateway = this.#at(name);
    if (gateway.stoppedUntil > this.now) return;
    const clock = {
      now: () => this.#clockOf(gateway),
      wallTime: () => this.now,
    };
    if (!gateway.warmUp.admits(gateway.state, clock.now())) {
      this.denied += 1;
      return;
    }
    const permit = new SendPermit({...gateway, clock});
    permit.acquire(gateway.state, LOAD_LIMIT, clock.now(), decision => {
      if (decision !== SEND_DECISION.GRANTED) {
        this.denied += 1;
        return;
      }
      this.after(waitMs, () => {
        this.#whenRunning(name, gateway, () => {
          const at = {now: clock.now(), wallTime: clock.wallTime()};
          const maySend = !abandons && permit.takeFor(gateway.state, at);
          if (maySend) this.sent.push(this.now);
          permit.release(clock.now());
        });
      });
    });
  }

  /**
   * Has a gateway stand still.
   *
   * @param forMs how long
   * @param isSuspended its monotonic clock doesn't count the time
   */
  stop(name: string, forMs: number, isSuspended: boolean): void {
    const gateway = this.#at(name);
    gateway.stoppedUntil = Math.max(gateway.stoppedUntil, this.now + forMs);
    if (isSuspended) gateway.behindMs += forMs;
  }

  /** @param name a gateway whose list says that the server is warm */
  forgetWarmUp(name: string): void {
    const {state} = this.#at(name);
    state.server = makeBackendServer(SERVER);
  }

  /** @param name a gateway whose connection the server refuses */
  noteExit(name: string): void {
    const gateway = this.#at(name);
    gateway.state.warmUpNews.noteExited(this.#clockOf(gateway));
  }

  /** @param name a gateway whose list no longer has the server */
  unlist(name: string): void {
    const gateway = this.#at(name);
    gateway.isListed = false;
    gateway.permits.useListed(new Set());
  }

  /** @param name a gateway that loses a connection with a request under way */
  noteLost(name: string): void {
    const gateway = this.#at(name);
    gateway.state.warmUpNews.noteLost(this.#clockOf(gateway));
  }

  /** @param name a gateway that gets control's newest list */
  learnWarmUp(name: string): void {
    const {routers} = this.#options;
    const {state} = this.#at(name);
    state.server = makeBackendServer(SERVER, {warmUp: {routers}});
  }

  /** @param name a gateway that no datagram reaches or leaves any more */
  cut(name: string): void {
    this.#cut.add(name);
  }

  /** @param ms virtual time after which `run` is called */
  after(ms: number, run: () => void): void {
    this.#due.push({at: this.now + ms, run});
  }

  /** @param ms time that passes, in whole milliseconds */
  run(ms: number): void {
    for (let passed = 0; passed < ms; passed += 1) {
      this.now += 1;
      const due = this.#due.filter(({at}) => at <= this.now);
      for (const one of due) this.#due.splice(this.#due.indexOf(one), 1);
      for (const one of due) one.run();
      for (const gateway of this.#gateways.values()) this.#tick(gateway);
    }
  }

  /** @returns the most sends within any second */
  get mostInASecond(): number {
    const counts = this.sent.map(
      from => this.sent.filter(at => at >= from && at < from + 1_000).length,
    );
    return Math.max(0, ...counts);
  }

  #tick(gateway: Gateway): void {
    if (gateway.stoppedUntil > this.now) return;
    const now = this.#clockOf(gateway);
    if (this.now % TICK_MS === 0) {
      gateway.warmUp.tick(now);
      gateway.permits.tick(now);
    }
    if (this.now % REFRESH_MS === 0) gateway.permits.refresh(now);
  }

  #deliver(from: string, to: string, bytes: Uint8Array): void {
    const {loss, delayMs} = this.#options;
    if (this.#random.next() < loss) return;
    if (this.#cut.has(from) || this.#cut.has(to)) return;
    const datagram = decodeDatagram(bytes);
    if (!datagram) throw new Error('a gateway sent what none can read');
    this.after(Math.ceil(this.#random.next() * delayMs), () => {
      const gateway = this.#at(to);
      this.#whenRunning(to, gateway, () => {
        const now = this.#clockOf(gateway);
        gateway.warmUp.receive(datagram, from, now);
        gateway.permits.receive(datagram, from, now);
      });
    });
  }

  /** Runs at once, or when the gateway goes on; not after its restart. */
  #whenRunning(name: string, gateway: Gateway, run: () => void): void {
    if (this.#gateways.get(name) !== gateway) return;
    const leftMs = gateway.stoppedUntil - this.now;
    if (leftMs <= 0) run();
    else {
      this.after(leftMs, () => {
        this.#whenRunning(name, gateway, run);
      });
    }
  }

  #clockOf({behindMs, stoppedUntil}: Gateway): number {
    const aheadMs = Math.max(0, stoppedUntil - this.now);
    return this.now - behindMs + Math.min(behindMs, aheadMs);
  }

  #at(name: string): Gateway {
    const gateway = this.#gateways.get(name);
    if (!gateway) throw new Error(`${name} isn't running`);
    return gateway;
  }
}
