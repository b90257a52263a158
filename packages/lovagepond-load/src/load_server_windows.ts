/**
 * Dispatch windows of a pool's servers, and which servers are open for a
 * request.
 */
import {DispatchWindow} from './load_dispatch_window.js';
import {
  type AdmissionRequest,
  boundEstimate,
  type LoadedServer,
} from './load_types.js';

/** Least target delay at a server, milliseconds. */
const MIN_TARGET_DELAY_MS = 5;

/** How a request may be sent. */
export interface OpenOptions {
  /** Part of the request's slack that it may wait at the server. */
  readonly queuePart: number;
  /** Time from its arrival within which a response is in time. */
  readonly limitMs: number;
  /** Whether it may be sent ahead of a window. */
  readonly mayBorrow: boolean;
  /** Whether it may be sent where it will be late. */
  readonly mayBeLate: boolean;
}

/** The windows of one gateway in one pool, by server. */
export class ServerWindows<R extends AdmissionRequest> {
  readonly #windows = new Map<string, DispatchWindow>();
  /** Server of each attempt in flight. */
  readonly #serverOf = new Map<string, LoadedServer<R>>();
  #weight = 1;
  #gateways = 1;
  /** Whether a window may be engaged, to skip the check of all. */
  #mayBeEngaged = false;

  /**
   * @param weight this gateway's part relative to the mean gateway
   * @param gateways gateways that share the servers
   */
  useWeight(weight: number, gateways = 1): void {
    this.#weight = weight;
    this.#gateways = Math.max(1, gateways);
  }

