/**
 * UDP socket through which gateways exchange records of streams.
 *
 * Datagrams need no connections, of which each gateway would have one to every
 * other. A lost one costs a copy of a record or delays a lookup.
 */
import {createSocket, type Socket} from 'node:dgram';
import {isIP, isIPv6} from 'node:net';
import {type Clock, type Logger} from '@lovagepond/core';

/** Interval of {@link PeerSocketListener.onTick}, milliseconds. */
const TICK_MS = 10;

export interface PeerSocketSettings {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

/** Receives the socket's events. */
export interface PeerSocketListener {
  onDatagram(bytes: Uint8Array, from: string, now: number): void;
  /** @returns false when no further call is needed */
  onTick(now: number): boolean;
}

export class PeerSocket {
  readonly #settings: PeerSocketSettings;
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #listener: PeerSocketListener;
  #socket: Socket | undefined;
  #timer: NodeJS.Timeout | undefined;
  #address = '';

  constructor(
    settings: PeerSocketSettings,
    {clock, log}: {readonly clock: Clock; readonly log: Logger},
    listener: PeerSocketListener,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#log = log;
    this.#listener = listener;
  }

  /** `host:port` in use; empty before the start. */
  get address(): string {
    return this.#address;
  }

  /**
   * Binds the address. If that fails, requests are served all the same, but the
   * streams of this gateway can only be resumed here.
   */
  async start(): Promise<void> {
    const {host, port} = this.#settings;
    const socket = createSocket(isIPv6(host) ? 'udp6' : 'udp4');
    await new Promise<void>(resolve => {
      socket.on('error', ({message: reason}) => {
        this.#log.error('socket for stream records failed', {reason});
        resolve();
      });
      socket.bind(port, host, () => {
        this.#socket = socket;
        this.#address = `${host}:${socket.address().port}`;
        resolve();
      });
    });
    socket.on('message', (bytes, {address, port: from}) => {
      const now = this.#clock.now();
      this.#listener.onDatagram(bytes, `${address}:${from}`, now);
    });
  }

  /**
   * Sends a datagram, which may be lost.
   *
   * @param to `host:port`, the host as an IP address
   * @param bytes its content
   */
  send(to: string, bytes: Uint8Array): void {
    const separator = to.lastIndexOf(':');
    const host = to.slice(0, separator);
    const port = Number(to.slice(separator + 1));
    const isValid = isIP(host) !== 0 && port > 0 && port < 65_536;
    if (!this.#socket || !isValid) return;
    this.#socket.send(bytes, port, host, err => {
      if (!err) return;
      const {message: reason} = err;
      this.#log.debug('stream record could not be sent', {to, reason});
    });
  }

  /** Calls the listener periodically until it needs no further call. */
  startTicking(): void {
    this.#timer ??= setInterval(() => {
      if (!this.#listener.onTick(this.#clock.now())) this.#stopTicking();
    }, TICK_MS);
  }

  stop(): void {
    this.#stopTicking();
    this.#socket?.close();
    this.#socket = undefined;
  }

  #stopTicking(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
