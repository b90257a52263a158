/**
 * Permits for requests to servers that are warming up, from the gateways that
 * control names for each of them.
 *
 * A permit is valid for a short time only. It is checked right before the send,
 * so the limit holds whatever a request waits for after its choice of a server.
 */
import {type Pool, type Random, type WarmUp} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type GatewayFleet} from './gateway_fleet.js';
import {type PeerAddresses, SELF} from './gateway_peer_addresses.js';
import {
  encodeDatagram,
  type WirePeerDatagram,
} from './gateway_peer_datagrams.js';
import {
  type GatewayPeerLink,
  type PeerDatagramHandler,
} from './gateway_peer_link.js';
import {ServerKeys} from './gateway_server_keys.js';
import {type ServerState} from './gateway_server_state.js';
import {
  GRANT_WINDOW_MS,
  UNLISTED_MS,
  type WarmUpDecision,
  WarmUpIssuer,
} from './gateway_warm_up_issuer.js';

/** Time after which another issuer is asked, milliseconds. */
const REPLY_TIMEOUT_MS = 40;

/** Time for which an issuer isn't asked after it did not reply, milliseconds. */
const SILENT_MS = 500;

export interface GatewayWarmUpSettings {
  /** This gateway's name. */
  readonly name: string;
  /** Start of this process, monotonic milliseconds. */
  readonly startedAt: number;
}

export interface GatewayWarmUpDependencies {
  readonly hasher: KeyHasher;
  readonly random: Random;
  readonly peers: PeerAddresses;
  /** Sends a datagram, which may be lost. */
  readonly send: (address: string, bytes: Uint8Array) => void;
  /** Called when {@link GatewayWarmUp.tick} has to be called periodically. */
  readonly onPending: () => void;
  /** @returns a listed server */
  readonly findServer: (name: string) => ServerState | undefined;
  /** @returns a configured pool */
  readonly findPool: (name: string) => Pool | undefined;
}

/** Receives the decision and its time, monotonic milliseconds. */
export type OnWarmUpDecision = (isGranted: boolean, now: number) => void;

interface PendingQuestion {
  readonly state: ServerState;
  readonly asked: string[];
  readonly onDecision: OnWarmUpDecision;
  askedAt: number;
}

export class GatewayWarmUp implements PeerDatagramHandler {
  readonly #name: string;
  readonly #deps: GatewayWarmUpDependencies;
  readonly #issuer: WarmUpIssuer;
  readonly #keys: ServerKeys;
  /** By sequence number. */
  readonly #pending = new Map<number, PendingQuestion>();
  /** When issuers may grant a request again, by server and issuer. */
  readonly #fullUntil = new Map<string, Map<string, number>>();
  /** When requests were last sent without an issuer, by server. */
  readonly #aloneAt = new Map<string, number>();
  /** When issuers are asked again that did not reply, by name. */
  readonly #silentUntil = new Map<string, number>();
  #sequence: number;
  #counts = {granted: 0, denied: 0, unanswered: 0};

  constructor(
    {name, startedAt}: GatewayWarmUpSettings,
    deps: GatewayWarmUpDependencies,
  ) {
    this.#name = name;
    this.#deps = deps;
    this.#issuer = new WarmUpIssuer(name, startedAt);
    this.#keys = new ServerKeys(deps.hasher);
    this.#sequence = deps.random.below(2 ** 32);
  }