  /**
   * @param now current time
   * @returns number of servers whose window limits what is sent
   */
  engagedCount(now: number): number {
    if (!this.#mayBeEngaged) return 0;
    let count = 0;
    for (const window of this.#windows.values()) {
      if (window.isEngaged(now)) count += 1;
    }
    this.#mayBeEngaged = count > 0;
    return count;
  }

  /**
   * @param req a request
   * @param server a server that accepts requests
   * @param options how the request may be sent
   * @param now current time
   * @returns true when the request may be sent there now
   */
  isOpen(
    req: R,
    server: LoadedServer<R>,
    options: OpenOptions,
    now: number,
  ): boolean {
    const window = this.#windows.get(server.name);
    const startMs = boundEstimate(server.predict(req, now).startMs);
    const waitedMs = now - req.arrivedAt;
    // The common case needs no further estimates.
    if (startMs > MIN_TARGET_DELAY_MS || waitedMs > MIN_TARGET_DELAY_MS) {
      const idleMs = boundEstimate(
        server.predictIdle(req, now).firstResponseMs,
      );
      const {targetMs, leftMs} = limitsOf(req, idleMs, waitedMs, options);
      const delayMs = Math.max(startMs, window?.delayMs ?? 0);
      const closed = startMs > targetMs || delayMs > leftMs;
      const retryMs = options.limitMs * this.#gateways;
      if (closed && !isPredictionOld(window, retryMs, now)) {
        return false;
      }
    }
    if (!window?.isEngaged(now)) return true;
    return window.hasRoom(
      boundEstimate(server.workMs(req, now)),
      options.mayBorrow,
      now,
    );
  }

  /**
   * @param req a request
   * @param servers servers that accept it
   * @param options how the request may be sent
   * @param now current time
   * @returns the servers to which the request may be sent now
   */
  filterOpen(
    req: R,
    servers: readonly LoadedServer<R>[],
    options: OpenOptions,
    now: number,
  ): LoadedServer<R>[] {
    return servers.filter(server => this.isOpen(req, server, options, now));
  }

  /**
   * @param req a request of which an attempt is sent
   * @param server the server to which it goes
   * @param options part of the request's slack that it may wait there
   * @param now current time
   * @returns the work of the request at this server, milliseconds
   */
  noteSent(
    req: R,
    server: LoadedServer<R>,
    options: Pick<OpenOptions, 'queuePart' | 'limitMs'>,
    now: number,
  ): number {
    this.noteEnded(req.id);
    const {name, slots} = server;
    const window = this.#windows.get(name) ?? new DispatchWindow();
    this.#windows.set(name, window);
    this.#serverOf.set(req.id, server);
    window.configure(slots, this.#weight);
    const workMs = boundEstimate(server.workMs(req, now));
    const idleMs = boundEstimate(server.predictIdle(req, now).firstResponseMs);
    const attempt = {
      ...{id: req.id, workMs, idleMs},
      targetDelayMs: targetDelayMs(idleMs, options),
    };
    window.noteSent(attempt, now);
    return workMs;
  }

  /**
   * @param id an attempt whose response has begun
   * @param now current time
   */
  noteResponse(id: string, now: number): void {
    const window = this.#windowOf(id);
    const hasQueue = this.#serverOf.get(id)?.reportedWaiting !== 0;
    window?.noteResponse(id, hasQueue, now);
    this.#mayBeEngaged ||= window?.isEngaged(now) ?? false;
  }

  /**
   * @param id an attempt that its server refused as not run
   * @param hasFreeSlot whether the server reported a free slot
   * @param now current time
   */
  noteRefused(id: string, hasFreeSlot: boolean, now: number): void {
    const window = this.#windowOf(id);
    window?.noteRefused(id, hasFreeSlot, now);
    this.#mayBeEngaged ||= window?.isEngaged(now) ?? false;
    this.#serverOf.delete(id);
  }

  /** @param id an attempt that is over */
  noteEnded(id: string): void {
    this.#windowOf(id)?.noteEnded(id);
    this.#serverOf.delete(id);
  }

  /** @param servers names of the listed servers; other windows are discarded */
  keepOnly(servers: ReadonlySet<string>): void {
    for (const name of this.#windows.keys()) {
      if (!servers.has(name)) this.#windows.delete(name);
    }
    for (const [id, {name}] of this.#serverOf) {
      if (!servers.has(name)) this.#serverOf.delete(id);
    }
  }

  /**
   * @param now current time
   * @returns when pacing next allows a request at some server; Infinity when
   *     only other events can
   */
  nextPacedAt(now: number): number {
    let at = Infinity;
    for (const {pacedUntil} of this.#windows.values()) {
      if (pacedUntil > now) at = Math.min(at, pacedUntil);
    }
    return at;
  }

  /**
   * @param now current time
   * @returns the windows' states by server, for operators
   */
  describe(
    now: number,
  ): Record<string, Readonly<Record<string, number | boolean>>> {
    const windows = [...this.#windows];
    return Object.fromEntries(
      windows.map(([name, window]) => [name, window.describe(now)]),
    );
  }

  #windowOf(id: string): DispatchWindow | undefined {
    const server = this.#serverOf.get(id);
    return server && this.#windows.get(server.name);
  }
}

function targetDelayMs(
  idleMs: number,
  {queuePart, limitMs}: Pick<OpenOptions, 'queuePart' | 'limitMs'>,
): number {
  return Math.max(MIN_TARGET_DELAY_MS, queuePart * (limitMs - idleMs));
}

/** @returns longest waits at a server by prediction, and in time */
function limitsOf(
  req: AdmissionRequest,
  idleMs: number,
  waitedMs: number,
  options: OpenOptions,
): {targetMs: number; leftMs: number} {
  const targetMs = targetDelayMs(idleMs, options);
  if (options.mayBeLate) return {targetMs, leftMs: Infinity};
  const leftMs = req.targetLatencyMs - waitedMs - idleMs;
  return {targetMs: options.mayBorrow ? leftMs : targetMs, leftMs};
}

/**
 * A prediction is renewed by responses. Without an attempt in flight, none will
 * come, and a server would stay closed for ever; so a request is sent there to
 * find out when none has been for the time in which a response is in time. All
 * gateways that share the server do so, so each one waits that many times longer.
 */
function isPredictionOld(
  window: DispatchWindow | undefined,
  retryMs: number,
  now: number,
): boolean {
  if (!window) return true;
  return window.inFlight === 0 && now - window.lastSentAt > retryMs;
}
