/**
 * One simulated gateway: the production decision classes, with virtual-time
 * events in place of connections.
 */
import {type Pool, type Random} from '@lovagepond/core';
import {
  type AttemptOutcome,
  type ContextFetch,
  decideNext,
  ENGINE_WEIGHTS,
  type ForwardingRule,
  ResponseTiming,
  GatewayChoice,
  GatewayFleet,
  GatewayPeers,
  GatewayLoadReports,
  GatewayRetryBudget,
  PrefillRate,
  PrefillTracker,
  type PromptPart,
  type ServerState,
} from '@lovagepond/gateway/deciders';
import {type KeyHasher} from '@lovagepond/router';
import {type DirectEngine, type DirectService} from './direct_servers.js';
import {type GatewaySimulationStatistics} from './gateway_simulation_statistics.js';
import {
  type GatewayVariant,
  type SimulatedRequestKind,
} from './gateway_simulation_types.js';
import {type VirtualTime} from './virtual_time.js';

/** One request of the generated workload. */
export interface SimulatedRequest {
  readonly kind: SimulatedRequestKind;
  readonly at: number;
  readonly parts: readonly PromptPart[];
  readonly events: number;
  readonly workMs: number;
}

type SimulatedServer = DirectEngine | DirectService;

/** Finds servers by name or kind. */
export interface ServerLookup {
  engine(name: string): DirectEngine | undefined;
  service(name: string): DirectService | undefined;
  engines(): Iterable<DirectEngine>;
  services(): Iterable<DirectService>;
}

export interface SimulatedGatewayDependencies {
  readonly name: string;
  readonly zone: string;
  readonly pools: {readonly engines: Pool; readonly services: Pool};
  readonly variant: GatewayVariant;
  readonly hasher: KeyHasher;
  readonly random: Random;
  readonly time: VirtualTime;
  readonly servers: ServerLookup;
  readonly statistics: GatewaySimulationStatistics;
}

/** One-way latency between a gateway and a server, milliseconds. */
const HOP_MS = 0.5;

/** Assumed prefill rate before any observation, tokens per millisecond. */
const INITIAL_PREFILL_RATE = 40;

const RETRY_BUDGET = {
  retryFraction: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 64,
  retryShares: 16,
};

/** Delay of a caller's retry, milliseconds. */
const CALLER_RETRY_MS = 300;

export class SimulatedGateway {
  readonly #deps: SimulatedGatewayDependencies;
  fleet = new GatewayFleet();
  readings!: GatewayLoadReports;
  #choice!: GatewayChoice;
  #rate!: PrefillRate;
  #peers = new GatewayPeers();
  #budget = new GatewayRetryBudget(RETRY_BUDGET, this.#peers);
  /** Requests are refused before this virtual time. */
  readyAt = 0;

  constructor(deps: SimulatedGatewayDependencies) {
    this.#deps = deps;
    this.restart();
  }