  /** Questions of this gateway by their end, for metrics and the state dump. */
  get decisions(): Readonly<Record<string, number>> {
    return {...this.#counts};
  }

  /**
   * @param listed all servers that control lists
   * @param now current time, monotonic milliseconds
   */
  useListed(listed: Iterable<ServerState>, now: number): void {
    const states = [...listed];
    const names = new Set(states.map(({server}) => server.name));
    this.#keys.useListed(names);
    this.#issuer.useListed(states, now);
    for (const known of [this.#fullUntil, this.#aloneAt]) {
      for (const name of known.keys()) if (!names.has(name)) known.delete(name);
    }
  }

  /**
   * @param state a server
   * @param now current time, monotonic milliseconds
   * @returns the gateways that issue permits for the server while it is warming
   *     up, or after its exit; undefined when it gets requests without a limit
   */
  warmUpOf({server, warmUpNews}: ServerState, now: number): WarmUp | undefined {
    const isLimited = this.#deps.findPool(server.pool)?.warmUp !== undefined;
    return isLimited ? warmUpNews.warmUpOf(server, now) : server.warmUp;
  }

  /**
   * @param state a server
   * @param now current time, monotonic milliseconds
   * @returns false if no issuer will grant a request to the server now
   */
  admits(state: ServerState, now: number): boolean {
    return (
      !this.warmUpOf(state, now) || this.#issuersFor(state, now).length > 0
    );
  }

  /**
   * A gateway that hears no issuer of a server may not hear that it has turned cold.
   * It uses the part of the limit that nobody grants, and sends little there. A
   * true result is used up.
   *
   * @param state a server that is warm by the list of this gateway
   * @param now current time, monotonic milliseconds
   * @returns true if one more request may be sent to the server
   */
  admitsAlone({server}: ServerState, now: number): boolean {
    const isLimited = this.#deps.findPool(server.pool)?.warmUp !== undefined;
    if (!isLimited) return true;
    const lastAt = this.#aloneAt.get(server.name) ?? Number.NEGATIVE_INFINITY;
    if (now - lastAt < GRANT_WINDOW_MS) return false;
    this.#aloneAt.set(server.name, now);
    return true;
  }

  /**
   * @param state a server
   * @param now current time, monotonic milliseconds
   * @returns time until an issuer may grant a request to it, milliseconds
   */
  waitMs(state: ServerState, now: number): number {
    const {routers} = this.warmUpOf(state, now) ?? {routers: []};
    const waits = routers.map(router => this.#waitAtMs(state, router, now));
    return Math.min(GRANT_WINDOW_MS, ...waits);
  }

  /**
   * Asks for one request to a server that is warming up.
   *
   * @param state the server
   * @param now current time, monotonic milliseconds
   * @param onDecision called once, during the call or later
   */
  acquire(state: ServerState, now: number, onDecision: OnWarmUpDecision): void {
    this.#ask({state, asked: [], onDecision, askedAt: now}, now);
  }

  receive(
    {warmUpRequest, warmUpReply}: WirePeerDatagram,
    from: string,
    now: number,
  ): void {
    if (warmUpRequest) this.#onRequest(warmUpRequest, from, now);
    if (warmUpReply) this.#onReply(warmUpReply, from, now);
  }

  tick(now: number): boolean {
    for (const [sequence, pending] of this.#pending) {
      if (now - pending.askedAt < REPLY_TIMEOUT_MS) continue;
      this.#pending.delete(sequence);
      this.#counts.unanswered += 1;
      const issuer = pending.asked.at(-1) ?? '';
      this.#silentUntil.set(issuer, now + SILENT_MS);
      this.#ask(pending, now);
    }
    return this.#pending.size > 0;
  }

  #ask(pending: PendingQuestion, now: number): void {
    const {state, asked, onDecision} = pending;
    const left = this.#issuersFor(state, now).filter(
      name => !asked.includes(name),
    );
    if (left.length === 0) {
      this.#counts.denied += 1;
      onDecision(false, now);
      return;
    }
    const isOwn = left.includes(this.#name);
    const issuer = isOwn ? this.#name : this.#deps.random.pick(left);
    asked.push(issuer);
    if (isOwn) {
      this.#finish(pending, this.#decide(state, now), issuer, now);
      return;
    }
    pending.askedAt = now;
    this.#sequence = (this.#sequence + 1) >>> 0;
    this.#pending.set(this.#sequence, pending);
    const server = this.#keys.keyOf(state.server.name);
    const warmUpRequest = {sequence: this.#sequence, server};
    const address = this.#deps.peers.addressOf(issuer) ?? '';
    this.#deps.send(address, encodeDatagram({warmUpRequest}));
    this.#deps.onPending();
  }

  #finish(
    pending: PendingQuestion,
    {isGranted, waitMs}: WarmUpDecision,
    issuer: string,
    now: number,
  ): void {
    const {name} = pending.state.server;
    const fullUntil = this.#fullUntil.get(name) ?? new Map<string, number>();
    if (waitMs > 0) fullUntil.set(issuer, now + waitMs);
    else fullUntil.delete(issuer);
    this.#fullUntil.set(name, fullUntil);
    if (!isGranted) {
      this.#ask(pending, now);
      return;
    }
    this.#counts.granted += 1;
    pending.onDecision(true, now);
  }

  #onRequest(
    {sequence, server}: lovagepond.v1.WarmUpRequest.$Properties,
    from: string,
    now: number,
  ): void {
    const key = {low: server?.low ?? 0, high: server?.high ?? 0};
    const name = this.#keys.nameOf(key);
    const state = name === undefined ? undefined : this.#deps.findServer(name);
    const {isGranted, waitMs} = state
      ? this.#decide(state, now)
      : {isGranted: false, waitMs: UNLISTED_MS};
    const warmUpReply = {
      sequence: sequence ?? 0,
      granted: isGranted,
      waitMs: Math.ceil(waitMs),
    };
    this.#deps.send(from, encodeDatagram({warmUpReply}));
  }

  #onReply(
    {sequence, granted, waitMs}: lovagepond.v1.WarmUpReply.$Properties,
    from: string,
    now: number,
  ): void {
    const pending = this.#pending.get(sequence ?? 0);
    const issuer = pending?.asked.at(-1);
    if (!pending || issuer === undefined) return;
    if (this.#deps.peers.addressOf(issuer) !== from) return;
    this.#pending.delete(sequence ?? 0);
    this.#silentUntil.delete(issuer);
    const decision = {isGranted: granted ?? false, waitMs: waitMs ?? 0};
    this.#finish(pending, decision, issuer, now);
  }

  #decide(state: ServerState, now: number): WarmUpDecision {
    return this.#issuer.decide(state, this.#poolOf(state), now);
  }

