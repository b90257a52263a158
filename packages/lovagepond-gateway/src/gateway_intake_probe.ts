/**
 * Measures for how long connections wait until the gateway accepts them, with
 * connections of its own to its own listener.
 *
 * The operating system keeps the waiting connections and doesn't tell a process
 * how old they are.
 */
import {connect, type Server, type Socket} from 'node:net';
import {type AddressInfo} from 'node:net';

/** Time between the end of one probe and the next one, milliseconds. */
const PAUSE_MS = 20;

interface Probe {
  readonly socket: Socket;
  readonly startedAt: number;
  /** When connections were accepted meanwhile, by the callers' ports. */
  readonly acceptedAt: Map<number, number>;
}

export class IntakeProbe {
  readonly #server: Server;
  #probe: Probe | undefined;
  #endedAt = Number.NEGATIVE_INFINITY;
  #lastWaitMs = 0;

  /** @param server the listener */
  constructor(server: Server) {
    this.#server = server;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the wait of the last probe, or of the present one if that is longer;
   *     milliseconds
   */
  waitMs(now: number): number {
    const pendingMs = this.#probe ? now - this.#probe.startedAt : 0;
    return Math.max(this.#lastWaitMs, pendingMs);
  }

  /**
   * Ends the probe that is under way, as no connection waits.
   *
   * @param now current time, monotonic milliseconds
   */
  reset(now: number): void {
    this.#end(0, now);
  }

  /**
   * Starts a probe unless one is under way.
   *
   * @param now current time, monotonic milliseconds
   */
  start(now: number): void {
    const address = this.#server.address() as AddressInfo | null;
    if (this.#probe || !address || now - this.#endedAt < PAUSE_MS) return;
    const {address: host, port} = address;
    const socket = connect({host, port});
    const probe = {socket, startedAt: now, acceptedAt: new Map()};
    this.#probe = probe;
    socket.on('error', () => {});
    // The listener may have accepted the connection before this event.
    socket.on('connect', () => {
      if (this.#probe === probe) this.#endIfAccepted(probe);
    });
  }

  /**
   * Must be called for each connection that leaves the operating system's queue.
   *
   * @param port the caller's port
   * @param now current time, monotonic milliseconds
   */
  noteAccepted(port: number | undefined, now: number): void {
    if (!this.#probe || port === undefined) return;
    this.#probe.acceptedAt.set(port, now);
    this.#endIfAccepted(this.#probe);
  }

  #endIfAccepted({socket, startedAt, acceptedAt}: Probe): void {
    const at = acceptedAt.get(socket.localPort ?? 0);
    if (at !== undefined) this.#end(at - startedAt, at);
  }

  #end(waitMs: number, now: number): void {
    this.#lastWaitMs = waitMs;
    if (!this.#probe) return;
    this.#probe.socket.destroy();
    this.#probe = undefined;
    this.#endedAt = now;
  }
}
