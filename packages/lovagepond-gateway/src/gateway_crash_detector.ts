/**
 * Tells servers that crashed from connections that broke for another reason.
 *
 * A connection may also break by the network, by a proxy or with an answer that got
 * lost. The server has ended when its address refuses connections, another life
 * answers there, or control lists it no more though it hadn't said that it leaves.
 */
import {SERVER_STATE, type ServerCrash} from '@lovagepond/core';
import {type ServerState} from './gateway_server_state.js';

/** What a try to connect shows. */
export const REACHABILITY = {
  /** Something listens at the address. */
  ACCEPTS: 'accepts',
  REFUSES: 'refuses',
  /** No answer in time: the host or the network may be gone. */
  SILENT: 'silent',
} as const;

/** One of the values of {@link REACHABILITY}. */
export type Reachability = (typeof REACHABILITY)[keyof typeof REACHABILITY];

/** Time within which a server that broke connections shows whether it ended, ms. */
const UNDECIDED_MS = 6_000;

/** Time between two tries to connect, milliseconds. */
const PROBE_INTERVAL_MS = 100;

/** A server that accepts so many of them in a row is alive. */
const MAX_PROBES = 5;

/** Requests that are kept for one server. */
const MAX_REQUESTS = 512;

interface TrackedServer {
  readonly state: ServerState;
  readonly lostAt: number;
  readonly requests: Set<string>;
  probes: number;
  probedAt: number;
  hasCrashed: boolean;
}

/** Follows servers that broke connections. */
export class GatewayCrashDetector {
  readonly #tracked = new Map<string, TrackedServer>();
  #crashes = 0;
  readonly #onCrash: (crash: ServerCrash, now: number) => void;

  /**
   * @param onCrash called with each server that has ended and the requests that it
   *     ran here; again when there are more of them
   */
  constructor(onCrash: (crash: ServerCrash, now: number) => void) {
    this.#onCrash = onCrash;
  }

  /** Servers that have ended since the start. */
  get crashes(): number {
    return this.#crashes;
  }

  /**
   * @param state the server
   * @param request fingerprint of the request whose answer broke off
   * @param now present time, monotonic milliseconds
   */
  noteConnectionLost(state: ServerState, request: string, now: number): void {
    // A server that leaves ends soon, and breaks off what isn't done by then.
    if (state.server.state !== SERVER_STATE.READY) return;
    const {name} = state.server;
    const tracked = this.#tracked.get(name) ?? {
      state,
      lostAt: now,
      requests: new Set<string>(),
      probes: 0,
      probedAt: Number.NEGATIVE_INFINITY,
      hasCrashed: false,
    };
    this.#tracked.set(name, tracked);
    if (tracked.requests.size < MAX_REQUESTS) tracked.requests.add(request);
    if (state.isReplaced) this.noteExited(name, now);
    else if (tracked.hasCrashed) this.#reportCrash(name, tracked, now);
  }

  /**
   * @param name a server whose address refuses connections, or where another life
   *     answers
   * @param now present time, monotonic milliseconds
   */
  noteExited(name: string, now: number): void {
    const tracked = this.#tracked.get(name);
    if (!tracked || tracked.hasCrashed) return;
    tracked.hasCrashed = true;
    this.#crashes += 1;
    this.#reportCrash(name, tracked, now);
  }

  /**
   * @param name a server that was tried
   * @param reachability what the try showed
   * @param now present time, monotonic milliseconds
   */
  noteProbe(name: string, reachability: Reachability, now: number): void {
    const tracked = this.#tracked.get(name);
    if (!tracked || tracked.hasCrashed) return;
    if (reachability === REACHABILITY.REFUSES) this.noteExited(name, now);
    const isAlive =
      reachability === REACHABILITY.ACCEPTS && tracked.probes >= MAX_PROBES;
    if (isAlive) this.#tracked.delete(name);
  }

  /**
   * @param listed names of the servers that control lists
   * @param now present time, monotonic milliseconds
   */
  noteListed(listed: ReadonlySet<string>, now: number): void {
    for (const [name, {state}] of this.#tracked) {
      if (listed.has(name)) continue;
      if (state.server.state === SERVER_STATE.READY) this.noteExited(name, now);
      else this.#tracked.delete(name);
    }
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns servers to try to connect to now
   */
  takeDueProbes(now: number): readonly ServerState[] {
    const due: ServerState[] = [];
    for (const [name, tracked] of this.#tracked) {
      if (now - tracked.lostAt > UNDECIDED_MS) this.#tracked.delete(name);
      if (tracked.hasCrashed || tracked.probes >= MAX_PROBES) continue;
      if (now - tracked.probedAt < PROBE_INTERVAL_MS) continue;
      tracked.probes += 1;
      tracked.probedAt = now;
      due.push(tracked.state);
    }
    return due;
  }

  /**
   * @param request a fingerprint
   * @returns servers that broke it off and aren't known to have ended
   */
  undecided(request: string): number {
    let count = 0;
    for (const {requests, hasCrashed} of this.#tracked.values()) {
      if (!hasCrashed && requests.has(request)) count += 1;
    }
    return count;
  }

  #reportCrash(server: string, tracked: TrackedServer, now: number): void {
    const requests = [...tracked.requests];
    this.#onCrash({server, requests, crashedAt: tracked.lostAt}, now);
  }
}
