/**
 * Admission control of one backend server. Offers, revokes, ends of runs and
 * the current time go in; answers, dispatches and cancellations come out.
 */
import {type Random} from '@lovagepond/core';
import {type SidecarAdmission} from './sidecar_admission.js';
import {ATTEMPT_STATE, REVOKE_OUTCOME} from './sidecar_attempts.js';
import {type SidecarCacheIndex} from './sidecar_cache_index.js';
import {type HeldRequest, weightsOf} from './sidecar_held_queue.js';
import {
  dumpGate,
  type GateComponents,
  INITIAL_GATE_MODE,
  makeGateComponents,
  makeRefusalView,
  readGateLoad,
  retryAfterMs,
} from './sidecar_gate_components.js';
import {refuseLateClaim, refuseLateClaims} from './sidecar_gate_drain.js';
import {
  answerDuplicate,
  findRefusal,
  isFirstChoice,
  makeRefusal,
} from './sidecar_gate_refusals.js';
import {type HoldReview} from './sidecar_hold_review.js';
import {type SidecarPointers} from './sidecar_pointers.js';
import {type Run} from './sidecar_runs.js';
import {chooseHandOver} from './sidecar_take.js';
import {
  type GateAction,
  type GateLoad,
  type GatePolicy,
  type GateSettings,
  type HandOver,
  type Offer,
  type RevokeResult,
  type RunEnd,
} from './sidecar_types.js';

/** Weighs a context rebuild and a queue wait equally. */
const NEUTRAL_REUSE_WEIGHT = 0.5;

/** Decides about every request to one backend server. Performs no I/O. */
export class SidecarGate {
  readonly #components: GateComponents;
  #mode = INITIAL_GATE_MODE;

  /**
   * @param settings the sidecar's own settings
   * @param random spreads the retry times of refused callers
   */
  constructor(settings: GateSettings, random: Random) {
    this.#components = makeGateComponents(settings, random);
  }

  /** @returns the limit on the work at the engine */
  get admission(): SidecarAdmission {
    return this.#components.admission;
  }

  /** @returns which chats' contexts are cached here */
  get cache(): SidecarCacheIndex {
    return this.#components.cache;
  }

  /** @returns for chats whose first choice is this server: who served them */
  get pointers(): SidecarPointers {
    return this.#components.pointers;
  }

  /** @returns true when new work is accepted, unless the server is draining */
  get ready(): boolean {
    return this.#mode.notReady === undefined;
  }

  get draining(): boolean {
    return this.#components.drain.draining;
  }

  /** @returns true when no request is queued or running */
  get idle(): boolean {
    return this.openRequests === 0;
  }

  /** @returns the number of requests that are queued or running */
  get openRequests(): number {
    const {hold, runs} = this.#components;
    return hold.queue.size + runs.size;
  }

  /**
   * @param policy settings from the configuration
   * @param revision the configuration's revision
   */
  configure(policy: GatePolicy, revision: number): void {
    this.#mode = {...this.#mode, policy, revision};
    this.#components.admission.configure(policy.loadBound);
    this.#components.hold.queue.configure(weightsOf(policy));
  }

  /**
   * @param reason why new work is refused; undefined when it is accepted
   * @param readyAt when work is accepted again, if known
   */
  setNotReady(reason: string | undefined, readyAt?: number): void {
    this.#mode = {...this.#mode, notReady: reason, readyAt};
  }

