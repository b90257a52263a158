/**
 * Accepts callers' connections as far as the gateway's intake limit and its
 * settings allow.
 *
 * In a pause the listener is closed: the operating system then refuses those that
 * wait and those that come at once, at no cost to the gateway.
 */
import {type Server} from 'node:http';
import {
  type AddressInfo,
  type DropArgument,
  type Socket,
  Server as TcpServer,
} from 'node:net';
import {performance} from 'node:perf_hooks';
import {type Clock, type Logger} from '@lovagepond/core';
import {IntakeLimit} from './gateway_intake_limit.js';
import {IntakeProbe} from './gateway_intake_probe.js';

const TICK_MS = 10;

/** Time without new connections after which their wait isn't measured, ms. */
const QUIET_MS = 2_000;

/** Idle share of the event loop above which no connection waits for long. */
const MUCH_IDLE_SHARE = 0.2;

/** Time between two attempts to listen again, milliseconds. */
const LISTEN_RETRY_MS = 100;

/** Least time between two log lines on pauses, milliseconds. */
const LOG_INTERVAL_MS = 1_000;

export interface GatewayIntakeDependencies {
  readonly clock: Clock;
  readonly log: Logger;
}

/** State for the metrics and the state dump. */
export interface GatewayIntakeState {
  /** For how long connections waited to be accepted lately, milliseconds. */
  readonly waitMs: number;
  /** Times at which the listener was closed for a while, since the start. */
  readonly pauses: number;
  /** Connections closed unread as too many were open, since the start. */
  readonly closedUnread: number;
}

export class GatewayIntake {
  readonly #server: Server;
  readonly #deps: GatewayIntakeDependencies;
  readonly #limit = new IntakeLimit();
  readonly #probe: IntakeProbe;
  #timer: NodeJS.Timeout | undefined;
  #acceptedAt = Number.NEGATIVE_INFINITY;
  #idleMs = 0;
  #tickedAt = 0;
  /** Where to listen again; set while the listener is closed. */
  #pausedAddress: AddressInfo | undefined;
  #listenedAt = Number.NEGATIVE_INFINITY;
  #pauses = 0;
  #closedUnread = 0;
  #loggedAt = Number.NEGATIVE_INFINITY;
  #isStopped = false;

  /**
   * @param server the callers' listener
   * @param deps the clock, the log and the setting
   */
  constructor(server: Server, deps: GatewayIntakeDependencies) {
    this.#server = server;
    this.#deps = deps;
    this.#probe = new IntakeProbe(server);
    server.on('drop', caller => {
      this.#onDropped(caller);
    });
    server.on('connection', socket => {
      this.#onAccepted(socket as Socket);
    });
    server.on('listening', () => {
      this.#pausedAddress = undefined;
    });
    // After a failure to listen again, a later tick tries again.
    server.on('error', ({message: reason}) => {
      deps.log.error('listener failed', {reason});
    });
  }

  /** Stops measuring, and leaves the listener as it is. */
  stop(): void {
    this.#isStopped = true;
    this.#rest();
  }

  describe(): GatewayIntakeState {
    return {
      waitMs: Math.round(this.#probe.waitMs(this.#deps.clock.now())),
      pauses: this.#pauses,
      closedUnread: this.#closedUnread,
    };
  }

  #onDropped(caller: DropArgument | undefined): void {
    const now = this.#deps.clock.now();
    this.#probe.noteAccepted(caller?.remotePort, now);
    this.#closedUnread += 1;
    this.#watch(now);
  }

  #onAccepted(socket: Socket): void {
    const now = this.#deps.clock.now();
    this.#probe.noteAccepted(socket.remotePort, now);
    this.#watch(now);
  }

  #watch(now: number): void {
    this.#acceptedAt = now;
    if (this.#timer || this.#isStopped) return;
    this.#tickedAt = now;
    this.#idleMs = performance.eventLoopUtilization().idle;
    this.#timer = setInterval(() => {
      this.#tick(this.#deps.clock.now());
    }, TICK_MS);
  }

  #rest(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#probe.reset(this.#deps.clock.now());
  }

  #tick(now: number): void {
    if (this.#pausedAddress) {
      const isDue = now - this.#listenedAt >= LISTEN_RETRY_MS;
      if (!this.#limit.isPaused && isDue) this.#listen(now);
      return;
    }
    const {idle} = performance.eventLoopUtilization();
    const idleShare = (idle - this.#idleMs) / Math.max(1, now - this.#tickedAt);
    this.#idleMs = idle;
    this.#tickedAt = now;
    if (idleShare > MUCH_IDLE_SHARE) this.#probe.reset(now);
    else this.#probe.start(now);
    this.#limit.noteWait(this.#probe.waitMs(now));
    if (this.#limit.isPaused) this.#pause(now);
    else if (now - this.#acceptedAt > QUIET_MS) this.#rest();
  }

  #pause(now: number): void {
    const address = this.#server.address() as AddressInfo | null;
    if (!address) return;
    this.#pausedAddress = address;
    this.#pauses += 1;
    this.#log(now);
    this.#probe.reset(now);
    // Unlike the HTTP server's own method, this one keeps open connections.
    TcpServer.prototype.close.call(this.#server);
    this.#awaitShortTurns(now);
  }

  /** Timers would find the end of a pause some milliseconds late. */
  #awaitShortTurns(turnBeganAt: number): void {
    setImmediate(() => {
      const now = this.#deps.clock.now();
      this.#limit.noteTurn(now - turnBeganAt);
      if (this.#limit.isPaused) this.#awaitShortTurns(now);
      else this.#listen(now);
    });
  }

  #listen(now: number): void {
    if (!this.#pausedAddress || this.#isStopped) return;
    if (this.#server.listening) return;
    const {port, address} = this.#pausedAddress;
    this.#listenedAt = now;
    this.#server.listen(port, address);
  }

  #log(now: number): void {
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    const waitMs = Math.round(this.#probe.waitMs(now));
    const {log} = this.#deps;
    log.warn('intake paused', {waitMs, pauses: this.#pauses});
  }
}
