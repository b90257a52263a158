/**
 * The one gate before a backend server: offers, revokes, ends of runs and
 * present time go in; what to answer, dispatch and cancel comes out.
 */
import {type Random} from '@lovagepond/core';
import {SidecarAdmission} from './sidecar_admission.js';
import {
  ATTEMPT_STATE,
  REVOKE_OUTCOME,
  SidecarAttempts,
} from './sidecar_attempts.js';
import {SidecarCacheIndex} from './sidecar_cache_index.js';
import {SidecarDrain} from './sidecar_drain.js';
import {type HeldRequest} from './sidecar_fair_queue.js';
import {
  answerCopy,
  findRefusal,
  isFirstChoice,
  makeRefusal,
  type RefusalView,
} from './sidecar_gate_refusals.js';
import {SidecarHold} from './sidecar_hold.js';
import {type HoldReview} from './sidecar_hold_review.js';
import {SidecarPointers} from './sidecar_pointers.js';
import {SidecarRetryAdvice} from './sidecar_retry_advice.js';
import {type Run, SidecarRuns} from './sidecar_runs.js';
import {chooseHandOver} from './sidecar_take.js';
import {
  DEFAULT_GATE_POLICY,
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
  readonly #settings: GateSettings;
  readonly #advice: SidecarRetryAdvice;
  readonly #attempts: SidecarAttempts;
  readonly #drain = new SidecarDrain();
  readonly #hold: SidecarHold;
  readonly #runs: SidecarRuns;
  /** Bound on the engine's work, with the pool's mean and own corrections. */
  readonly admission: SidecarAdmission;
  /** Which chats are warm here. */
  readonly cache: SidecarCacheIndex;
  /** Which chats of this first choice are warm elsewhere. */
  readonly pointers: SidecarPointers;
  #policy: GatePolicy = DEFAULT_GATE_POLICY;
  #notReady: string | undefined;
  #revision = 0;

  /**
   * @param settings the sidecar's own settings
   * @param random spreads the times at which refused callers come back
   */
  constructor(settings: GateSettings, random: Random) {
    this.#settings = settings;
    const {loadBound, prefillTokensPerSecond, decodeTokensPerSecond} =
      this.#policy;
    this.#attempts = new SidecarAttempts(settings);
    this.admission = new SidecarAdmission(settings, loadBound);
    this.#runs = new SidecarRuns(this.admission);
    this.#hold = new SidecarHold(
      this.admission,
      this.#drain,
      (prefillTokensPerSecond + decodeTokensPerSecond) / 2,
    );
    this.#advice = new SidecarRetryAdvice(this.#hold.estimate, random);
    this.cache = new SidecarCacheIndex(settings.maxChats);
    this.pointers = new SidecarPointers(settings);
  }

  /**
   * @param policy what the configuration sets
   * @param revision the configuration's revision
   */
  configure(policy: GatePolicy, revision: number): void {
    this.#policy = policy;
    this.#revision = revision;
    this.admission.configure(policy.loadBound);
    this.#hold.queue.configure(policy.workspaces);
  }

  /** @param reason why no work may be taken; undefined when it may */
  setNotReady(reason: string | undefined): void {
    this.#notReady = reason;
  }

  /**
   * @param offer an attempt from a router
   * @param now present time
   * @returns the answer, and whatever may be dispatched now
   */
  offer(offer: Offer, now: number): GateAction[] {
    const {attemptId} = offer;
    const copy = answerCopy(attemptId, this.#attempts.stateOf(attemptId));
    if (copy) return [copy];
    this.admission.setRouterEstimate(offer.poolMeanTokens, now);
    const refusal = findRefusal(offer, this.#refusalView(now), now);
    if (refusal) {
      this.#attempts.refuse(attemptId, now);
      return [refusal];
    }
    const expectedWaitMs = this.#hold.expectedWaitMs(offer, now);
    this.#attempts.hold(attemptId);
    this.#hold.add(offer, this.#policy.maxHoldMs, now);
    return [{kind: 'accept', attemptId, expectedWaitMs}, ...this.#pump(now)];
  }

  /**
   * @param attemptId an attempt the router takes back
   * @param now present time
   * @returns the outcome for the router and what to do
   */
  revoke(attemptId: string, now: number): RevokeResult {
    const former = this.#attempts.stateOf(attemptId);
    const outcome = this.#attempts.revoke(attemptId, now);
    const open =
      former === ATTEMPT_STATE.HELD || former === ATTEMPT_STATE.CLAIMING;
    if (outcome !== REVOKE_OUTCOME.REVOKED || !open) {
      return {outcome, actions: []};
    }
    const actions: GateAction[] = [];
    this.#hold.queue.remove(attemptId);
    if (former === ATTEMPT_STATE.CLAIMING) {
      this.#runs.end(attemptId, now);
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
    if (this.#attempts.stateOf(attemptId) !== ATTEMPT_STATE.DISPATCHED) {
      return this.revoke(attemptId, now).actions;
    }
    const run = this.#runs.find(attemptId);
    if (!run || run.offer.nonRepeatable) return [];
    return [{kind: 'cancel', attemptId}];
  }

  /**
   * @param attemptId an attempt whose claim was asked for
   * @param now present time
   * @returns the dispatch, unless it was taken back meanwhile
   */
  claimGranted(attemptId: string, now: number): GateAction[] {
    const run = this.#runs.find(attemptId);
    if (!run || !this.#attempts.dispatch(attemptId)) return [];
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
    if (!this.#attempts.refuse(attemptId, now)) return [];
    this.#runs.end(attemptId, now);
    return this.#pump(now);
  }

  /**
   * @param attemptId a dispatched attempt
   * @param end how its run ended
   * @param now present time
   * @returns a refusal when it was not run, and what may be dispatched next
   */
  finish(attemptId: string, end: RunEnd, now: number): GateAction[] {
    const run = this.#runs.end(attemptId, now);
    if (!run) return [];
    this.#attempts.finish(attemptId, end.kind === 'notRun', now);
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
    this.#attempts.forget(now);
    this.pointers.expire(now);
    const due = this.#hold.takeDue(now);
    return [...this.#answerDue(due, now), ...this.#pump(now)];
  }

  /** @returns when {@link tick} is needed next; Infinity when nothing waits */
  nextTickAt(): number {
    return this.#hold.nextDueAt();
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
    const {queue, estimate} = this.#hold;
    const view = {
      queue,
      estimate,
      cache: this.cache,
      roomTokens: this.#hold.freeTokens(now),
      prefillTokensPerSecond: this.#policy.prefillTokensPerSecond,
      reuseWeight: this.#policy.reuseWeight ?? NEUTRAL_REUSE_WEIGHT,
    };
    const held = chooseHandOver(view, roomTokens);
    if (!held) return {attemptIds: [], tokens: 0, actions: []};
    const {attemptId, workspace, chat, tokens} = held.offer;
    queue.remove(attemptId);
    this.#attempts.refuse(attemptId, now);
    if (chat !== '' && isFirstChoice(held.offer, this.#settings)) {
      this.pointers.put(workspace, chat, taker, now);
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
    const closed = this.#notReady !== undefined || this.#drain.draining;
    if (closed || this.#hold.queue.size > 0) return 0;
    return this.#hold.freeTokens(now);
  }

  /**
   * Keeps room for a request that a take will bring.
   *
   * @param victim backend server that is asked
   * @param tokens the room offered; 0 gives it back
   * @param until when it is given back by itself
   */
  reserve(victim: string, tokens: number, until: number): void {
    this.#hold.reserve(victim, tokens, until);
  }

  /**
   * Starts a planned leave.
   *
   * @param now present time
   * @param limitMs longest time for requests in flight, milliseconds
   * @returns refusals of what can't be served within the limit
   */
  startDraining(now: number, limitMs: number): GateAction[] {
    this.#drain.start(now, limitMs);
    return this.#answerDue(this.#hold.review(now), now);
  }

  /** Takes a planned leave back. */
  resume(): void {
    this.#drain.resume();
  }

  /** @returns true when work may be taken, but for a planned leave */
  get ready(): boolean {
    return this.#notReady === undefined;
  }

  /** @returns true during a planned leave */
  get draining(): boolean {
    return this.#drain.draining;
  }

  /** @returns true when nothing waits and nothing runs */
  get idle(): boolean {
    return this.#hold.queue.size === 0 && this.#runs.size === 0;
  }

  /**
   * The backend server does not answer. What waits for it is told at once, so
   * that its routers go elsewhere.
   *
   * @param now present time
   * @returns refusals of all that waits
   */
  backendDown(now: number): GateAction[] {
    return this.#hold.takeAll().map(({offer}) => {
      this.#attempts.refuse(offer.attemptId, now);
      return makeRefusal(offer.attemptId, 'notReady');
    });
  }

  /**
   * The backend server restarted: its cache is empty and its runs are gone.
   *
   * @param now present time
   */
  backendRestarted(now: number): void {
    this.cache.reset();
    this.admission.reset(now);
  }

  /**
   * @param now present time
   * @returns the load to announce
   */
  load(now: number): GateLoad {
    return {
      runningTokens: Math.round(this.admission.runningTokens(now)),
      queuedTokens: this.#hold.queue.tokens,
      queuedRequests: this.#hold.queue.size,
    };
  }

  /**
   * @param now present time
   * @returns the gate's state for an operator
   */
  dump(now: number): Readonly<Record<string, unknown>> {
    return {
      ...this.load(now),
      limitTokens: Math.round(this.admission.limitTokens(now)),
      poolMeanTokens: Math.round(this.admission.poolMeanTokens(now)),
      tokensPerSecond: Math.round(this.#hold.estimate.tokensPerSecond),
      runs: this.#runs.size,
      attempts: this.#attempts.size,
      chats: this.cache.size,
      pointers: this.pointers.size,
      draining: this.draining,
      notReady: this.#notReady ?? '',
      revision: this.#revision,
    };
  }

  #refusalView(now: number): RefusalView {
    return {
      settings: this.#settings,
      policy: this.#policy,
      notReady: this.#notReady,
      revision: this.#revision,
      draining: this.draining,
      queue: this.#hold.queue,
      cache: this.cache,
      pointers: this.pointers,
      runningTokensOf: workspace => this.#runs.tokensOf(workspace),
      expectedWaitMs: offer => this.#hold.expectedWaitMs(offer, now),
      serviceMs: tokens => this.#hold.estimate.serviceMs(tokens),
      comeBackMs: (offer, missingMs) =>
        this.#advice.comeBackMs(offer, missingMs, now),
    };
  }

  #pump(now: number): GateAction[] {
    const actions: GateAction[] = [];
    let held = this.#hold.next(now);
    while (held) {
      actions.push(...this.#release(held, now));
      held = this.#hold.next(now);
    }
    this.#hold.estimate.noteQueue(this.#hold.queue.size > 0, now);
    return actions;
  }

  #release(held: HeldRequest, now: number): GateAction[] {
    if (held.giveUpAt < now) return [this.#giveUp(held, now)];
    const {offer, heldAt} = held;
    const {attemptId} = offer;
    const allowed = offer.nonRepeatable
      ? this.#attempts.claim(attemptId)
      : this.#attempts.dispatch(attemptId);
    if (!allowed) return [];
    this.#runs.start(offer, heldAt, now);
    if (offer.nonRepeatable) return [{kind: 'claim', attemptId}];
    return [this.#makeDispatch(offer, heldAt, now)];
  }

  #makeDispatch(offer: Offer, heldAt: number, now: number): GateAction {
    const {attemptId, workspace, chat, tokens} = offer;
    const warmth = this.cache.read(workspace, chat);
    this.cache.noteServed(workspace, chat, tokens);
    this.pointers.remove(workspace, chat);
    return {kind: 'dispatch', attemptId, warmth, heldMs: now - heldAt};
  }

  #noteDone({offer, startedAt}: Run, now: number): GateAction[] {
    this.#hold.estimate.noteFinish(offer.tokens, now - startedAt, now);
    const elsewhere = !isFirstChoice(offer, this.#settings);
    if (offer.chat === '' || !elsewhere) return [];
    return [{kind: 'point', attemptId: offer.attemptId}];
  }

  #giveUp({offer}: HeldRequest, now: number): GateAction {
    const {attemptId} = offer;
    this.#attempts.refuse(attemptId, now);
    const retryAfterMs = this.#advice.comeBackMs(offer, 0, now);
    return makeRefusal(attemptId, 'overloaded', {retryAfterMs});
  }

  #answerDue({leaving, lost}: HoldReview, now: number): GateAction[] {
    const refusals = leaving.map(({offer}) => {
      this.#attempts.refuse(offer.attemptId, now);
      return makeRefusal(offer.attemptId, 'draining');
    });
    return [...refusals, ...lost.map(held => this.#giveUp(held, now))];
  }
}
