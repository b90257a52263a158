/**
 * The requests in flight and the shared parts that they use.
 */
import {
  type ResponseSink,
  type CallerHandler,
  type CallerRequest,
} from '@lovagepond/caller';
import {
  type Clock,
  type Failure,
  type Logger,
  makeFailure,
} from '@lovagepond/core';
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
  type RunnerHost,
} from './router_request_host.js';
import {RequestRunner} from './router_request_runner.js';
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

/** What the dispatcher works with. */
export interface DispatcherParts {
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

/** Frames that come once or seldom; a load with each chunk costs too much. */
const LOAD_BEARERS: ReadonlySet<FrameBody['kind']> = new Set([
  'accepted',
  'refused',
  'started',
  'end',
  'heartbeat',
]);

/** Handles callers' requests by the state that the router holds. */
export class RouterDispatcher implements CallerHandler, RunnerHost {
  readonly clock: Clock;
  readonly connections: SidecarConnections;
  readonly limits: RequestLimits;
  readonly revokeTimeoutMs: number;
  readonly #parts: DispatcherParts;
  readonly #runners = new Set<RequestRunner>();

  constructor(settings: RouterSettings, parts: DispatcherParts) {
    this.#parts = parts;
    this.clock = parts.clock;
    this.connections = parts.connections;
    this.limits = settings;
    this.revokeTimeoutMs = settings.revokeTimeoutMs;
  }

  /** @returns requests in flight */
  get inFlight(): number {
    return this.#runners.size;
  }

  /** @returns requests in flight by their state */
  countByState(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const {state} of this.#runners) {
      counts[state] = (counts[state] ?? 0) + 1;
    }
    return counts;
  }

  /** See {@link CallerHandler.handle}. */
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
      this.#parts.counters.noteFailed(admitted.kind);
      sink.fail(this.completeFailure(admitted));
      return undefined;
    }
    return new RequestRunner(this, request, admitted, sink);
  }

  /** See {@link RunnerHost.place}. */
  place(query: PlacementQuery, now: number): Placed | Failure {
    const {runner, excluded, wanted, after} = query;
    const {choice, load, state} = this.#parts;
    const {request, returning} = runner;
    const refusal = this.#quarantined(runner.fingerprint, now);
    if (refusal) return after ?? refusal;
    if (after && query.costsBudget && this.#isSuspect(runner, now)) {
      return after;
    }
    // By the configuration in force now: it may have changed since the
    // request came, and a sidecar may just have handed over a newer one.
    const verdict = state.findEligible(request);
    if (!verdict.ok) return verdict.failure;
    const {eligible} = verdict;
    const unpaid = this.#pay(query, eligible);
    if (unpaid) return unpaid;
    const described = describeForPlacement(request, returning);
    const {set} = eligible;
    const chosen = choice.choose(
      {request: described, set, excluded, wanted},
      now,
    );
    if (!chosen) return after ?? makeFailure('noBackendServer');
    load.recordSent(chosen.server.slot, request.estimatedTokens, now);
    return {...chosen, eligible};
  }

  /** See {@link RunnerHost.heldRevision}. */
  heldRevision(): number {
    return this.#parts.state.revision;
  }

  /** See {@link RunnerHost.configurationFor}. */
  configurationFor(target: AttemptTarget): Uint8Array | undefined {
    const {revisions} = this.#parts.state;
    return revisions.isBehind(target.incarnation)
      ? revisions.encoded
      : undefined;
  }

  /** See {@link RunnerHost.install}. */
  install(configuration: Uint8Array): void {
    this.#parts.state.install(configuration);
  }

  /** See {@link RunnerHost.noteFrame}. */
  noteFrame(runner: RequestRunner, frame: Frame, now: number): void {
    const {load, state, evidence, counters} = this.#parts;
    const {body, incarnation} = frame;
    if (body.kind === 'failed') this.#noteCrash(runner, body, now);
    if (!LOAD_BEARERS.has(body.kind)) return;
    state.revisions.noteSidecar(incarnation, frame.revision);
    evidence.noteHeard(incarnation, now);
    if (body.kind === 'end') {
      this.#parts.quarantine.noteAnswered(runner.fingerprint, now);
    }
    if (body.kind === 'started') counters.noteStarted(runner.returning, body);
    const server = runner.placed?.server;
    if (server?.incarnation !== incarnation) return;
    const tokens = frame.runningTokens + frame.queuedTokens;
    load.recordObserved(server.slot, tokens, now);
  }

  /** See {@link RunnerHost.noteEvidence}. */
  noteEvidence(
    target: AttemptTarget,
    evidence: EvidenceKind,
    now: number,
  ): void {
    this.#parts.evidence.note(target, evidence, now);
  }

  /** See {@link RunnerHost.noteDrop}. */
  noteDrop(reason: DropReason): void {
    this.#parts.counters.noteDropped(reason);
  }

  /** See {@link RunnerHost.completeFailure}. */
  completeFailure(failure: Failure): Failure {
    return this.#parts.refusal.complete(failure);
  }

  /** See {@link RunnerHost.noteFault}. */
  noteFault(runner: RequestRunner, err: unknown): void {
    const {requestId} = runner.request;
    this.#parts.log.error('a request met a fault of the program', {
      requestId,
      error: err instanceof Error ? err.message : String(err),
    });
  }

  /** See {@link RunnerHost.noteDone}. */
  noteDone(runner: RequestRunner, failure: Failure | undefined): void {
    if (!this.#runners.delete(runner)) return;
    runner.close();
    if (failure) this.#parts.counters.noteFailed(failure.kind);
    else this.#parts.counters.noteAnswered();
  }

  /** @param now present time, monotonic milliseconds */
  tick(now: number): void {
    for (const runner of this.#runners) runner.tick(now);
  }

  /** @param fingerprint of requests that must not run any longer */
  takeBack(fingerprint: string, now: number): void {
    const failure = this.#quarantined(fingerprint, now);
    if (!failure) return;
    for (const runner of [...this.#runners]) {
      if (runner.fingerprint === fingerprint) runner.takeBack(failure);
    }
  }

  #noteCrash(
    {fingerprint}: RequestRunner,
    {crashedLife: server}: FailedBody,
    now: number,
  ): void {
    if (server === '') return;
    const requests = [fingerprint];
    this.#parts.crashes.noteCrash({server, requests, crashedAt: now}, now);
  }

  #isSuspect({fingerprint}: RequestRunner, now: number): boolean {
    const crashes = this.#parts.quarantine.find(fingerprint, now)?.crashes ?? 0;
    return crashes >= SUSPECT_CRASHES;
  }

  #quarantined(fingerprint: string, now: number): Failure | undefined {
    const {quarantine} = this.#parts;
    const retryAfterMs = quarantine.quarantinedForMs(fingerprint, now);
    if (retryAfterMs === undefined) return undefined;
    return makeFailure('quarantined', {retryAfterMs});
  }

  /** @returns where the request may go, or its final answer */
  #admit(request: CallerRequest, now: number): Eligible | Failure {
    const {state, choice, refusal} = this.#parts;
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

  /** Takes a retry from the pool's budget; counts a first attempt into it. */
  #pay(query: PlacementQuery, eligible: Eligible): Failure | undefined {
    const {budget, counters} = this.#parts;
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
