/**
 * Permits for this gateway's requests at backend servers.
 *
 * Rendezvous hashing gives each server one gateway that issues its permits, so
 * that one place counts the requests of all gateways there. If that one doesn't
 * reply, the next one in the order is asked, and then this gateway decides.
 */
import {type Pool, type Random} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type HashKey, type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type PeerAddresses, SELF} from './gateway_peer_addresses.js';
import {
  encodeDatagram,
  type WirePeerDatagram,
} from './gateway_peer_datagrams.js';
import {type GatewayFleet} from './gateway_fleet.js';
import {
  type GatewayPeerLink,
  type PeerDatagramHandler,
} from './gateway_peer_link.js';
import {
  type PermitDecision,
  PermitIssuer,
  type PermitRequest,
} from './gateway_permit_issuer.js';
import {encodeRequest, readRequest} from './gateway_permit_datagrams.js';
import {RestartSuspicions} from './gateway_restart_suspicion.js';
import {ServerKeys} from './gateway_server_keys.js';
import {type ServerState} from './gateway_server_state.js';

/** Stands for no limit. */
const MAX_LIMIT = 2 ** 31;

/** Time after which another issuer is asked, milliseconds. */
const REPLY_TIMEOUT_MS = 40;

/** Other gateways that are asked for one request before this one decides. */
const MAX_ASKED = 2;

/** The first gateways in a server's order, which may issue its permits. */
const MAX_ISSUERS = 3;

/** Time for which an issuer isn't asked after it did not reply, milliseconds. */
const SILENT_MS = 3_000;

/** Interval at which a number is told again, milliseconds. */
const REFRESH_INTERVAL_MS = 1_000;

/** The same for the last number of a server without requests. */
const LAST_REFRESH_MS = 300;

/** Counts since the start. */
export interface PermitCounts {
  readonly granted: number;
  readonly denied: number;
  /** Decisions without the reply of an issuer that should have decided. */
  readonly unanswered: number;
}

/** State for metrics and the state dump. */
export interface GatewayPermitsState {
  readonly decisions: PermitCounts;
  /** Servers whose requests this gateway counts. */
  readonly issuedServers: number;
}

export interface GatewayPermitsDependencies {
  readonly hasher: KeyHasher;
  readonly random: Random;
  readonly peers: PeerAddresses;
  /** Sends a datagram, which may be lost. */
  readonly send: (address: string, bytes: Uint8Array) => void;
  /** Called when {@link GatewayPermits.tick} has to be called periodically. */
  readonly onPending: () => void;
  /** @returns a server's requests, as reported through control */
  readonly reportedLoad: (server: string) => number;
  /** @returns a listed server */
  readonly findServer: (
    server: string,
  ) => Pick<ServerState, 'server' | 'warmUpNews'> | undefined;
  /** @returns a configured pool */
  readonly findPool: (name: string) => Pool | undefined;
}

type OnDecision = (decision: PermitDecision, now: number) => void;

/** This gateway's requests at one server. */
interface OwnRequests {
  readonly name: string;
  readonly key: HashKey;
  granted: number;
  waiting: number;
  /** The issuer that was told the number last; unset if it may not know it. */
  toldTo: string | undefined;
  told: number;
  toldAt: number;
  /** The end of the last request was told twice. */
  isEndConfirmed: boolean;
}

interface PendingRequest {
  readonly own: OwnRequests;
  readonly limit: number;
  readonly onDecision: OnDecision;
  readonly asked: string[];
  held: number;
  askedAt: number;
}

export class GatewayPermits implements PeerDatagramHandler {
  readonly #deps: GatewayPermitsDependencies;
  readonly #issuer = new PermitIssuer();
  readonly #suspicions = new RestartSuspicions();
  /** By server name. */
  readonly #own = new Map<string, OwnRequests>();
  readonly #keys: ServerKeys;
  /** By sequence number. */
  readonly #pending = new Map<number, PendingRequest>();
  /** When issuers are asked again that did not reply, by address. */
  readonly #silentUntil = new Map<string, number>();
  #sequence: number;
  #counts = {granted: 0, denied: 0, unanswered: 0};

  constructor(deps: GatewayPermitsDependencies) {
    this.#deps = deps;
    this.#keys = new ServerKeys(deps.hasher);
    this.#sequence = deps.random.below(2 ** 32);
  }

  /** @param listed names of the servers that control lists */
  useListed(listed: ReadonlySet<string>): void {
    this.#keys.useListed(listed);
    this.#suspicions.keepOnly(listed);
  }

