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

interface BrokenServer {
  readonly state: ServerState;
  readonly brokeAt: number;
  readonly requests: Set<string>;
  probes: number;
  probedAt: number;
  hasCrashed: boolean;
}

/** Follows servers that broke connections. */
export class GatewayCrashWatch {
  readonly #broken = new Map<string, BrokenServer>();
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
  noteBroken(state: ServerState, request: string, now: number): void {
    // A server that leaves ends soon, and breaks off what isn't done by then.
    if (state.server.state !== SERVER_STATE.READY) return;
    const {name} = state.server;
    const broken = this.#broken.get(name) ?? {
      state,
      brokeAt: now,
      requests: new Set<string>(),
      probes: 0,
      probedAt: Number.NEGATIVE_INFINITY,
      hasCrashed: false,
    };
    this.#broken.set(name, broken);
    if (broken.requests.size < MAX_REQUESTS) broken.requests.add(request);
    if (state.isGone) this.noteEnded(name, now);
    else if (broken.hasCrashed) this.#tell(name, broken, now);
  }

  /**
   * @param name a server whose address refuses connections, or where another life
   *     answers
   * @param now present time, monotonic milliseconds
   */
  noteEnded(name: string, now: number): void {
    const broken = this.#broken.get(name);
    if (!broken || broken.hasCrashed) return;
    broken.hasCrashed = true;
    this.#crashes += 1;
    this.#tell(name, broken, now);
  }

  /**
   * @param name a server that was tried
   * @param reachability what the try showed
   * @param now present time, monotonic milliseconds
   */
  noteProbe(name: string, reachability: Reachability, now: number): void {
    const broken = this.#broken.get(name);
    if (!broken || broken.hasCrashed) return;
    if (reachability === REACHABILITY.REFUSES) this.noteEnded(name, now);
    const isAlive =
      reachability === REACHABILITY.ACCEPTS && broken.probes >= MAX_PROBES;
    if (isAlive) this.#broken.delete(name);
  }

  /**
   * @param listed names of the servers that control lists
   * @param now present time, monotonic milliseconds
   */
  noteListed(listed: ReadonlySet<string>, now: number): void {
    for (const [name, {state}] of this.#broken) {
      if (listed.has(name)) continue;
      if (state.server.state === SERVER_STATE.READY) this.noteEnded(name, now);
      else this.#broken.delete(name);
    }
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns servers to try to connect to now
   */
  takeProbes(now: number): readonly ServerState[] {
    const due: ServerState[] = [];
    for (const [name, broken] of this.#broken) {
      if (now - broken.brokeAt > UNDECIDED_MS) this.#broken.delete(name);
      if (broken.hasCrashed || broken.probes >= MAX_PROBES) continue;
      if (now - broken.probedAt < PROBE_INTERVAL_MS) continue;
      broken.probes += 1;
      broken.probedAt = now;
      due.push(broken.state);
    }
    return due;
  }

  /**
   * @param request a fingerprint
   * @returns servers that broke it off and aren't known to have ended
   */
  undecided(request: string): number {
    let count = 0;
    for (const {requests, hasCrashed} of this.#broken.values()) {
      if (!hasCrashed && requests.has(request)) count += 1;
    }
    return count;
  }

  #tell(server: string, broken: BrokenServer, now: number): void {
    const requests = [...broken.requests];
    this.#onCrash({server, requests, crashedAt: broken.brokeAt}, now);
  }
}
