/**
 * Admission control of one pool at this gateway: passes events to the decider,
 * and its decisions to the requests.
 */
import {type Logger, type Random} from '@lovagepond/core';
import {
  type AdmissionDecision,
  type AdmissionRefusal,
  type AdmissionSettings,
  type AdmissionState,
  bestServerOf,
  type LoadedServer,
  PoolAdmission,
  type ShareWeights,
} from '@lovagepond/load';
import {loadedServerOf} from './gateway_loaded_server.js';
import {type OverloadCounters} from './gateway_overload_counters.js';
import {type OverloadRequest} from './gateway_overload_types.js';
import {type ServerLoad} from './gateway_headers.js';
import {type ServerState} from './gateway_server_state.js';
import {type GatewayShares} from './gateway_shares.js';

/**
 * Time without congestion after which a pool counts as no longer congested,
 * milliseconds. Without it, a pool at its capacity would log two lines for each
 * request that waits.
 */
const CALM_AFTER_MS = 1_000;

/**
 * Interval at which the shares of a congested pool are computed, milliseconds.
 * Demand is measured in parts of this length, and sums of the other gateways
 * that have become too old are dropped with at most this delay.
 */
const SHARES_INTERVAL_MS = 100;

export interface PoolOverloadDependencies {
  readonly log: Logger;
  readonly random: Random;
  readonly counters: OverloadCounters;
  readonly shares: GatewayShares;
}

function toLoaded(
  states: readonly ServerState[],
): readonly LoadedServer<OverloadRequest>[] {
  return states.map(loadedServerOf);
}

export class PoolOverload {
  readonly #pool: string;
  readonly #deps: PoolOverloadDependencies;
  readonly #admission: PoolAdmission<OverloadRequest>;
  /** The queued requests by id, in order of arrival. */
  readonly #waiting = new Map<string, OverloadRequest>();
  #isPumping = false;
  /** The pool has no admission control any more. */
  #isReleased = false;
  /** When the pool was last seen congested; undefined after it was calm. */
  #congestedAt: number | undefined;
  #sharesAt = -Infinity;
  /**
   * Work that each request was offered with. It is counted as sent with the same
   * work: with that at the server chosen, a workspace would seem to get more or
   * less than it asked for.
   */
  readonly #offeredMs = new WeakMap<OverloadRequest, number>();

