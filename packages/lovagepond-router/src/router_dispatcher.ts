/**
 * The router's shared parts, and the requests in flight that use them.
 */
import {
  type AnswerSink,
  type CallerHandler,
  type CallerRequest,
} from '@lovagepond/caller';
import {
  type BackendServer,
  type Clock,
  EMPTY_MEMBERSHIP,
  type Failure,
  type Logger,
  makeFailure,
  type Membership,
  type Random,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {SidecarConnections} from './router_connections.js';
import {Eligibility} from './router_eligibility.js';
import {chooseByRendezvous} from './router_first_choice.js';
import {type Frame} from './router_frames.js';
import {applyMembership} from './router_membership.js';
import {
  type Placed,
  type PlacementQuery,
  RequestRunner,
  type RunnerHost,
} from './router_request_runner.js';
import {
  type AttemptTarget,
  type DropReason,
  type RequestLimits,
} from './router_request_types.js';
import {RouterRevisions} from './router_revisions.js';
import {type RouterSettings} from './router_settings.js';

/** What the dispatcher needs besides its settings. */
export interface DispatcherParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
}

/** Counts since the start, for metrics and the dump. */
export interface DispatcherCounters {
  readonly answered: number;
  readonly failedByKind: Readonly<Record<string, number>>;
  readonly droppedByReason: Readonly<Record<string, number>>;
}

/** Handles callers' requests by the configuration and membership it holds. */
export class RouterDispatcher implements CallerHandler, RunnerHost {
  readonly clock: Clock;
  readonly connections: SidecarConnections;
  readonly limits: RequestLimits;
  readonly revokeTimeoutMs: number;
  readonly installTimeoutMs: number;
  readonly #log: Logger;
  readonly #revisions: RouterRevisions;
  readonly #runners = new Set<RequestRunner>();
  readonly #failedByKind = new Map<string, number>();
  readonly #droppedByReason = new Map<string, number>();
  #answered = 0;
  #membership = EMPTY_MEMBERSHIP;
  #eligibility: Eligibility;
  #idleListeners: (() => void)[] = [];

  constructor(settings: RouterSettings, parts: DispatcherParts) {
    this.clock = parts.clock;
    this.#log = parts.log;
    this.connections = new SidecarConnections(settings.connectTimeoutMs);
    this.limits = settings;
    this.revokeTimeoutMs = settings.revokeTimeoutMs;
    this.installTimeoutMs = settings.connectTimeoutMs;
    this.#revisions = new RouterRevisions(settings);
    this.#eligibility = this.#compile();
  }

  /** @returns the revisions' keeper */
  get revisions(): RouterRevisions {
    return this.#revisions;
  }

  /** @returns the list of backend servers held */
  get membership(): Membership {
    return this.#membership;
  }

  /** @returns requests in flight */
  get inFlight(): number {
    return this.#runners.size;
  }

  /** @returns counts since the start */
  get counters(): DispatcherCounters {
    return {
      answered: this.#answered,
      failedByKind: Object.fromEntries(this.#failedByKind),
      droppedByReason: Object.fromEntries(this.#droppedByReason),
    };
  }

  /** See {@link CallerHandler.handle}. */
  handle(request: CallerRequest, sink: AnswerSink, now: number): void {
    if (!this.#revisions.mayServe(now)) {
      this.#refuse(sink, makeFailure('notReady'), now);
      return;
    }
    const {workspace, requestKind, chat} = request;
    const verdict = this.#eligibility.find(workspace, requestKind, chat);
    if (!verdict.ok) {
      this.#refuse(sink, verdict.failure, now);
      return;
    }
    const runner = new RequestRunner(this, request, verdict.eligible, sink);
    this.#runners.add(runner);
    runner.start();
  }

  /** @param update control's membership update */
  updateMembership(update: lovagepond.v1.MembershipUpdate.$Properties): void {
    this.#membership = applyMembership(this.#membership, update);
    this.#eligibility.useMembership(this.#membership);
    const servers = [...this.#membership.servers.values()];
    this.connections.keepOnly(new Set(servers.map(server => server.address)));
    const incarnations = servers.map(server => server.incarnation);
    this.#revisions.keepOnly(new Set(incarnations));
  }

  /** See {@link RunnerHost.install}. */
  install(configuration: Uint8Array): void {
    const outcome = this.#revisions.install(configuration);
    if (outcome === 'unreadable') {
      this.#log.error('a configuration could not be read');
    }
    if (outcome !== 'installed') return;
    this.#eligibility = this.#compile();
    const {revision} = this.#revisions.configuration;
    this.#log.info('configuration installed', {revision});
  }

  /** See {@link RunnerHost.place}. */
  place(query: PlacementQuery): Placed | Failure {
    const {request, eligible, excluded, wanted} = query;
    const {servers} = eligible.set;
    const key = `${request.workspace}/${request.chat || request.requestId}`;
    const first = chooseByRendezvous(key, servers, new Set());
    const server =
      findServer(servers, wanted) ?? chooseByRendezvous(key, servers, excluded);
    if (!server) return query.retryOf ?? makeFailure('noBackendServer');
    const firstChoice = first === server ? undefined : first;
    return {server, firstChoice, poolMeanTokens: 0};
  }

  /** See {@link RunnerHost.heldRevision}. */
  heldRevision(): number {
    return this.#revisions.configuration.revision;
  }

  /** See {@link RunnerHost.configurationFor}. */
  configurationFor(target: AttemptTarget): Uint8Array | undefined {
    const behind = this.#revisions.isBehind(target.incarnation);
    return behind ? this.#revisions.encoded : undefined;
  }

  /** See {@link RunnerHost.noteFrame}. */
  noteFrame(_target: AttemptTarget, frame: Frame): void {
    this.#revisions.noteSidecar(frame.incarnation, frame.revision);
  }

  /** See {@link RunnerHost.noteEvidence}. */
  noteEvidence(): void {}

  /** See {@link RunnerHost.noteDrop}. */
  noteDrop(reason: DropReason): void {
    countUp(this.#droppedByReason, reason);
  }

  /** See {@link RunnerHost.completeFailure}. */
  completeFailure(failure: Failure): Failure {
    return failure;
  }

  /** See {@link RunnerHost.noteDone}. */
  noteDone(runner: RequestRunner, failure: Failure | undefined): void {
    if (!this.#runners.delete(runner)) return;
    runner.close();
    if (failure) countUp(this.#failedByKind, failure.kind);
    else this.#answered += 1;
    if (this.#runners.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }

  /** @returns resolves once no request is in flight */
  waitUntilIdle(): Promise<void> {
    if (this.#runners.size === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.#idleListeners.push(resolve);
    });
  }

  /** @param now present time, monotonic milliseconds */
  tick(now: number): void {
    for (const runner of this.#runners) runner.tick(now);
  }

  /** Closes all connections; requests in flight are cut. */
  close(): void {
    this.connections.close();
  }

  #compile(): Eligibility {
    return new Eligibility(this.#revisions.configuration, this.#membership);
  }

  #refuse(sink: AnswerSink, failure: Failure, _now: number): void {
    countUp(this.#failedByKind, failure.kind);
    sink.fail(this.completeFailure(failure));
  }
}

function findServer(
  servers: readonly BackendServer[],
  name: string | undefined,
): BackendServer | undefined {
  if (name === undefined) return undefined;
  return servers.find(server => server.name === name);
}

function countUp(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
