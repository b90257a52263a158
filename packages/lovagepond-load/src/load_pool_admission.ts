/**
 * Admission control of one pool at one gateway: which requests start now, which
 * wait, and which are refused because they can't be served in time.
 */
import {type Random} from '@lovagepond/core';
import {AdmissionCounts, type AdmissionState} from './load_admission_counts.js';
import {
  AdmissionQueue,
  boundWeights,
  clampPriority,
  type QueuedRequest,
} from './load_admission_queue.js';
import {Congestion} from './load_congestion.js';
import {type WeightOf} from './load_fair_queue.js';
import {FlowRates} from './load_flow_rates.js';
import {canBeInTarget, limitMsOf, makeQueued} from './load_queued_request.js';
import {RetryAdvice} from './load_retry_advice.js';
import {type OpenOptions, ServerWindows} from './load_server_windows.js';
import {
  ADMISSION_REFUSAL,
  type AdmissionDecision,
  type AdmissionRefusal,
  type AdmissionRefusalReason,
  type AdmissionRequest,
  type AdmissionSettings,
  boundEstimate,
  type LoadedServer,
  type RefusedRequest,
  type ShareWeights,
} from './load_types.js';

const MIN_RETRY_MS = 150;
/**
 * A flow's queue is limited to this part of the longest wait: a full queue would
 * leave no time for the variation of its rate.
 */
const QUEUED_WAIT_PART = 0.6;
/** The queue is checked this often within a waiting request's target. */
const CHECKS_PER_TARGET = 16;

const EQUAL_WEIGHTS: ShareWeights = Object.freeze({
  weightOf: () => 1,
  gatewayWeight: 1,
});

/** What was found when a request arrived. */
interface Arrival {
  /**
   * Its work as counted in the rates: with estimates of different servers, a
   * flow would seem to be offered more or less than it is.
   */
  readonly workMs: number;
  /** Time from its arrival within which a response is in time. */
  readonly limitMs: number;
}

/** Admission control of one pool. */
export class PoolAdmission<R extends AdmissionRequest> {
  #settings: AdmissionSettings;
  #weightOf: WeightOf = EQUAL_WEIGHTS.weightOf;
  readonly #queue: AdmissionQueue<R>;
  readonly #windows = new ServerWindows<R>();
  readonly #rates: FlowRates;
  readonly #advice: RetryAdvice;
  readonly #counts = new AdmissionCounts();
  readonly #arrivals = new WeakMap<R, Arrival>();
  readonly #congestion = new Congestion();
  /** Whether a request arrived that may start before those that wait. */
  #mayStart = false;
  /** Whether the last listed servers were none. */
  #noServer = false;
  #checkMs = 1;

  /**
   * @param settings limits from the pool's configuration
   * @param random adds jitter to retry times
   */
  constructor(settings: AdmissionSettings, random: Random) {
    this.#settings = settings;
    this.#queue = new AdmissionQueue(settings.lowerPriorityPart);
    this.#rates = new FlowRates(settings.lowerPriorityPart);
    this.#advice = new RetryAdvice(MIN_RETRY_MS, random);
  }

  /** @param settings new limits; waiting requests stay */
  useSettings(settings: AdmissionSettings): void {
    this.#settings = settings;
    this.#configure();
  }

  /** @param weights weights in force; undefined for equal ones */
  useWeights(weights: ShareWeights = EQUAL_WEIGHTS): void {
    this.#weightOf = boundWeights(workspace => weights.weightOf(workspace));
    this.#windows.useWeight(weights.gatewayWeight, weights.gateways);
    this.#configure();
  }

  /**
   * @param req a request that arrives, or one to be tried again
   * @param servers servers that accept it
   * @param now current time
   * @returns `start` to send it now to one of {@link openServers}
   */
  submit(
    req: R,
    servers: readonly LoadedServer<R>[],
    now: number,
  ): AdmissionDecision {
    const server = servers[0];
    if (!server) return this.#refuse(req, ADMISSION_REFUSAL.NO_SERVER, 0, now);
    this.#noServer = false;
    const workMs = boundEstimate(server.workMs(req, now));
    const {workspace, deadlineAt} = req;
    if (now >= deadlineAt) {
      return this.#refuse(req, ADMISSION_REFUSAL.DEADLINE, workMs, now);
    }
    const priority = clampPriority(req.priority);
    const limitMs = limitMsOf(req, servers, now);
    this.#arrivals.set(req, {workMs, limitMs});
    this.#rates.noteOffered(workspace, priority, workMs, now);
    this.#sweep(now);
    if (this.#queue.inTime === 0 && this.#isAnyOpen(req, servers, now)) {
      return {kind: 'start'};
    }
    return this.#enqueue(req, servers, now);
  }

