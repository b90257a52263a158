/**
 * Admits callers' requests, runs them, and connects each runner to the router's
 * shared components.
 */
import {
  type ResponseSink,
  type CallerHandler,
  type CallerRequest,
} from '@lovagepond/caller';
import {
  type Clock,
  DrainBound,
  type Failure,
  type Logger,
  makeFailure,
} from '@lovagepond/core';
import {AnswerTimes, workOf} from './router_answer_times.js';
import {type SidecarConnections} from './router_connections.js';
import {type RouterCounters} from './router_counters.js';
import {type EarlyRefusal} from './router_early_refusal.js';
import {type Eligible} from './router_eligibility.js';
import {type CrashReporter} from './router_crash_reporter.js';
import {type RouterEvidence} from './router_evidence.js';
import {type FailedBody, type Frame, type FrameBody} from './router_frames.js';
import {type RouterLoadView} from './router_load_view.js';
import {type RequestQuarantine, SUSPECT_CRASHES} from './router_quarantine.js';
import {describeForPlacement} from './router_request_estimate.js';
import {
  type Placed,
  type PlacementQuery,
  type RunnerContext,
} from './router_request_context.js';
import {RequestRunner} from './router_request_runner.js';
import {makeDrainingFailure} from './router_request_timing.js';
import {
  type AttemptTarget,
  type DropReason,
  type EvidenceKind,
  type RequestLimits,
} from './router_request_types.js';
import {type RetryBudget} from './router_retry_budget.js';
import {type ServerChoice} from './router_server_choice.js';
import {type RouterSettings} from './router_settings.js';
import {type RouterState} from './router_state.js';

export interface DispatcherDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly state: RouterState;
  readonly choice: ServerChoice;
  readonly load: RouterLoadView;
  readonly evidence: RouterEvidence;
  readonly budget: RetryBudget;
  readonly refusal: EarlyRefusal;
  readonly counters: RouterCounters;
  readonly connections: SidecarConnections;
  readonly quarantine: RequestQuarantine;
  readonly crashes: CrashReporter;
}

/** Frames whose load is recorded; for each chunk, this would cost too much. */
const FRAMES_WITH_LOAD: ReadonlySet<FrameBody['kind']> = new Set([
  'accepted',
  'refused',
  'started',
  'end',
  'heartbeat',
]);

/** Handles callers' requests and keeps the runners of those in flight. */
export class RouterDispatcher implements CallerHandler, RunnerContext {
  readonly clock: Clock;
  readonly connections: SidecarConnections;
  readonly limits: RequestLimits;
  readonly revokeTimeoutMs: number;
  readonly #deps: DispatcherDependencies;
  readonly #runners = new Set<RequestRunner>();
  readonly #drain = new DrainBound();
  readonly #times = new AnswerTimes();

  constructor(settings: RouterSettings, deps: DispatcherDependencies) {
    this.#deps = deps;
    this.clock = deps.clock;
    this.connections = deps.connections;
    this.limits = settings;
    this.revokeTimeoutMs = settings.revokeTimeoutMs;
  }

  /** @returns number of requests in flight */
  get inFlight(): number {
    return this.#runners.size;
  }

