/**
 * One simulated request at one gateway: the exchange of the real gateway, with
 * virtual-time events in place of connections.
 */
import {
  type AttemptOutcome,
  type ContextFetch,
  decideNext,
  type FinalStep,
  type ForwardingRule,
  FullServersWait,
  PrefillTracker,
  ResponseTiming,
  SEND_DECISION,
  SendPermit,
  type ServerChoice,
  ServersWithoutRoom,
  type ServerState,
} from '@lovagepond/gateway/deciders';
import {type SimulatedRequestKind} from './gateway_simulation_types.js';
import {
  type SimulatedGateway,
  type SimulatedGatewayDependencies,
  type SimulatedRequest,
  type SimulatedServer,
} from './simulated_gateway.js';

/** One-way latency between a gateway and a server, milliseconds. */
const HOP_MS = 0.5;

/** Delay of a caller's retry, milliseconds. */
const CALLER_RETRY_MS = 300;

/** One request at one gateway, from arrival to final outcome. */
export class SimulatedExchange {
  readonly #req: SimulatedRequest;
  readonly #deps: SimulatedGatewayDependencies;
  readonly #gateway: SimulatedGateway;
  readonly #tried = new Set<string>();
  readonly #withoutRoom: ServersWithoutRoom;
  readonly #fullWait = new FullServersWait();
  #permit: SendPermit | undefined;
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
    this.#withoutRoom = new ServersWithoutRoom(gateway.warmUp);
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
    const {fleet, choice, retries, readyAt} = this.#gateway;
    if (this.#now < readyAt) {
      this.#handleRefusal();
      return;
    }
    const isChat = kind.prompt !== undefined;
    const pool = isChat ? pools.engines : pools.services;
    if (this.#offers === 0) retries.noteRequest(pool.name, this.#now);
    const listed = fleet.listed(pool.name);
    const chosen = choice.choose(
      {
        pool,
        servers: fleet
          .ready(pool.name, this.#now)
          .filter(state => this.#gateway.warmUp.admits(state, this.#now))
          .filter(state => this.#withoutRoom.mayTry(state, this.#now)),
        holders: variant.noFetch ? [] : listed,
        parts,
        sticky: isChat,
        targetLatencyMs: kind.targetLatencyMs,
        repeatable: kind.repeatable,
        tried: this.#tried,
        listed,
      },
      this.#now,
    );
    if (chosen) this.#askPermit(chosen);
    else if (this.#withoutRoom.hasFull) this.#waitForRoom();
    else this.#handleRefusal();
  }

  #askPermit({state, fetch, assumed: {limit}}: ServerChoice): void {
    const {permits, warmUp, readyAt} = this.#gateway;
    if (this.#deps.variant.noPermits) {
      this.#send(state, fetch);
      return;
    }
    const now = (): number => this.#now;
    const clock = {now, wallTime: now};
    const permit = new SendPermit({clock, permits, warmUp});
    permit.acquire(state, limit, this.#now, decision => {
      if (this.#isDone || this.#gateway.readyAt !== readyAt) {
        permit.release(this.#now);
      } else if (decision === SEND_DECISION.GRANTED) {
        this.#permit = permit;
        this.#connect(state, fetch);
      } else {
        if (decision === SEND_DECISION.FULL) this.#withoutRoom.noteFull(state);
        else this.#withoutRoom.noteWarmingUp(state);
        this.offer();
      }
    });
  }

  /** Some requests need a new connection first, which may take long. */
  #connect(state: ServerState, fetch: ContextFetch | undefined): void {
    const {time, random, variant} = this.#deps;
    const {connectShare = 0, connectMs = 0} = variant;
    const isNew = connectShare > 0 && random.next() < connectShare;
    if (!isNew) {
      this.#sendIfAllowed(state, fetch);
      return;
    }
    time.after(random.next() * connectMs, () => {
      this.#sendIfAllowed(state, fetch);
    });
  }

  #sendIfAllowed(state: ServerState, fetch: ContextFetch | undefined): void {
    const at = {now: this.#now, wallTime: this.#now};
    if (!this.#isDone && this.#permit?.takeFor(state, at)) {
      this.#send(state, fetch);
      return;
    }
    this.#permit?.release(this.#now);
    if (!this.#isDone) this.offer();
  }

  #waitForRoom(): void {
    const hasBegun = this.#firstMs !== undefined;
    const waitMs = this.#fullWait.next(hasBegun, this.#now);
    if (waitMs === undefined) {
      this.#handleRefusal();
      return;
    }
    this.#withoutRoom.forgetFull();
    this.#deps.time.after(waitMs, () => {
      if (!this.#isDone) this.offer();
    });
  }

  #send(state: ServerState, fetch: ContextFetch | undefined): void {
    this.#withoutRoom.forgetFull();
    this.#offers += 1;
    this.#attempt += 1;
    this.#tried.add(state.server.name);
    if (this.#req.kind.prompt) this.#runChat(state, fetch);
    else this.#runCall(state);
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
    statistics.coldServers.record(server, this.#now);
  }

  /** Wraps a callback to run once; returns false if repeated or outdated. */
  #once(run: () => void): () => boolean {
    const attempt = this.#attempt;
    const permit = this.#permit;
    let isOpen = true;
    return () => {
      if (!isOpen) return false;
      isOpen = false;
      run();
      permit?.release(this.#now);
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
      needsCredit: outcome.kind !== 'unsent',
    });
    if (next.kind !== 'retry' && next.kind !== 'resume') {
      this.#performLast(next);
      return;
    }
    if (!next.needsCredit) {
      this.offer();
      return;
    }
    const at = {now: this.#now, wallTime: this.#now};
    this.#gateway.retries.acquire(pool.name, at, ({credit}) => {
      if (this.#isDone) return;
      if (credit) this.offer();
      else this.#performLast(next.otherwise);
    });
  }

  #performLast(next: FinalStep): void {
    const {kind} = this.#req;
    if (next.kind === 'refuse' && this.#runs === 0) this.#handleRefusal();
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
    host: '',
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