  /**
   * @param req a request
   * @param servers servers that accept it
   * @param now current time
   * @returns those to which it may be sent now
   */
  openServers(
    req: R,
    servers: readonly LoadedServer<R>[],
    now: number,
  ): readonly LoadedServer<R>[] {
    const open = this.#windows.filterOpen(
      req,
      servers,
      this.#openOptions(req),
      now,
    );
    if (open.length > 0) return open;
    if (!canBeInTarget(req, servers, now)) {
      const options = this.#openOptions(req, {mayBeLate: true});
      return this.#windows.filterOpen(req, servers, options, now);
    }
    if (!this.#mayBorrow(req, now)) return open;
    const options = this.#openOptions(req, {mayBorrow: true});
    return this.#windows.filterOpen(req, servers, options, now);
  }

  /**
   * @param serversOf gives the servers that accept a request
   * @param now current time
   * @returns a request to be sent now to one of {@link openServers}, removed
   *     from the queue; undefined when no server is open
   */
  next(
    serversOf: (req: R) => readonly LoadedServer<R>[],
    now: number,
  ): R | undefined {
    this.#mayStart = false;
    this.#sweep(now);
    for (const queued of this.#queue.candidates()) {
      const {req} = queued;
      if (this.openServers(req, serversOf(req), now).length === 0) continue;
      this.#queue.take(queued);
      this.#counts.noteWait(now - queued.queuedAt);
      return req;
    }
    this.#noteCongestion(now);
    return undefined;
  }

  /**
   * @param req a request of which an attempt goes to a server; also a retry that
   *     did not pass through the queue
   * @param server the server
   * @param now current time
   */
  noteSent(req: R, server: LoadedServer<R>, now: number): void {
    const options = this.#openOptions(req);
    const workMs = this.#windows.noteSent(req, server, options, now);
    const priority = clampPriority(req.priority);
    const offeredMs = this.#arrivals.get(req)?.workMs ?? workMs;
    this.#rates.noteSent(req.workspace, priority, offeredMs, now);
  }

  /**
   * @param id an attempt with the first token of its stream, or with the
   *     complete answer of a call
   * @param now current time
   */
  noteResponse(id: string, now: number): void {
    this.#windows.noteResponse(id, now);
    this.#noteCongestion(now);
  }

  /**
   * @param id an attempt that its server refused as not run
   * @param hasFreeSlot whether the server reported a free slot
   * @param now current time
   */
  noteRefused(id: string, hasFreeSlot: boolean, now: number): void {
    this.#windows.noteRefused(id, hasFreeSlot, now);
    this.#noteCongestion(now);
  }

  /**
   * @param id an attempt that is over, whatever its outcome
   * @param now current time
   */
  noteEnded(id: string, now: number): void {
    this.#windows.noteEnded(id);
    this.#noteCongestion(now);
  }

  /**
   * @param id a request whose caller disconnected
   * @returns true when it was waiting
   */
  remove(id: string): boolean {
    return this.#queue.remove(id) !== undefined;
  }