  /** @returns number of requests in flight by state */
  countByState(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const {state} of this.#runners) {
      counts[state] = (counts[state] ?? 0) + 1;
    }
    return counts;
  }

  handle(request: CallerRequest, sink: ResponseSink, now: number): void {
    const runner = this.#prepare(request, sink, now);
    if (!runner) return;
    this.#runners.add(runner);
    runner.start();
  }

  #prepare(
    request: CallerRequest,
    sink: ResponseSink,
    now: number,
  ): RequestRunner | undefined {
    const admitted = this.#admit(request, now);
    if ('kind' in admitted) {
      this.#deps.counters.noteFailed(admitted.kind);
      sink.fail(this.completeFailure(admitted));
      return undefined;
    }
    return new RequestRunner(this, request, admitted, sink);
  }

  place(query: PlacementQuery, now: number): Placed | Failure {
    const {runner, excluded, preferred, after} = query;
    const {choice, load, state} = this.#deps;
    const {request, returning} = runner;
    const refusal = this.#findQuarantineFailure(runner.fingerprint, now);
    if (refusal) return after ?? refusal;
    if (after && query.costsBudget && this.#isSuspectedRequest(runner, now)) {
      return after;
    }
    // Uses the current configuration: it may have changed since the request
    // arrived, and a sidecar may just have sent a newer one.
    const verdict = state.findEligible(request);
    if (!verdict.ok) return verdict.failure;
    const {eligible} = verdict;
    const work = workOf(runner, eligible);
    const latestRunAt = this.#drain.latestRunAt(work, request.deadline, now);
    if (now > latestRunAt) return after ?? makeDrainingFailure();
    runner.limitRun(latestRunAt);
    const budgetFailure = this.#chargeBudget(query, eligible);
    if (budgetFailure) return budgetFailure;
    const described = describeForPlacement(request, returning);
    const {set} = eligible;
    const chosen = choice.choose(
      {request: described, set, excluded, preferred},
      now,
    );
    if (!chosen) return after ?? makeFailure('noBackendServer');
    load.recordSent(chosen.server.slot, request.estimatedTokens, now);
    this.#times.notePlaced(runner, work, now);
    return {...chosen, eligible};
  }

  heldRevision(): number {
    return this.#deps.state.revision;
  }

  configurationFor(target: AttemptTarget): Uint8Array | undefined {
    const {revisions} = this.#deps.state;
    return revisions.isBehind(target.incarnation)
      ? revisions.encoded
      : undefined;
  }

  install(configuration: Uint8Array): void {
    this.#deps.state.install(configuration);
  }

  noteFrame(runner: RequestRunner, frame: Frame, now: number): void {
    const {load, state, evidence, counters} = this.#deps;
    const {body, incarnation} = frame;
    if (body.kind === 'failed') this.#noteCrash(runner, body, now);
    const answer = this.#times.noteFrame(runner, body, now);
    if (answer) this.#drain.noteAnswered(answer.work, answer.times, now);
    if (!FRAMES_WITH_LOAD.has(body.kind)) return;
    state.revisions.noteSidecarRevision(incarnation, frame.revision);
    evidence.noteResponse(incarnation, now);
    if (body.kind === 'end') {
      this.#deps.quarantine.noteAnswered([runner.fingerprint], now);
    }
    if (body.kind === 'started') counters.noteStarted(runner.returning, body);
    const server = runner.placed?.server;
    if (server?.incarnation !== incarnation) return;
    const tokens = frame.runningTokens + frame.queuedTokens;
    load.recordObserved(server.slot, tokens, now);
  }

  noteEvidence(
    target: AttemptTarget,
    evidence: EvidenceKind,
    now: number,
  ): void {
    this.#deps.evidence.note(target, evidence, now);
  }

  noteDrop(reason: DropReason): void {
    this.#deps.counters.noteDropped(reason);
  }

  completeFailure(failure: Failure): Failure {
    return this.#deps.refusal.complete(failure);
  }

  noteFault(runner: RequestRunner, err: unknown): void {
    const {requestId} = runner.request;
    this.#deps.log.error('unexpected error while handling a request', {
      requestId,
      error: err instanceof Error ? err.message : String(err),
    });
  }

  noteDone(runner: RequestRunner, failure: Failure | undefined): void {
    if (!this.#runners.delete(runner)) return;
    runner.close();
    if (failure) this.#deps.counters.noteFailed(failure.kind);
    else this.#deps.counters.noteAnswered();
  }

  /**
   * Refuses requests whose answers can't end in time, also those that wait in a
   * sidecar's queue.
   *
   * @param endsAt when the process exits at the latest, monotonic milliseconds
   * @param now current time, monotonic milliseconds
   */
  beginDraining(endsAt: number, now: number): void {
    this.#drain.begin(endsAt);
    for (const runner of [...this.#runners]) {
      const work = workOf(runner, runner.eligible);
      const {deadline} = runner.request;
      runner.limitRun(this.#drain.latestRunAt(work, deadline, now));
      runner.tick(now);
    }
  }

  /** @param now current time, monotonic milliseconds */
  tick(now: number): void {
    for (const runner of this.#runners) runner.tick(now);
  }

  /**
   * Aborts the requests that are quarantined by now.
   *
   * @param now current time, monotonic milliseconds
   */
  abortQuarantined(now: number): void {
    for (const runner of [...this.#runners]) {
      const failure = this.#findQuarantineFailure(runner.fingerprint, now);
      if (failure) runner.abortQuarantined(failure);
    }
  }

  #noteCrash(
    {fingerprint}: RequestRunner,
    {crashedLife: server}: FailedBody,
    now: number,
  ): void {
    if (server === '') return;
    const requests = [[fingerprint]];
    this.#deps.crashes.noteCrash({server, requests, crashedAt: now}, now);
  }

  #isSuspectedRequest({fingerprint}: RequestRunner, now: number): boolean {
    const {quarantine} = this.#deps;
    return quarantine.crashesOf([fingerprint], now) >= SUSPECT_CRASHES;
  }

  #findQuarantineFailure(
    fingerprint: string,
    now: number,
  ): Failure | undefined {
    const {quarantine} = this.#deps;
    const retryAfterMs = quarantine.quarantinedForMs([fingerprint], now);
    if (retryAfterMs === undefined) return undefined;
    return makeFailure('quarantined', {retryAfterMs});
  }

  #admit(request: CallerRequest, now: number): Eligible | Failure {
    const {state, choice, refusal} = this.#deps;
    if (!state.mayServe(now)) return makeFailure('notReady');
    const verdict = state.findEligible(request);
    if (!verdict.ok) return verdict.failure;
    const {eligible} = verdict;
    const pool = eligible.set.pools[0];
    if (!pool) return makeFailure('noBackendServer');
    const servers = {pool, slots: choice.slotsOf(eligible.set)};
    const {estimatedTokens, deadline} = request;
    const failure = refusal.check(servers, estimatedTokens, deadline, now);
    return failure ?? eligible;
  }

  /**
   * Credits a first attempt to the pool's retry budget, or charges a retry.
   *
   * @returns the previous failure when the budget is exhausted
   */
  #chargeBudget(
    query: PlacementQuery,
    eligible: Eligible,
  ): Failure | undefined {
    const {budget, counters} = this.#deps;
    const pool = eligible.set.pools[0]?.name ?? '';
    const {after, costsBudget} = query;
    if (!after) {
      budget.noteFirstAttempt(pool);
    } else if (!costsBudget) {
      counters.noteHop();
    } else if (budget.trySpend(pool)) {
      counters.noteRetry();
    } else {
      return after;
    }
    return undefined;
  }
}
