/**
 * The one gate before a backend server: offers, revokes, ends of runs and
 * present time go in; what to answer, dispatch and cancel comes out.
 */
import {type Random} from '@lovagepond/core';
import {type SidecarAdmission} from './sidecar_admission.js';
import {ATTEMPT_STATE, REVOKE_OUTCOME} from './sidecar_attempts.js';
import {type SidecarCacheIndex} from './sidecar_cache_index.js';
import {type HeldRequest} from './sidecar_fair_queue.js';
import {
  dumpGate,
  type GateParts,
  INITIAL_GATE_MODE,
  makeGateParts,
  makeRefusalView,
  readGateLoad,
} from './sidecar_gate_parts.js';
import {
  answerCopy,
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

/** Rebuild and wait count alike. */
const NEUTRAL_REUSE_WEIGHT = 0.5;

/** Decides everything that reaches one backend server. Without I/O. */
export class SidecarGate {
  readonly #parts: GateParts;
  #mode = INITIAL_GATE_MODE;

  /**
   * @param settings the sidecar's own settings
   * @param random spreads the times at which refused callers come back
   */
  constructor(settings: GateSettings, random: Random) {
    this.#parts = makeGateParts(settings, random);
  }

  /** @returns the bound on the engine's work */
  get admission(): SidecarAdmission {
    return this.#parts.admission;
  }

  /** @returns which chats are warm here */
  get cache(): SidecarCacheIndex {
    return this.#parts.cache;
  }

  /** @returns which chats of this first choice are warm elsewhere */
  get pointers(): SidecarPointers {
    return this.#parts.pointers;
  }

  /** @returns true when work may be taken, but for a planned leave */
  get ready(): boolean {
    return this.#mode.notReady === undefined;
  }

  /** @returns true during a planned leave */
  get draining(): boolean {
    return this.#parts.drain.draining;
  }

  /** @returns true when nothing waits and nothing runs */
  get idle(): boolean {
    const {hold, runs} = this.#parts;
    return hold.queue.size === 0 && runs.size === 0;
  }

  /**
   * @param policy what the configuration sets
   * @param revision the configuration's revision
   */
  configure(policy: GatePolicy, revision: number): void {
    this.#mode = {...this.#mode, policy, revision};
    this.#parts.admission.configure(policy.loadBound);
    this.#parts.hold.queue.configure(policy.workspaces);
  }

  /** @param reason why no work may be taken; undefined when it may */
  setNotReady(reason: string | undefined): void {
    this.#mode = {...this.#mode, notReady: reason};
  }

  /**
   * @param offer an attempt from a router
   * @param now present time
   * @returns the answer, and whatever may be dispatched now
   */
  offer(offer: Offer, now: number): GateAction[] {
    const {attemptId} = offer;
    const copy = answerCopy(attemptId, this.#parts.attempts.stateOf(attemptId));
    if (copy) return [copy];
    this.#parts.admission.setRouterEstimate(offer.poolMeanTokens, now);
    const refusal = findRefusal(
      offer,
      makeRefusalView(this.#parts, this.#mode, now),
      now,
    );
    if (refusal) {
      this.#parts.attempts.refuse(attemptId, now);
      return [refusal];
    }
    const expectedWaitMs = this.#parts.hold.expectedWaitMs(offer, now);
    this.#parts.attempts.hold(attemptId);
    this.#parts.hold.add(offer, this.#mode.policy.maxHoldMs, now);
    return [{kind: 'accept', attemptId, expectedWaitMs}, ...this.#pump(now)];
  }

  /**
   * @param attemptId an attempt the router takes back
   * @param now present time
   * @returns the outcome for the router and what to do
   */
  revoke(attemptId: string, now: number): RevokeResult {
    const former = this.#parts.attempts.stateOf(attemptId);
    const outcome = this.#parts.attempts.revoke(attemptId, now);
    const open =
      former === ATTEMPT_STATE.HELD || former === ATTEMPT_STATE.CLAIMING;
    if (outcome !== REVOKE_OUTCOME.REVOKED || !open) {
      return {outcome, actions: []};
    }
    const actions: GateAction[] = [];
    this.#parts.hold.queue.remove(attemptId);
    if (former === ATTEMPT_STATE.CLAIMING) {
      this.#parts.runs.end(attemptId, now);
      actions.push({kind: 'releaseClaim', attemptId});
    }
    actions.push(makeRefusal(attemptId, 'revoked'));
    return {outcome, actions: [...actions, ...this.#pump(now)]};
  }

  /**
   * The caller went away. What waits is dropped; what runs is cancelled,
   * unless it must not be repeated: then its outcome is worth more than its
   * cost.
   *
   * @param attemptId the caller's attempt
   * @param now present time
   * @returns what to do
   */
  callerGone(attemptId: string, now: number): readonly GateAction[] {
    if (this.#parts.attempts.stateOf(attemptId) !== ATTEMPT_STATE.DISPATCHED) {
      return this.revoke(attemptId, now).actions;
    }
    const run = this.#parts.runs.find(attemptId);
    if (!run || run.offer.nonRepeatable) return [];
    return [{kind: 'cancel', attemptId}];
  }

  /**
   * @param attemptId an attempt whose claim was asked for
   * @param now present time
   * @returns the dispatch, unless it was taken back meanwhile
   */
  claimGranted(attemptId: string, now: number): GateAction[] {
    const run = this.#parts.runs.find(attemptId);
    if (!run || !this.#parts.attempts.dispatch(attemptId)) return [];
    return [this.#makeDispatch(run.offer, run.heldAt, now)];
  }

  /**
   * The claim was not granted: this attempt never runs.
   *
   * @param attemptId an attempt whose claim was asked for
   * @param now present time
   * @returns what may be dispatched in its place
   */
  claimDenied(attemptId: string, now: number): GateAction[] {
    if (!this.#parts.attempts.refuse(attemptId, now)) return [];
    this.#parts.runs.end(attemptId, now);
    return this.#pump(now);
  }

  /**
   * @param attemptId a dispatched attempt
   * @param end how its run ended
   * @param now present time
   * @returns a refusal when it was not run, and what may be dispatched next
   */
  finish(attemptId: string, end: RunEnd, now: number): GateAction[] {
    const run = this.#parts.runs.end(attemptId, now);
    if (!run) return [];
    this.#parts.attempts.finish(attemptId, end.kind === 'notRun', now);
    const actions: GateAction[] = [];
    if (end.kind === 'notRun') {
      const {message, errorKind = 'unreachable'} = end;
      actions.push(makeRefusal(attemptId, errorKind, {message}));
    }
    if (end.kind === 'done') actions.push(...this.#noteDone(run, now));
    return [...actions, ...this.#pump(now)];
  }

  /**
   * Drives whatever depends on time alone.
   *
   * @param now present time
   * @returns refusals of what can't be served any more, and dispatches
   */
  tick(now: number): GateAction[] {
    this.#parts.attempts.forget(now);
    this.#parts.pointers.expire(now);
    const due = this.#parts.hold.takeDue(now);
    return [...this.#answerDue(due, now), ...this.#pump(now)];
  }

  /** @returns when {@link tick} is needed next; Infinity when nothing waits */
  nextTickAt(): number {
    return this.#parts.hold.nextDueAt();
  }

  /**
   * Another sidecar of the pool asks for a held request.
   *
   * @param taker its backend server
   * @param roomTokens what fits there
   * @param now present time
   * @returns at most one request, already out of the queue
   */
  handOver(taker: string, roomTokens: number, now: number): HandOver {
    const {hold, cache, attempts, pointers, settings} = this.#parts;
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
    const actions = [refusal, ...this.#pump(now)];
    return {attemptIds: [attemptId], tokens, actions};
  }

  /**
   * @param now present time
   * @returns room to offer in a take; 0 while anything waits here
   */
  takeRoom(now: number): number {
    const closed = !this.ready || this.#parts.drain.draining;
    if (closed || this.#parts.hold.queue.size > 0) return 0;
    return this.#parts.hold.freeTokens(now);
  }

  /**
   * Keeps room for a request that a take will bring.
   *
   * @param victim backend server that is asked
   * @param tokens the room offered; 0 gives it back
   * @param until when it is given back by itself
   */
  reserve(victim: string, tokens: number, until: number): void {
    this.#parts.hold.reserve(victim, tokens, until);
  }

  /**
   * Starts a planned leave.
   *
   * @param now present time
   * @param limitMs longest time for requests in flight, milliseconds
   * @returns refusals of what can't be served within the limit
   */
  startDraining(now: number, limitMs: number): GateAction[] {
    this.#parts.drain.start(now, limitMs);
    return this.#answerDue(this.#parts.hold.review(now), now);
  }

  /** Takes a planned leave back. */
  resume(): void {
    this.#parts.drain.resume();
  }

  /**
   * The backend server does not answer. What waits for it is told at once, so
   * that its routers go elsewhere.
   *
   * @param now present time
   * @returns refusals of all that waits
   */
  backendDown(now: number): GateAction[] {
    return this.#parts.hold.takeAll().map(({offer}) => {
      this.#parts.attempts.refuse(offer.attemptId, now);
      return makeRefusal(offer.attemptId, 'notReady');
    });
  }

  /**
   * The backend server restarted: its cache is empty and its runs are gone.
   *
   * @param now present time
   */
  backendRestarted(now: number): void {
    this.#parts.cache.reset();
    this.#parts.admission.reset(now);
  }

  /**
   * @param now present time
   * @returns the load to announce
   */
  load(now: number): GateLoad {
    return readGateLoad(this.#parts, now);
  }

  /**
   * @param now present time
   * @returns the gate's state for an operator
   */
  dump(now: number): Readonly<Record<string, unknown>> {
    return dumpGate(this.#parts, this.#mode, now);
  }

  #pump(now: number): GateAction[] {
    const actions: GateAction[] = [];
    let held = this.#parts.hold.next(now);
    while (held) {
      actions.push(...this.#release(held, now));
      held = this.#parts.hold.next(now);
    }
    this.#parts.hold.estimate.noteQueue(this.#parts.hold.queue.size > 0, now);
    return actions;
  }

  #release(held: HeldRequest, now: number): GateAction[] {
    if (held.giveUpAt < now) return [this.#giveUp(held, now)];
    const {offer, heldAt} = held;
    const {attemptId} = offer;
    const allowed = offer.nonRepeatable
      ? this.#parts.attempts.claim(attemptId)
      : this.#parts.attempts.dispatch(attemptId);
    if (!allowed) return [];
    this.#parts.runs.start(offer, heldAt, now);
    if (offer.nonRepeatable) return [{kind: 'claim', attemptId}];
    return [this.#makeDispatch(offer, heldAt, now)];
  }

  #makeDispatch(offer: Offer, heldAt: number, now: number): GateAction {
    const {attemptId, workspace, chat, tokens} = offer;
    const warmth = this.#parts.cache.read(workspace, chat);
    this.#parts.cache.noteServed(workspace, chat, tokens);
    this.#parts.pointers.remove(workspace, chat);
    return {kind: 'dispatch', attemptId, warmth, heldMs: now - heldAt};
  }

  #noteDone({offer, startedAt}: Run, now: number): GateAction[] {
    this.#parts.hold.estimate.noteFinish(offer.tokens, now - startedAt, now);
    const elsewhere = !isFirstChoice(offer, this.#parts.settings);
    if (offer.chat === '' || !elsewhere) return [];
    return [{kind: 'point', attemptId: offer.attemptId}];
  }

  #giveUp({offer}: HeldRequest, now: number): GateAction {
    const {attemptId} = offer;
    this.#parts.attempts.refuse(attemptId, now);
    const retryAfterMs = this.#parts.advice.comeBackMs(offer, 0, now);
    return makeRefusal(attemptId, 'overloaded', {retryAfterMs});
  }

  #answerDue({leaving, lost}: HoldReview, now: number): GateAction[] {
    const refusals = leaving.map(({offer}) => {
      this.#parts.attempts.refuse(offer.attemptId, now);
      return makeRefusal(offer.attemptId, 'draining');
    });
    return [...refusals, ...lost.map(held => this.#giveUp(held, now))];
  }
}