  /**
   * @param pool the pool's name
   * @param settings its limits
   * @param deps dependencies shared by all pools
   */
  constructor(
    pool: string,
    settings: AdmissionSettings,
    deps: PoolOverloadDependencies,
  ) {
    this.#pool = pool;
    this.#deps = deps;
    this.#admission = new PoolAdmission(settings, deps.random);
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** True from the first sign of congestion until a second after the last. */
  get isCongested(): boolean {
    return this.#congestedAt !== undefined;
  }

  /**
   * Applies to queued requests, too.
   *
   * @param settings the limits of the installed configuration
   * @param weights the newest weights
   */
  configure(
    settings: AdmissionSettings,
    weights: ShareWeights | undefined,
  ): void {
    this.#admission.useSettings(settings);
    this.useWeights(weights);
  }

  /**
   * Applies to queued requests, too.
   *
   * @param weights weights of the workspaces and of this gateway
   */
  useWeights(weights: ShareWeights | undefined): void {
    this.#admission.useWeights(weights);
  }

  /**
   * @param req a request that has arrived
   * @param now current time, monotonic milliseconds
   * @returns whether it is sent, waits or is refused
   */
  submit(req: OverloadRequest, now: number): AdmissionDecision {
    const servers = toLoaded(req.servers(now));
    this.#noteOffered(req, servers, now);
    const decision = this.#admission.submit(req, servers, now);
    if (decision.kind === 'wait') this.#waiting.set(req.id, req);
    if (decision.kind === 'refuse') this.#noteRefused(req, decision, now);
    return decision;
  }

  /**
   * @param req a request
   * @param states servers that it may be sent to
   * @param now current time, monotonic milliseconds
   * @returns those of them that have room for it; all if none has
   */
  open(
    req: OverloadRequest,
    states: readonly ServerState[],
    now: number,
  ): readonly ServerState[] {
    if (this.#isReleased) return states;
    const servers = this.#admission.openServers(req, toLoaded(states), now);
    const names = new Set(servers.map(({name}) => name));
    const open = states.filter(({server}) => names.has(server.name));
    return open.length > 0 ? open : states;
  }

  /**
   * @param req a request that is sent
   * @param state the server
   * @param now current time, monotonic milliseconds
   */
  noteSent(req: OverloadRequest, state: ServerState, now: number): void {
    const server = loadedServerOf(state);
    this.#admission.noteSent(req, server, now);
    if (this.#isReleased) return;
    const workMs = this.#offeredMs.get(req) ?? server.workMs(req, now);
    this.#deps.shares.noteSent(this.#pool, req.workspace, workMs, now);
  }

  #noteOffered(
    req: OverloadRequest,
    servers: readonly LoadedServer<OverloadRequest>[],
    now: number,
  ): void {
    // Also without congestion: its first shares need the demand before it. Any
    // server's estimate will do then, as comparing many takes too long.
    const server = this.isCongested
      ? bestServerOf(req, servers, now)
      : servers[0];
    const workMs = server?.workMs(req, now);
    if (workMs === undefined || this.#isReleased) return;
    this.#offeredMs.set(req, workMs);
    this.#deps.shares.noteOffered(this.#pool, req.workspace, workMs, now);
  }

  /**
   * @param id of a request whose first token or complete answer has arrived
   * @param now current time, monotonic milliseconds
   */
  noteResponse(id: string, now: number): void {
    this.#admission.noteResponse(id, now);
  }

  /**
   * @param id of a request that a server refused to run
   * @param load the load that the refusal reports
   * @param now current time, monotonic milliseconds
   */
  noteRefused(id: string, load: ServerLoad | undefined, now: number): void {
    this.#admission.noteRefused(id, !isFull(load), now);
  }

  /**
   * @param id of a request whose attempt has ended
   * @param now current time, monotonic milliseconds
   */
  noteEnded(id: string, now: number): void {
    this.#admission.noteEnded(id, now);
  }

  /** @param id of a request that may be queued, and no longer is */
  remove(id: string): void {
    this.#admission.remove(id);
    this.#waiting.delete(id);
  }

  /** @param listed names of the servers that control lists */
  keepOnly(listed: ReadonlySet<string>): void {
    this.#admission.keepOnly(listed);
  }

  /**
   * Refuses requests that can't be served in time, and starts those for which a
   * server is open. Called after each event that may allow this.
   *
   * @param now current time, monotonic milliseconds
   */
  pump(now: number): void {
    // Starting a request may report further events, which the loop covers.
    if (this.#isPumping || this.#isReleased) return;
    this.#isPumping = true;
    try {
      for (const {req, refusal} of this.#admission.expire(now)) {
        this.#waiting.delete(req.id);
        this.#noteRefused(req, refusal, now);
        req.refuse(refusal);
      }
      this.#startOpen(now);
    } finally {
      this.#isPumping = false;
    }
    this.#reportCongestion(now);
    this.#updateShares(now);
  }

  /** Called at each check, so that shares don't depend on reports alone. */
  #updateShares(now: number): void {
    const {shares} = this.#deps;
    shares.setCongested(this.#pool, this.#admission.isCongested(now), now);
    if (now - this.#sharesAt < SHARES_INTERVAL_MS) return;
    this.#sharesAt = now;
    shares.refresh(this.#pool, now);
  }

  #startOpen(now: number): void {
    const serversOf = (
      req: OverloadRequest,
    ): readonly LoadedServer<OverloadRequest>[] => toLoaded(req.servers(now));
    for (;;) {
      const req = this.#admission.next(serversOf, now);
      if (!req) return;
      this.#waiting.delete(req.id);
      this.#deps.counters.noteWait(now - req.submittedAt);
      req.start(now);
    }
  }

  /**
   * Refuses queued requests for which no server of the pool is left.
   *
   * @param now current time, monotonic milliseconds
   */
  refuseWithoutServer(now: number): void {
    for (const req of this.#takeAll(one => !one.hasServer(now))) {
      req.refuseWithoutServer();
    }
  }

  /** @param req a queued request that is answered, as the gateway drains */
  refuse(req: OverloadRequest): void {
    this.remove(req.id);
    req.refuseWhileDraining();
  }

  /** Answers all queued requests, as the gateway drains or stops. */
  refuseAll(): void {
    for (const req of this.#takeAll(() => true)) req.refuseWhileDraining();
  }

  /**
   * Starts all queued requests, as the pool has no admission control any more.
   *
   * @param now current time, monotonic milliseconds
   */
  releaseAll(now: number): void {
    this.#isReleased = true;
    if (this.isCongested) this.#noteCalm();
    for (const req of this.#takeAll(() => true)) req.start(now);
  }

  #takeAll(isTaken: (req: OverloadRequest) => boolean): OverloadRequest[] {
    const taken = [...this.#waiting.values()].filter(isTaken);
    for (const {id} of taken) this.remove(id);
    return taken;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns when to call {@link pump} without an event, monotonic milliseconds
   */
  nextCheckAt(now: number): number | undefined {
    return this.#admission.nextCheckAt(now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the pool's queue, windows and counts, for the state dump
   */
  describe(now: number): AdmissionState {
    return this.#admission.describe(now);
  }

  #noteRefused(
    req: OverloadRequest,
    {reason, retryAfterMs, flowRate}: AdmissionRefusal,
    now: number,
  ): void {
    const {counters, log} = this.#deps;
    counters.noteRefused(reason);
    log.info('request refused by admission', {
      request: req.requestId,
      workspace: req.workspace,
      kind: req.kind,
      pool: this.#pool,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      waitMs: Math.round(now - req.submittedAt),
      flowRate: Math.round(flowRate * 1_000) / 1_000,
      waiting: this.#waiting.size,
    });
  }

  #reportCongestion(now: number): void {
    if (this.#admission.isCongested(now)) {
      const fields = {pool: this.#pool, waiting: this.#waiting.size};
      if (!this.isCongested) this.#deps.log.warn('pool is congested', fields);
      this.#congestedAt = now;
    } else if (now - (this.#congestedAt ?? now) >= CALM_AFTER_MS) {
      this.#noteCalm();
    }
  }

  #noteCalm(): void {
    this.#congestedAt = undefined;
    this.#deps.log.info('pool is no longer congested', {pool: this.#pool});
  }
}

/**
 * @param load the load that a response reports, if it does
 * @returns true if the server had no free slot
 */
export function isFull(load: ServerLoad | undefined): boolean {
  return load !== undefined && load.running >= load.slots;
}