  /**
   * @param server a server's name
   * @param limit requests that all gateways may have there, with the new one
   * @param now current time, monotonic milliseconds
   * @param onDecision called once, during the call or later, with the time of the
   *     decision; a granted permit must be given back with {@link release}
   */
  acquire(
    server: string,
    limit: number,
    now: number,
    onDecision: OnDecision,
  ): void {
    const own = this.#ownOf(server, now);
    own.waiting += 1;
    const wholeLimit = Math.min(MAX_LIMIT, Math.max(1, Math.floor(limit)));
    this.#ask(
      {own, limit: wholeLimit, onDecision, asked: [], held: 0, askedAt: now},
      now,
    );
  }

  /**
   * Gives a permit back.
   *
   * @param server the server's name
   * @param now current time, monotonic milliseconds
   */
  release(server: string, now: number): void {
    const own = this.#own.get(server);
    if (!own) return;
    own.granted -= 1;
    this.#tell(own, now);
  }

  receive(
    {permitRequest, permitReply}: WirePeerDatagram,
    from: string,
    now: number,
  ): void {
    this.#silentUntil.delete(from);
    if (permitRequest) this.#onRequest(readRequest(permitRequest), from, now);
    if (permitReply) this.#onReply(permitReply, from, now);
  }

  tick(now: number): boolean {
    for (const [sequence, pending] of this.#pending) {
      if (now - pending.askedAt < REPLY_TIMEOUT_MS) continue;
      this.#pending.delete(sequence);
      const issuer = pending.asked.at(-1) ?? SELF;
      this.#silentUntil.set(issuer, now + SILENT_MS);
      // Whether the issuer has counted the request is unknown.
      pending.own.toldTo = undefined;
      this.#ask(pending, now);
    }
    return this.#pending.size > 0;
  }

  /**
   * Tells issuers what they may not know. Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  refresh(now: number): void {
    this.#issuer.expire(now);
    for (const [issuer, until] of this.#silentUntil) {
      if (now >= until) this.#silentUntil.delete(issuer);
    }
    for (const own of this.#own.values()) {
      if (own.waiting === 0) this.#refreshOne(own, now);
    }
  }

  describe(): GatewayPermitsState {
    return {decisions: {...this.#counts}, issuedServers: this.#issuer.size};
  }

  #refreshOne(own: OwnRequests, now: number): void {
    const issuer = this.#issuerOf(own.key, now);
    const isKnown = own.toldTo === issuer && own.told === own.granted;
    const ageMs = now - own.toldAt;
    if (own.granted > 0) {
      own.isEndConfirmed = false;
      if (!isKnown || ageMs >= REFRESH_INTERVAL_MS) this.#tell(own, now);
    } else if (!isKnown) {
      this.#tell(own, now);
    } else if (ageMs >= LAST_REFRESH_MS) {
      if (own.isEndConfirmed) this.#own.delete(own.name);
      else this.#tell(own, now);
      own.isEndConfirmed = true;
    }
  }

  #ownOf(name: string, now: number): OwnRequests {
    const known = this.#own.get(name);
    if (known) return known;
    const own: OwnRequests = {
      name,
      key: this.#keys.keyOf(name),
      granted: 0,
      waiting: 0,
      toldTo: undefined,
      told: 0,
      toldAt: now,
      isEndConfirmed: false,
    };
    this.#own.set(name, own);
    return own;
  }

  #ask(pending: PendingRequest, now: number): void {
    const {own, asked, limit} = pending;
    const issuer = this.#issuerOf(own.key, now, asked);
    const sequence = this.#nextSequence();
    pending.held = own.granted + own.waiting - 1;
    const req = {
      server: own.key,
      sequence,
      held: pending.held,
      limit,
      ...this.#newsOf(own.name, now),
    };
    if (issuer === SELF || asked.length >= MAX_ASKED) {
      if (asked.length > 0) this.#counts.unanswered += 1;
      const issuers = this.#deps.peers.rankAll(own.key, MAX_ISSUERS);
      const decision = {
        ...this.#decide(SELF, own.name, req, now),
        ...(!issuers.includes(SELF) && {isAlone: true}),
      };
      this.#finish(pending, decision, SELF, now);
      return;
    }
    asked.push(issuer);
    pending.askedAt = now;
    this.#pending.set(sequence, pending);
    this.#deps.send(issuer, encodeRequest(req));
    this.#deps.onPending();
  }

  #finish(
    {own, held, onDecision}: PendingRequest,
    decision: PermitDecision,
    issuer: string,
    now: number,
  ): void {
    own.waiting -= 1;
    own.toldTo = issuer;
    own.told = held;
    own.toldAt = now;
    if (decision.granted) {
      own.granted += 1;
      own.told += 1;
      this.#counts.granted += 1;
    } else {
      this.#counts.denied += 1;
    }
    onDecision(decision, now);
  }

  #tell(own: OwnRequests, now: number): void {
    const issuer = this.#issuerOf(own.key, now);
    const held = own.granted + own.waiting;
    const sequence = this.#nextSequence();
    const news = this.#newsOf(own.name, now);
    const req = {server: own.key, sequence, held, limit: 0, ...news};
    own.toldTo = issuer;
    own.told = held;
    own.toldAt = now;
    if (issuer === SELF) this.#issuer.tell(SELF, req, now);
    else this.#deps.send(issuer, encodeRequest(req));
  }

  #onRequest(req: PermitRequest, from: string, now: number): void {
    const name = this.#keys.nameOf(req.server);
    const state = name === undefined ? undefined : this.#deps.findServer(name);
    const {refusedMsAgo, lostMsAgo} = req;
    if (refusedMsAgo) state?.warmUpNews.noteExitReported(refusedMsAgo, now);
    if (lostMsAgo) state?.warmUpNews.noteLossReported(lostMsAgo, now);
    if (req.limit === 0) {
      this.#issuer.tell(from, req, now);
      return;
    }
    const {granted, load} = this.#decide(from, name, req, now);
    const {routers} = state?.server.warmUp ?? {};
    const permitReply = {
      sequence: req.sequence,
      granted,
      load,
      exited:
        state?.warmUpNews.hasExited(now) ?? this.#keys.isFormer(req.server),
      ...(routers && {warmUpRouters: [...routers]}),
    };
    this.#deps.send(from, encodeDatagram({permitReply}));
  }

  /** @returns what this gateway's connections show of a server's process */
  #newsOf(
    name: string,
    now: number,
  ): Pick<PermitRequest, 'refusedMsAgo' | 'lostMsAgo'> {
    const news = this.#deps.findServer(name)?.warmUpNews;
    return {
      refusedMsAgo: Math.ceil(news?.refusedMsAgo(now) ?? 0),
      lostMsAgo: Math.ceil(news?.lostMsAgo(now) ?? 0),
    };
  }

  #onReply(
    reply: lovagepond.v1.PermitReply.$Properties,
    from: string,
    now: number,
  ): void {
    const sequence = reply.sequence ?? 0;
    const pending = this.#pending.get(sequence);
    if (!pending || pending.asked.at(-1) !== from) return;
    this.#pending.delete(sequence);
    const warmUpRouters = reply.warmUpRouters ?? [];
    const decision = {
      granted: reply.granted ?? false,
      load: reply.load ?? 0,
      ...(warmUpRouters.length > 0 && {warmUpRouters}),
      ...(reply.exited && {hasExited: true}),
    };
    this.#finish(pending, decision, from, now);
  }

  #decide(
    gateway: string,
    name: string | undefined,
    req: PermitRequest,
    now: number,
  ): PermitDecision {
    const {peers, reportedLoad, findServer, findPool} = this.#deps;
    const state = name === undefined ? undefined : findServer(name);
    const pool = state && findPool(state.server.pool);
    const isAdmitted = !state || this.#suspicions.admits(state, pool, now);
    const limit = isAdmitted ? req.limit : 0;
    const view = {
      reportedLoad: name === undefined ? 0 : reportedLoad(name),
      isFirst: peers.rankAll(req.server, 1).includes(SELF),
    };
    const decision = this.#issuer.decide(gateway, {...req, limit}, view, now);
    if (state && decision.granted) this.#suspicions.noteGranted(state, now);
    return decision;
  }

  /** @returns the first issuer of a server that may reply, or this gateway */
  #issuerOf(key: HashKey, now: number, asked: readonly string[] = []): string {
    for (const issuer of this.#deps.peers.rankAll(key, MAX_ISSUERS)) {
      const isSilent = (this.#silentUntil.get(issuer) ?? 0) > now;
      if (!isSilent && !asked.includes(issuer)) return issuer;
    }
    return SELF;
  }

  #nextSequence(): number {
    this.#sequence = (this.#sequence + 1) >>> 0;
    return this.#sequence;
  }
}

/**
 * @param link reaches the other gateways
 * @param fleet the servers
 * @param deps hashes servers' names, and draws the first sequence number
 * @returns this gateway's permits
 */
export function makePermits(
  link: GatewayPeerLink,
  fleet: GatewayFleet,
  deps: Pick<GatewayPermitsDependencies, 'hasher' | 'random' | 'findPool'>,
): GatewayPermits {
  const permits = new GatewayPermits({
    ...deps,
    peers: link.addresses,
    send: (address, bytes) => {
      link.send(address, bytes);
    },
    onPending: () => {
      link.startTicking();
    },
    reportedLoad: server => fleet.find(server)?.requests ?? 0,
    findServer: server => fleet.find(server),
  });
  link.addHandler(permits);
  return permits;
}