  /** Restarts with empty state. */
  restart(): void {
    const {name, zone, variant, hasher, random} = this.#deps;
    this.fleet = new GatewayFleet();
    this.#rate = new PrefillRate(INITIAL_PREFILL_RATE);
    this.readings = new GatewayLoadReports(
      name,
      this.fleet,
      this.#rate,
      this.#peers,
    );
    const weights = {...ENGINE_WEIGHTS, ...variant.weights};
    const settings = {availabilityZone: zone, rate: this.#rate, weights};
    this.#choice = new GatewayChoice(settings, hasher, random);
    this.#peers = new GatewayPeers();
    this.#budget = new GatewayRetryBudget(RETRY_BUDGET, this.#peers);
  }

  /** @param req a request that arrives now */
  serve(req: SimulatedRequest): void {
    new SimulatedExchange(req, this.#deps, this).offer();
  }

  get choice(): GatewayChoice {
    return this.#choice;
  }

  get rate(): PrefillRate {
    return this.#rate;
  }

  get budget(): GatewayRetryBudget {
    return this.#budget;
  }
}

/** One request at one gateway, from arrival to final outcome. */
class SimulatedExchange {
  readonly #req: SimulatedRequest;
  readonly #deps: SimulatedGatewayDependencies;
  readonly #gateway: SimulatedGateway;
  readonly #tried = new Set<string>();
  #attempt = 0;
  #runs = 0;
  #offers = 0;
  #firstMs: number | undefined;
  #hasFailure = false;
  #callerRetries = 0;
  #isDone = false;

  constructor(
    req: SimulatedRequest,
    deps: SimulatedGatewayDependencies,
    gateway: SimulatedGateway,
  ) {
    this.#req = req;
    this.#deps = deps;
    this.#gateway = gateway;
    const {at, kind} = req;
    deps.time.at(at + kind.deadlineMs, () => {
      this.#end();
    });
  }

  get #now(): number {
    return this.#deps.time.now;
  }

  offer(): void {
    const {kind, parts} = this.#req;
    const {pools, variant} = this.#deps;
    const {fleet, choice, budget, readyAt} = this.#gateway;
    if (this.#now < readyAt) {
      this.#handleRefusal();
      return;
    }
    const isChat = kind.prompt !== undefined;
    const pool = isChat ? pools.engines : pools.services;
    if (this.#offers === 0) budget.noteRequest(pool.name, this.#now);
    const listed = fleet.listed(pool.name);
    const chosen = choice.choose(
      {
        pool,
        servers: fleet.ready(pool.name, this.#now),
        holders: variant.noFetch ? [] : listed,
        parts,
        sticky: isChat,
        targetLatencyMs: kind.targetLatencyMs,
        repeatable: kind.repeatable,
        tried: this.#tried,
      },
      this.#now,
    );
    if (!chosen) {
      this.#handleRefusal();
      return;
    }
    this.#offers += 1;
    this.#attempt += 1;
    this.#tried.add(chosen.state.server.name);
    if (isChat) this.#runChat(chosen.state, chosen.fetch);
    else this.#runCall(chosen.state);
  }

  #runChat(state: ServerState, fetch: ContextFetch | undefined): void {
    const {time, servers} = this.#deps;
    const {readings, rate} = this.#gateway;
    const {kind, parts, events} = this.#req;
    const tracker = new PrefillTracker(
      state,
      parts,
      fetch,
      {readings, rate},
      this.#now,
    );
    state.inFlight += 1;
    const close = this.#once(() => {
      tracker.close();
      state.inFlight -= 1;
    });
    const engine = servers.engine(state.server.name);
    const source = fetch?.source && servers.engine(fetch.source.server.name);
    time.after(HOP_MS, () => {
      if (!engine?.isUp) {
        this.#handleFailure(state, close, {kind: 'unsent'});
        return;
      }
      this.#recordArrival(engine, servers.engines());
      engine.start({
        parts,
        events,
        priority: kind.priority,
        source,
        onFirst: () => {
          this.#noteLoad(state, engine);
          tracker.noteFirstToken(this.#now);
          this.#firstMs ??= this.#now - this.#req.at + HOP_MS;
        },
        onEnd: () => {
          if (!close()) return;
          state.noteSuccess(this.#now);
          this.#handleSuccess();
        },
        onBroken: () => {
          this.#handleFailure(state, close, {kind: 'broken'});
        },
        onRefused: () => {
          this.#handleFailure(state, close, {kind: 'notRun'});
        },
      });
    });
  }

  #runCall(state: ServerState): void {
    const {time, servers, variant} = this.#deps;
    const {kind, workMs} = this.#req;
    const timing = variant.noTiming
      ? undefined
      : new ResponseTiming(state, kind.targetLatencyMs, this.#now);
    state.inFlight += 1;
    const close = this.#once(() => {
      state.inFlight -= 1;
    });
    const service = servers.service(state.server.name);
    time.after(HOP_MS, () => {
      if (!service) {
        this.#handleFailure(state, close, {kind: 'unsent'});
        return;
      }
      this.#recordArrival(service, servers.services());
      service.start(workMs, kind.failureShare ?? 0, outcome => {
        this.#noteLoad(state, service);
        if (outcome === 'ok') {
          if (!close()) return;
          this.#firstMs = this.#now - this.#req.at + HOP_MS;
          if (timing) timing.noteResponse(this.#now);
          else state.noteSuccess(this.#now);
          this.#handleSuccess();
        } else if (outcome === 'failed') {
          this.#handleFailure(state, close, {kind: 'failedAnswer'});
        } else if (outcome === 'refused') {
          this.#handleFailure(state, close, {kind: 'notRun'});
        } else this.#handleFailure(state, close, {kind: 'broken'});
      });
    });
  }

  /** Records a request that reaches a server, before the server counts it. */
  #recordArrival(
    server: SimulatedServer,
    servers: Iterable<SimulatedServer>,
  ): void {
    const {statistics, pools} = this.#deps;
    const pool = this.#req.kind.prompt ? pools.engines : pools.services;
    const loads = [...servers].map(requestsAt);
    const total = loads.reduce((sum, load) => sum + load, 1);
    const arrival = {
      pool: pool.name,
      held: requestsAt(server) + 1,
      mean: total / loads.length,
      loadBound: pool.loadBound,
    };
    statistics.loadBound.record(arrival, this.#now);
  }

  /** Wraps a callback to run once; returns false if repeated or outdated. */
  #once(run: () => void): () => boolean {
    const attempt = this.#attempt;
    let isOpen = true;
    return () => {
      if (!isOpen) return false;
      isOpen = false;
      run();
      return attempt === this.#attempt && !this.#isDone;
    };
  }

  #noteLoad(
    state: ServerState,
    {
      load,
    }: {readonly load: {readonly running: number; readonly waiting: number}},
  ): void {
    if (this.#deps.variant.noLoadHeader) return;
    state.noteLoad({...load, slots: state.slots}, this.#now);
  }

  #handleSuccess(): void {
    this.#isDone = true;
    const {kind, at} = this.#req;
    this.#deps.statistics.recordAnswer(kind, at, this.#firstMs ?? 0);
  }

  #handleFailure(
    state: ServerState,
    close: () => boolean,
    outcome: AttemptOutcome,
  ): void {
    const isCurrent = close();
    if (outcome.kind === 'failedAnswer') {
      state.noteErrorResponse(this.#now);
      this.#hasFailure = true;
    } else state.noteAttemptFailure(this.#now);
    if (!isCurrent) return;
    if (outcome.kind === 'failedAnswer' || outcome.kind === 'broken') {
      this.#runs += 1;
    }
    const {kind} = this.#req;
    const pool = kind.prompt
      ? this.#deps.pools.engines
      : this.#deps.pools.services;
    const next = decideNext(outcome, {
      rule: ruleOf(kind),
      runs: this.#runs,
      attempts: this.#offers,
      headSent: this.#firstMs !== undefined,
      hasFailure: this.#hasFailure,
      lastEventId: this.#firstMs === undefined ? undefined : 1,
      isSuspect: false,
      timeLeftMs: this.#req.at + kind.deadlineMs - this.#now,
      trySpend: () => this.#gateway.budget.trySpend(pool.name, this.#now),
    });
    if (next.kind === 'retry' || next.kind === 'resume') this.offer();
    else if (next.kind === 'refuse' && this.#runs === 0) this.#handleRefusal();
    else if (kind.repeatable) this.#retryAsCaller();
    else this.#end();
  }

  /** Nothing has run, so the caller may retry. */
  #handleRefusal(): void {
    this.#retryAsCaller();
  }

  #retryAsCaller(): void {
    if (this.#callerRetries > 0) {
      this.#end();
      return;
    }
    this.#callerRetries += 1;
    this.#deps.time.after(CALLER_RETRY_MS, () => {
      if (this.#isDone) return;
      this.#tried.clear();
      this.#runs = 0;
      this.#offers = 0;
      this.#firstMs = undefined;
      this.offer();
    });
  }

  #end(): void {
    this.#isDone = true;
  }
}

function requestsAt({load: {running, waiting}}: SimulatedServer): number {
  return running + waiting;
}

function ruleOf(kind: SimulatedRequestKind): ForwardingRule {
  const {name, priority, targetLatencyMs, deadlineMs, maxAttempts} = kind;
  const isChat = kind.prompt !== undefined;
  return {
    name,
    kind: name,
    pathPrefix: `/${name}/`,
    isPublic: false,
    nonRepeatable: !kind.repeatable,
    forwarding: {
      timeoutMs: deadlineMs,
      targetLatencyMs,
      maxAttempts,
      priority,
      streaming: isChat,
      resumable: isChat && kind.repeatable,
      sticky: isChat,
    },
    pools: [],
    allowedRegions: undefined,
  };
}