  /**
   * @param offer an attempt from a router
   * @param now current time
   * @returns the answer, and dispatches that are possible now
   */
  offer(offer: Offer, now: number): GateAction[] {
    const {attemptId} = offer;
    const duplicate = answerDuplicate(
      attemptId,
      this.#components.attempts.stateOf(attemptId),
    );
    if (duplicate) return [duplicate];
    this.#components.admission.setRouterEstimate(offer.poolMeanTokens, now);
    const refusal = findRefusal(
      offer,
      makeRefusalView(this.#components, this.#mode, now),
      now,
    );
    if (refusal) {
      this.#components.attempts.refuse(attemptId, now);
      return [refusal];
    }
    const expectedWaitMs = this.#components.hold.expectedWaitMs(offer, now);
    this.#components.attempts.hold(attemptId);
    this.#components.hold.add(offer, this.#mode.policy.maxHoldMs, now);
    return [
      {kind: 'accept', attemptId, expectedWaitMs},
      ...this.#dispatchReady(now),
    ];
  }

  /**
   * @param attemptId the attempt to revoke
   * @param now current time
   * @returns the outcome for the router and the actions to perform
   */
  revoke(attemptId: string, now: number): RevokeResult {
    const former = this.#components.attempts.stateOf(attemptId);
    const outcome = this.#components.attempts.revoke(attemptId, now);
    const wasPending =
      former === ATTEMPT_STATE.HELD || former === ATTEMPT_STATE.CLAIMING;
    if (outcome !== REVOKE_OUTCOME.REVOKED || !wasPending) {
      return {outcome, actions: []};
    }
    const actions: GateAction[] = [];
    this.#components.hold.queue.remove(attemptId);
    if (former === ATTEMPT_STATE.CLAIMING) {
      this.#components.runs.end(attemptId, now);
      actions.push({kind: 'releaseClaim', attemptId});
    }
    actions.push(makeRefusal(attemptId, 'revoked'));
    return {outcome, actions: [...actions, ...this.#dispatchReady(now)]};
  }

  /**
   * Handles a caller that disconnected. A queued request is dropped and a
   * running one is cancelled. A non-repeatable call keeps running, as its
   * outcome is worth more than the cost of the run.
   *
   * @param attemptId the caller's attempt
   * @param now current time
   * @returns the actions to perform
   */
  callerGone(attemptId: string, now: number): readonly GateAction[] {
    if (
      this.#components.attempts.stateOf(attemptId) !== ATTEMPT_STATE.DISPATCHED
    ) {
      return this.revoke(attemptId, now).actions;
    }
    const run = this.#components.runs.find(attemptId);
    if (!run || run.offer.nonRepeatable) return [];
    return [{kind: 'cancel', attemptId}];
  }

  /**
   * @param attemptId an attempt whose claim was requested
   * @param now current time
   * @returns the dispatch, or the refusal of an attempt that can't end before
   *     the drain limit; nothing if the attempt was revoked meanwhile
   */
  claimGranted(attemptId: string, now: number): GateAction[] {
    const run = this.#components.runs.find(attemptId);
    if (!run) return [];
    const refusal = refuseLateClaim(this.#components, run, now);
    if (refusal.length > 0) return refusal;
    if (!this.#components.attempts.dispatch(attemptId)) return [];
    return [this.#makeDispatch(run.offer, run.heldAt, now)];
  }

  /**
   * Handles a claim that was not granted: this attempt is never run.
   *
   * @param attemptId an attempt whose claim was requested
   * @param now current time
   * @returns other requests that can be dispatched instead
   */
  claimDenied(attemptId: string, now: number): GateAction[] {
    if (!this.#components.attempts.refuse(attemptId, now)) return [];
    this.#components.runs.end(attemptId, now);
    return this.#dispatchReady(now);
  }

  /**
   * @param attemptId a dispatched attempt
   * @param end how its run ended
   * @param now current time
   * @returns a refusal if it was not run, and requests dispatched next
   */
  finish(attemptId: string, end: RunEnd, now: number): GateAction[] {
    const run = this.#components.runs.end(attemptId, now);
    if (!run) return [];
    this.#components.attempts.finish(attemptId, end.kind === 'notRun', now);
    const actions: GateAction[] = [];
    if (end.kind === 'notRun') {
      const {message, errorKind = 'unreachable'} = end;
      actions.push(makeRefusal(attemptId, errorKind, {message}));
    }
    if (end.kind === 'done') {
      if (!end.wasReadSlowly) this.#noteDuration(run, now);
      actions.push(...this.#noteDone(run, now));
    }
    return [...actions, ...this.#dispatchReady(now)];
  }

  /**
   * Performs everything that depends on time alone.
   *
   * @param now current time
   * @returns refusals of requests that can't be served in time; dispatches
   */
  tick(now: number): GateAction[] {
    this.#components.attempts.expire(now);
    this.#components.pointers.expire(now);
    const due = this.#components.hold.removeDue(now);
    return [
      ...this.#refuseDue(due, now),
      ...refuseLateClaims(this.#components, now),
      ...this.#dispatchReady(now),
    ];
  }

  /** @returns when {@link tick} is needed next; Infinity for an empty queue */
  nextTickAt(): number {
    return this.#components.hold.nextDueAt();
  }

  /**
   * Hands a held request over to another sidecar of the pool.
   *
   * @param taker backend server of that sidecar
   * @param roomTokens free capacity there, tokens
   * @param now current time
   * @returns at most one request, removed from the queue
   */
  handOver(taker: string, roomTokens: number, now: number): HandOver {
    const {hold, cache, attempts, pointers, settings} = this.#components;
    const {queue, estimate} = hold;
    const {prefillTokensPerSecond, reuseWeight = NEUTRAL_REUSE_WEIGHT} =
      this.#mode.policy;
    const view = {
      queue,
      estimate,
      cache,
      roomTokens: hold.freeTokens(now),
      prefillTokensPerSecond,
      reuseWeight,
    };
    const held = chooseHandOver(view, roomTokens);
    if (!held) return {attemptIds: [], tokens: 0, actions: []};
    const {attemptId, workspace, chat, tokens} = held.offer;
    queue.remove(attemptId);
    attempts.refuse(attemptId, now);
    if (chat !== '' && isFirstChoice(held.offer, settings)) {
      pointers.put(workspace, chat, taker, now);
    }
    const refusal = makeRefusal(attemptId, 'handedOver', {pointer: taker});
    const actions = [refusal, ...this.#dispatchReady(now)];
    return {attemptIds: [attemptId], tokens, actions};
  }

  /**
   * @param now current time
   * @returns free tokens to offer in a take; 0 while requests are queued here
   */
  roomForTake(now: number): number {
    const closed = !this.ready || this.#components.drain.draining;
    if (closed || this.#components.hold.queue.size > 0) return 0;
    return this.#components.hold.freeTokens(now);
  }

  /**
   * Reserves capacity for a request taken from another server.
   *
   * @param victim the server from which the request was taken
   * @param tokens tokens to reserve; 0 releases the reservation
   * @param until when the reservation expires
   */
  reserve(victim: string, tokens: number, until: number): void {
    this.#components.hold.reserve(victim, tokens, until);
  }

  /**
   * @param now current time
   * @param limitMs longest time for requests in flight, milliseconds
   * @returns refusals of requests that can't be served within the limit
   */
  startDraining(now: number, limitMs: number): GateAction[] {
    this.#components.drain.start(now, limitMs);
    return [
      ...this.#refuseDue(this.#components.hold.review(now), now),
      ...refuseLateClaims(this.#components, now),
    ];
  }

  /** Cancels draining and accepts work again. */
  resume(): void {
    this.#components.drain.resume();
  }

  /**
   * @param now current time
   * @returns refusals of all held requests, so that their routers can try
   *     another server
   */
  backendDown(now: number): GateAction[] {
    return this.#components.hold.removeAll().map(({offer}) => {
      this.#components.attempts.refuse(offer.attemptId, now);
      return makeRefusal(offer.attemptId, 'notReady');
    });
  }

  /**
   * Resets the cache index and the engine's reported load after a restart of
   * the backend server: its cache is empty and its runs have ended.
   *
   * @param now current time
   */
  backendRestarted(now: number): void {
    this.#components.cache.reset();
    this.#components.admission.reset(now);
  }

  /**
   * @param now current time
   * @returns the load to announce
   */
  load(now: number): GateLoad {
    return readGateLoad(this.#components, now);
  }

  /**
   * @param now current time
   * @returns the gate's state for an operator
   */
  dump(now: number): Readonly<Record<string, unknown>> {
    return dumpGate(this.#components, this.#mode, now);
  }

  #dispatchReady(now: number): GateAction[] {
    const actions: GateAction[] = [];
    let held = this.#components.hold.next(now);
    while (held) {
      actions.push(...this.#dispatchOrClaim(held, now));
      held = this.#components.hold.next(now);
    }
    this.#components.hold.estimate.noteQueue(
      this.#components.hold.queue.size > 0,
      now,
    );
    return actions;
  }

  #dispatchOrClaim(held: HeldRequest, now: number): GateAction[] {
    if (held.giveUpAt < now) return [this.#giveUp(held, now)];
    const {offer, heldAt} = held;
    if (!this.#components.hold.mayServe(offer, 0, now)) {
      return this.#refuseDue({leaving: [held], late: []}, now);
    }
    const {attemptId} = offer;
    const allowed = offer.nonRepeatable
      ? this.#components.attempts.claim(attemptId)
      : this.#components.attempts.dispatch(attemptId);
    if (!allowed) return [];
    this.#components.runs.start(offer, heldAt, now);
    if (offer.nonRepeatable) return [{kind: 'claim', attemptId}];
    return [this.#makeDispatch(offer, heldAt, now)];
  }

  #makeDispatch(offer: Offer, heldAt: number, now: number): GateAction {
    const {attemptId, workspace, chat, tokens} = offer;
    const warmth = this.#components.cache.read(workspace, chat);
    this.#components.cache.noteServed(workspace, chat, tokens);
    this.#components.pointers.remove(workspace, chat);
    return {kind: 'dispatch', attemptId, warmth, heldMs: now - heldAt};
  }

  #noteDuration({offer, startedAt}: Run, now: number): void {
    this.#components.drain.noteRun(offer, now - startedAt, now);
  }

  #noteDone({offer, startedAt}: Run, now: number): GateAction[] {
    const runMs = now - startedAt;
    this.#components.hold.estimate.noteFinish(offer.tokens, runMs, now);
    const elsewhere = !isFirstChoice(offer, this.#components.settings);
    if (offer.chat === '' || !elsewhere) return [];
    return [{kind: 'point', attemptId: offer.attemptId}];
  }

  #giveUp({offer}: HeldRequest, now: number): GateAction {
    const {attemptId} = offer;
    this.#components.attempts.refuse(attemptId, now);
    return makeRefusal(attemptId, 'overloaded', {
      retryAfterMs: retryAfterMs(this.#components, offer, 0, now),
    });
  }

  #refuseDue({leaving, late}: HoldReview, now: number): GateAction[] {
    const refusals = leaving.map(({offer}) => {
      this.#components.attempts.refuse(offer.attemptId, now);
      return makeRefusal(offer.attemptId, 'draining');
    });
    return [...refusals, ...late.map(held => this.#giveUp(held, now))];
  }
}
