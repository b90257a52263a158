/**
 * Distinguishes crashed servers from connections lost for other reasons.
 *
 * The network or a proxy can also break a connection, and a response can get
 * lost. A server counts as crashed when its address refuses connections, when
 * another instance responds there, or when control removes it from the list
 * although it had not announced that it is leaving.
 */
import {
  type CrashSubject,
  type RequestSubjects,
  SERVER_STATE,
  type ServerCrash,
} from '@lovagepond/core';
import {type ServerState} from './gateway_server_state.js';

/** The result of a connection probe. */
export const REACHABILITY = {
  /** The address accepts connections. */
  ACCEPTS: 'accepts',
  REFUSES: 'refuses',
  /** No result in time: the host or the network may be down. */
  SILENT: 'silent',
} as const;

export type Reachability = (typeof REACHABILITY)[keyof typeof REACHABILITY];

/** Time limit for deciding whether a server crashed, milliseconds. */
const UNDECIDED_MS = 6_000;

/** Time between two connection probes, milliseconds. */
const PROBE_INTERVAL_MS = 100;

/** Probes of one server; one that accepts the last probe has not crashed. */
const MAX_PROBES = 5;

/** Requests stored for one server. */
const MAX_REQUESTS = 512;

interface TrackedServer {
  readonly state: ServerState;
  readonly lostAt: number;
  /** By their fingerprints. */
  readonly requests: Map<CrashSubject, RequestSubjects>;
  probes: number;
  probedAt: number;
  hasCrashed: boolean;
}

/** Tracks servers whose connection was lost while a request ran. */
export class GatewayCrashDetector {
  readonly #tracked = new Map<string, TrackedServer>();
  #crashes = 0;
  readonly #onCrash: (crash: ServerCrash, now: number) => void;

  /**
   * @param onCrash called with each crashed server and the requests of this
   *     gateway that it ran; called again when further requests fail
   */
  constructor(onCrash: (crash: ServerCrash, now: number) => void) {
    this.#onCrash = onCrash;
  }

  /** Servers that have crashed since the start. */
  get crashes(): number {
    return this.#crashes;
  }

  /**
   * @param state the server
   * @param request subjects of the request whose connection was lost
   * @param now current time, monotonic milliseconds
   */
  noteConnectionLost(
    state: ServerState,
    request: RequestSubjects,
    now: number,
  ): void {
    // A draining server exits soon and closes its remaining connections.
    if (state.server.state !== SERVER_STATE.READY) return;
    const {name} = state.server;
    const tracked = this.#tracked.get(name) ?? {
      state,
      lostAt: now,
      requests: new Map<CrashSubject, RequestSubjects>(),
      probes: 0,
      probedAt: Number.NEGATIVE_INFINITY,
      hasCrashed: false,
    };
    this.#tracked.set(name, tracked);
    const [fingerprint = ''] = request;
    if (tracked.requests.size < MAX_REQUESTS) {
      tracked.requests.set(fingerprint, request);
    }
    if (state.isReplaced) this.noteExited(name, now);
    else if (tracked.hasCrashed) this.#reportCrash(name, tracked, now);
  }

  /**
   * @param name a server whose address refuses connections or is in use by
   *     another instance
   * @param now current time, monotonic milliseconds
   */
  noteExited(name: string, now: number): void {
    const tracked = this.#tracked.get(name);
    if (!tracked || tracked.hasCrashed) return;
    tracked.hasCrashed = true;
    tracked.state.warmUpNews.noteExited(now);
    this.#crashes += 1;
    this.#reportCrash(name, tracked, now);
  }

  /**
   * @param name the server that was probed
   * @param reachability the probe's result
   * @param now current time, monotonic milliseconds
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
   * @param now current time, monotonic milliseconds
   */
  noteListed(listed: ReadonlySet<string>, now: number): void {
    for (const [name, {state}] of this.#tracked) {
      if (listed.has(name)) continue;
      if (state.server.state === SERVER_STATE.READY) this.noteExited(name, now);
      else this.#tracked.delete(name);
    }
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the servers to probe now
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
   * @param subject a subject
   * @returns the number of servers whose connection was lost while they ran
   *     requests with it, and that are not known to have crashed
   */
  undecided(subject: CrashSubject): number {
    let count = 0;
    for (const {requests, hasCrashed} of this.#tracked.values()) {
      if (hasCrashed) continue;
      const all = [...requests.values()];
      if (all.some(request => request.includes(subject))) count += 1;
    }
    return count;
  }

  #reportCrash(server: string, tracked: TrackedServer, now: number): void {
    const requests = [...tracked.requests.values()];
    this.#onCrash({server, requests, crashedAt: tracked.lostAt}, now);
  }
}
