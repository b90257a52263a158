/**
 * Exchanges datagrams with the other gateways, whose addresses control tells.
 */
import {type Clock, type Logger} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {PeerAddresses} from './gateway_peer_addresses.js';
import {
  decodeDatagram,
  type WirePeerDatagram,
} from './gateway_peer_datagrams.js';
import {PeerSocket, type PeerSocketSettings} from './gateway_peer_socket.js';

/**
 * Interval at which the gateway reports its address, milliseconds. Control drops
 * a gateway after several missing reports.
 */
const ADDRESS_INTERVAL_MS = 2_000;

/** The same until control lists the address, as reports may be lost. */
const UNLISTED_INTERVAL_MS = 100;

export interface GatewayPeerLinkSettings extends PeerSocketSettings {
  /** This gateway's name. */
  readonly name: string;
}

export interface GatewayPeerLinkDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly hasher: KeyHasher;
}

/** Handles the datagrams of one protocol and ignores all others. */
export interface PeerDatagramHandler {
  receive(datagram: WirePeerDatagram, from: string, now: number): void;
  /** @returns false when no further call is needed */
  tick(now: number): boolean;
}

export class GatewayPeerLink {
  readonly addresses: PeerAddresses;
  readonly #clock: Clock;
  readonly #socket: PeerSocket;
  readonly #handlers: PeerDatagramHandler[] = [];
  #addressReportedAt = Number.NEGATIVE_INFINITY;

  constructor(
    settings: GatewayPeerLinkSettings,
    deps: GatewayPeerLinkDependencies,
  ) {
    this.#clock = deps.clock;
    this.addresses = new PeerAddresses(settings.name, deps.hasher);
    this.#socket = new PeerSocket(settings, deps, {
      onDatagram: (bytes, from, now) => {
        const datagram = decodeDatagram(bytes);
        if (!datagram) return;
        for (const one of this.#handlers) one.receive(datagram, from, now);
      },
      onTick: now =>
        this.#handlers.map(one => one.tick(now)).some(needsTick => needsTick),
    });
  }

  /** @param handler handles datagrams from now on */
  addHandler(handler: PeerDatagramHandler): void {
    this.#handlers.push(handler);
  }

  /** Binds the socket; a failure is logged. */
  async start(): Promise<void> {
    await this.#socket.start();
  }

  stop(): void {
    this.#socket.stop();
  }

  /**
   * Sends a datagram, which may be lost.
   *
   * @param to `host:port`, the host as an IP address
   * @param bytes its content
   */
  send(to: string, bytes: Uint8Array): void {
    this.#socket.send(to, bytes);
  }

  /** Calls the handlers periodically until none needs a further call. */
  startTicking(): void {
    this.#socket.startTicking();
  }

  /** @param update the gateways that control lists, or changes of these */
  usePeers(update: lovagepond.v1.StreamPeersUpdate.$Properties): void {
    this.addresses.apply(update, this.#clock.now());
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the address to report to control now; undefined until it is due
   */
  takeAddress(now: number): string | undefined {
    const {address} = this.#socket;
    if (address === '') return undefined;
    const isListed = this.addresses.listedAddress === address;
    const intervalMs = isListed ? ADDRESS_INTERVAL_MS : UNLISTED_INTERVAL_MS;
    if (now - this.#addressReportedAt < intervalMs) return undefined;
    this.#addressReportedAt = now;
    return address;
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    this.addresses.expire(now);
  }
}
