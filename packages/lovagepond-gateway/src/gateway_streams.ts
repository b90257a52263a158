/**
 * The streams of all gateways, as far as one gateway has to know them.
 */
import {type Clock, type Logger} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {
  StreamDirectory,
  type StreamDirectoryCounts,
} from './gateway_stream_directory.js';
import {type StreamOrigin} from './gateway_stream_origin.js';
import {StreamPeers} from './gateway_stream_peers.js';
import {
  StreamSocket,
  type StreamSocketSettings,
} from './gateway_stream_socket.js';

/**
 * Interval at which the gateway reports its address, milliseconds. Control drops
 * a gateway after several missing reports.
 */
const ADDRESS_INTERVAL_MS = 2_000;

/** The same until control lists the address, as reports may be lost. */
const UNLISTED_INTERVAL_MS = 100;

/** A request's stream: its workspace, and the request with the first event. */
export interface StreamName {
  /** Absent on public routes. */
  readonly workspace: string | undefined;
  readonly firstRequestId: string;
}

export interface GatewayStreamsSettings extends StreamSocketSettings {
  /** This gateway's name. */
  readonly name: string;
}

export interface GatewayStreamsDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly hasher: KeyHasher;
}

/** State for metrics and the state dump. */
export interface GatewayStreamsState {
  readonly records: number;
  readonly peers: number;
  readonly lookups: StreamDirectoryCounts;
}

export class GatewayStreams {
  readonly #clock: Clock;
  readonly #peers: StreamPeers;
  readonly #directory: StreamDirectory;
  readonly #socket: StreamSocket;
  #addressReportedAt = Number.NEGATIVE_INFINITY;

  constructor(
    settings: GatewayStreamsSettings,
    deps: GatewayStreamsDependencies,
  ) {
    const {clock, hasher} = deps;
    this.#clock = clock;
    this.#peers = new StreamPeers(settings.name, hasher);
    this.#directory = new StreamDirectory({
      hasher,
      peers: this.#peers,
      send: (address, bytes) => {
        this.#socket.send(address, bytes);
      },
    });
    this.#socket = new StreamSocket(settings, deps, {
      onDatagram: (bytes, from, now) => {
        this.#directory.receive(bytes, from, now);
      },
      onTick: now => {
        this.#directory.tick(now);
        return this.#directory.pending > 0;
      },
    });
  }

  /** Binds the socket; a failure is logged. */
  async start(): Promise<void> {
    await this.#socket.start();
  }

  stop(): void {
    this.#socket.stop();
  }

  /** @param update the gateways that control lists, or changes of these */
  usePeers(update: lovagepond.v1.StreamPeersUpdate.$Properties): void {
    this.#peers.apply(update, this.#clock.now());
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the address to report to control now; undefined until it is due
   */
  takeAddress(now: number): string | undefined {
    const {address} = this.#socket;
    if (address === '') return undefined;
    const isListed = this.#peers.listedAddress === address;
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
    this.#directory.expire(now);
  }

  /**
   * Records which servers can continue a stream, here and at other gateways.
   *
   * @param stream the stream
   * @param origin the servers that can continue it
   * @param timeoutMs longest duration of one request for it
   * @param now current time, monotonic milliseconds
   */
  record(
    {workspace, firstRequestId}: StreamName,
    origin: StreamOrigin,
    timeoutMs: number,
    now: number,
  ): void {
    if (firstRequestId === '') return;
    const key = this.#directory.keyOf(workspace ?? '', firstRequestId);
    this.#directory.record(key, origin, timeoutMs, now);
  }

  /**
   * @param stream the stream
   * @param now current time, monotonic milliseconds
   * @returns the servers that can continue the stream; undefined if no gateway
   *     that answers knows them
   */
  find(
    {workspace, firstRequestId}: StreamName,
    now: number,
  ): Promise<StreamOrigin | undefined> {
    if (firstRequestId === '') return Promise.resolve(undefined);
    const key = this.#directory.keyOf(workspace ?? '', firstRequestId);
    return new Promise(resolve => {
      this.#directory.find(key, now, resolve);
      if (this.#directory.pending > 0) this.#socket.startTicking();
    });
  }

  describe(): GatewayStreamsState {
    return {
      records: this.#directory.size,
      peers: this.#peers.size,
      lookups: this.#directory.counts,
    };
  }
}