  /**
   * @param now current time
   * @returns requests to refuse now, removed from the queue
   */
  expire(now: number): readonly RefusedRequest<R>[] {
    this.#sweep(now);
    const refused: RefusedRequest<R>[] = [];
    const drop = (queued: QueuedRequest<R>, why: AdmissionRefusalReason) => {
      const {req, cost} = queued;
      refused.push({req, refusal: this.#refuse(req, why, cost, now)});
    };
    for (const queued of this.#queue.removeOverdue(now)) {
      drop(queued, ADMISSION_REFUSAL.DEADLINE);
    }
    const reason = this.#noServer ? ADMISSION_REFUSAL.NO_SERVER : undefined;
    const waiting = reason ? this.#queue.values() : this.#queue.late();
    for (const queued of [...waiting]) {
      if (!reason && now < this.#congestion.lateUntil(queued.req)) continue;
      this.#queue.remove(queued.id);
      drop(queued, reason ?? queued.reason);
    }
    this.#noteCongestion(now);
    return refused;
  }

  /** @param servers names of the pool's listed servers */
  keepOnly(servers: ReadonlySet<string>): void {
    this.#windows.keepOnly(servers);
    this.#noServer = servers.size === 0;
  }

  /**
   * @param now current time
   * @returns when {@link next} and {@link expire} are needed without an event;
   *     undefined when nothing waits
   */
  nextCheckAt(now: number): number | undefined {
    if (this.#queue.size === 0) return undefined;
    if (this.#mayStart || this.#noServer) return now;
    const at = Math.min(
      now + this.#checkMs,
      this.#queue.nextDueAt(),
      this.#windows.nextPacedAt(now),
    );
    return Math.max(now, at);
  }

  /**
   * @param now current time
   * @returns true while requests wait or a window limits what is sent
   */
  isCongested(now: number): boolean {
    this.#noteCongestion(now);
    return this.#congestion.active;
  }

  /**
   * @param now current time
   * @returns the state for operators, as plain JSON
   */
  describe(now: number): AdmissionState {
    const {size, inTime, bytes} = this.#queue;
    return {
      congested: this.isCongested(now),
      ...{waiting: size, late: size - inTime, bytes},
      ...this.#counts.describe(this.#queue.values()),
      engagedServers: this.#windows.engagedCount(now),
      windows: this.#windows.describe(now),
    };
  }

  #configure(): void {
    const {lowerPriorityPart} = this.#settings;
    this.#queue.configure(this.#weightOf, lowerPriorityPart);
    this.#rates.configure(this.#weightOf, lowerPriorityPart);
  }

  #isAnyOpen(
    req: R,
    servers: readonly LoadedServer<R>[],
    now: number,
  ): boolean {
    const options = this.#openOptions(req);
    for (const server of servers) {
      if (this.#windows.isOpen(req, server, options, now)) return true;
    }
    return this.openServers(req, servers, now).length > 0;
  }

  #openOptions(req: R, options: Partial<OpenOptions> = {}): OpenOptions {
    const queuePart = this.#settings.serverQueuePart;
    const limitMs = this.#arrivals.get(req)?.limitMs ?? req.targetLatencyMs;
    const defaults = {mayBorrow: false, mayBeLate: false};
    return {queuePart, limitMs, ...defaults, ...options};
  }

  /**
   * A flow that stays under its share isn't the cause of the congestion. Where
   * many gateways have small windows, its requests would be late before the
   * next dispatch; they are sent ahead of it, and other flows wait longer.
   */
  #mayBorrow(req: R, now: number): boolean {
    const priority = clampPriority(req.priority);
    return this.#rates.isUnderShare(req.workspace, priority, now);
  }

  #enqueue(
    req: R,
    servers: readonly LoadedServer<R>[],
    now: number,
  ): AdmissionDecision {
    const {maxQueuedRequests, maxQueuedBytes, serverQueuePart} = this.#settings;
    const queued = makeQueued(req, servers, serverQueuePart, now);
    const {cost, priority, latestStartAt} = queued;
    const full =
      this.#queue.size >= maxQueuedRequests ||
      this.#queue.bytes + req.bytes > maxQueuedBytes;
    if (full) return this.#refuse(req, ADMISSION_REFUSAL.QUEUE_FULL, cost, now);
    if (queued.deadlineStartAt < now) {
      return this.#refuse(req, ADMISSION_REFUSAL.DEADLINE, cost, now);
    }
    this.#noteCongestion(now, true);
    this.#checkMs = Math.max(1, req.targetLatencyMs / CHECKS_PER_TARGET);
    const waitMs = latestStartAt - now;
    if (waitMs > 0 && this.#flowHasRoom(req, priority, cost, waitMs, now)) {
      this.#queue.push(queued);
      this.#mayStart = true;
      return {kind: 'wait'};
    }
    if (waitMs > 0 && this.#mayOvertake(req, servers, now)) {
      return {kind: 'start'};
    }
    const reason =
      waitMs <= 0 ? ADMISSION_REFUSAL.EXPIRED : ADMISSION_REFUSAL.FLOW_FULL;
    if (now >= this.#congestion.lateUntil(req)) {
      return this.#refuse(req, reason, cost, now);
    }
    this.#queue.pushLate({...queued, reason});
    return {kind: 'wait'};
  }

  /**
   * A request may start before those that wait when none of them can use its
   * open servers, for example because they would be late at slower servers.
   */
  #mayOvertake(
    req: R,
    servers: readonly LoadedServer<R>[],
    now: number,
  ): boolean {
    const open = this.openServers(req, servers, now);
    if (open.length === 0) return false;
    return this.#queue
      .candidates()
      .every(other => this.openServers(other.req, open, now).length === 0);
  }

  /** Whether the flow's waiting work and this request can start in time. */
  #flowHasRoom(
    req: R,
    priority: number,
    cost: number,
    waitMs: number,
    now: number,
  ): boolean {
    const waiting = this.#queue.costOf(req.workspace, priority);
    if (waiting <= 0) return true;
    const rate = this.#rates.rate(req.workspace, priority, now);
    return waiting + cost <= rate * waitMs * QUEUED_WAIT_PART;
  }

  /** Moves requests that can't be in target any more to the late queue. */
  #sweep(now: number): void {
    if (this.#queue.inTime === 0) return;
    for (const queued of this.#queue.removeExpired(now)) {
      this.#queue.pushLate(queued);
    }
  }

  #noteCongestion(now: number, waits = this.#queue.size > 0): void {
    const congested = waits || this.#windows.engagedCount(now) > 0;
    this.#congestion.note(congested, now);
  }

  #refuse(
    req: R,
    reason: AdmissionRefusalReason,
    cost: number,
    now: number,
  ): {readonly kind: 'refuse'} & AdmissionRefusal {
    const {workspace} = req;
    const priority = clampPriority(req.priority);
    const flowRate = this.#rates.rate(workspace, priority, now);
    const drainMs = flowRate > 0 ? cost / flowRate : 0;
    const retryAfterMs = this.#advice.retryAfterMs(workspace, drainMs, 0, now);
    this.#counts.noteRefused(reason, workspace);
    return {kind: 'refuse', reason, retryAfterMs, flowRate};
  }
}
