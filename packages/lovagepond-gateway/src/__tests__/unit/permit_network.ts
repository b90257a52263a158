/**
 * Gateways that issue permits to each other, with datagrams in virtual time.
 */
import {Random} from '@lovagepond/core';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {PeerAddresses} from '../../gateway_peer_addresses.js';
import {decodeDatagram} from '../../gateway_peer_datagrams.js';
import {type PermitDecision} from '../../gateway_permit_issuer.js';
import {GatewayPermits} from '../../gateway_permits.js';

const TICK_MS = 10;
const REFRESH_MS = 100;

interface Datagram {
  readonly at: number;
  readonly from: string;
  readonly to: string;
  readonly bytes: Uint8Array;
}

export interface PermitNetworkOptions {
  readonly gateways: number;
  readonly seed?: number;
  /** Share of the datagrams that are lost. */
  readonly loss?: number;
  /** Longest delay of a datagram, milliseconds. */
  readonly delayMs?: number;
}

export class PermitNetwork {
  readonly #hasher: KeyHasher;
  readonly #options: Required<PermitNetworkOptions>;
  readonly #random: Random;
  readonly #running = new Map<string, GatewayPermits>();
  readonly #underWay: Datagram[] = [];
  /** Requests that control reports, by server. */
  readonly reported = new Map<string, number>();
  now = 0;
  sent = 0;

  constructor(hasher: KeyHasher, options: PermitNetworkOptions) {
    this.#hasher = hasher;
    this.#options = {seed: 1, loss: 0, delayMs: 2, ...options};
    this.#random = new Random(this.#options.seed);
    for (const name of this.names) this.start(name);
  }

  get names(): readonly string[] {
    const {gateways} = this.#options;
    return Array.from({length: gateways}, (_, at) => `g${at}`);
  }

  /** Starts a gateway, or starts it again without its state. */
  start(name: string): void {
    const peers = new PeerAddresses(name, this.#hasher);
    const listed = this.names.map(node => ({node, address: node}));
    peers.apply({whole: true, peers: listed}, this.now);
    const permits = new GatewayPermits({
      hasher: this.#hasher,
      random: this.#random,
      peers,
      send: (to, bytes) => {
        this.#send(name, to, bytes);
      },
      onPending: () => {},
      reportedLoad: server => this.reported.get(server) ?? 0,
      findServer: () => undefined,
      findPool: () => undefined,
    });
    permits.useListed(new Set(['s', 't']));
    this.#running.set(name, permits);
  }

  kill(name: string): void {
    this.#running.delete(name);
  }

  at(name: string): GatewayPermits {
    const permits = this.#running.get(name);
    if (!permits) throw new Error(`${name} isn't running`);
    return permits;
  }

  /** @returns the gateways in the order in which they issue permits */
  issuersOf(server: string): readonly string[] {
    const peers = new PeerAddresses('outside', this.#hasher);
    const listed = this.names.map(node => ({node, address: node}));
    peers.apply({whole: true, peers: listed}, 0);
    return peers.rank(this.#hasher.hash(server), this.names.length);
  }

  /** @returns the decision, once the gateway has it */
  acquire(name: string, server: string, limit: number): PermitDecision {
    let decided: PermitDecision | undefined;
    this.at(name).acquire(server, limit, this.now, decision => {
      decided = decision;
    });
    for (let waited = 0; !decided && waited < 200; waited += 1) this.run(1);
    if (!decided) throw new Error('the request for a permit has no end');
    return decided;
  }

  /** @param ms time that passes, in whole milliseconds */
  run(ms: number): void {
    for (let passed = 0; passed < ms; passed += 1) {
      this.now += 1;
      const due = this.#underWay.filter(({at}) => at <= this.now);
      for (const one of due) {
        this.#underWay.splice(this.#underWay.indexOf(one), 1);
      }
      for (const one of due) this.#deliver(one);
      for (const permits of this.#running.values()) {
        if (this.now % TICK_MS === 0) permits.tick(this.now);
        if (this.now % REFRESH_MS === 0) permits.refresh(this.now);
      }
    }
  }

  #send(from: string, to: string, bytes: Uint8Array): void {
    this.sent += 1;
    const {loss, delayMs} = this.#options;
    if (this.#random.next() < loss) return;
    const at = this.now + Math.ceil(this.#random.next() * delayMs);
    this.#underWay.push({at, from, to, bytes});
  }

  #deliver({from, to, bytes}: Datagram): void {
    const datagram = decodeDatagram(bytes);
    if (!datagram) throw new Error('a gateway sent what none can read');
    this.#running.get(to)?.receive(datagram, from, this.now);
  }
}