  #poolOf({server}: ServerState): Pool | undefined {
    return this.#deps.findPool(server.pool);
  }

  /** @returns names of the issuers that may grant a request now */
  #issuersFor(state: ServerState, now: number): readonly string[] {
    const {routers} = this.warmUpOf(state, now) ?? {routers: []};
    return routers.filter(router => this.#waitAtMs(state, router, now) === 0);
  }

  #waitAtMs(state: ServerState, router: string, now: number): number {
    if (router === this.#name) {
      return this.#issuer.waitMs(state, this.#poolOf(state), now);
    }
    const address = this.#deps.peers.addressOf(router);
    if (address === undefined || address === SELF) return GRANT_WINDOW_MS;
    const full = this.#fullUntil.get(state.server.name)?.get(router) ?? 0;
    const silent = this.#silentUntil.get(router) ?? 0;
    return Math.max(0, Math.max(full, silent) - now);
  }
}

/**
 * @param link reaches the other gateways
 * @param fleet the servers
 * @param settings this gateway
 * @param deps hashes servers' names, draws issuers, and reads the configuration
 * @returns this gateway's permits for servers that are warming up
 */
export function makeWarmUp(
  link: GatewayPeerLink,
  fleet: GatewayFleet,
  settings: GatewayWarmUpSettings,
  deps: Pick<GatewayWarmUpDependencies, 'hasher' | 'random' | 'findPool'>,
): GatewayWarmUp {
  const {hasher, random, findPool} = deps;
  const warmUp = new GatewayWarmUp(settings, {
    hasher,
    random,
    peers: link.addresses,
    send: (address, bytes) => {
      link.send(address, bytes);
    },
    onPending: () => {
      link.startTicking();
    },
    findServer: name => fleet.find(name),
    findPool,
  });
  link.addHandler(warmUp);
  return warmUp;
}
