/**
 * Runs one request: performs the actions of its state machine and reports the
 * resulting events.
 */
import {type ResponseSink, type CallerRequest} from '@lovagepond/caller';
import {type Failure, makeFailure, type Unregister} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type SidecarConnection} from './router_connections.js';
import {type Eligible} from './router_eligibility.js';
import {RequestMachine} from './router_request.js';
import {type Placed, type RunnerContext} from './router_request_context.js';
import {fingerprintOf} from './router_quarantine.js';
import {isReturning} from './router_request_estimate.js';
import {
  type Attempt,
  type RequestAction,
  REQUEST_STATE,
  type RequestEvent,
  type RequestState,
} from './router_request_types.js';
import {
  type AttemptStream,
  installConfiguration,
  openAttempt,
  revokeAttempt,
} from './router_sidecar_calls.js';

/** Reading of frames pauses when more bytes than this wait for the caller. */
const MAX_UNWRITTEN_BYTES = 64 * 1024;

type ActionOf<Kind extends RequestAction['kind']> = Extract<
  RequestAction,
  {kind: Kind}
>;

type ActionHandlers = {
  readonly [Kind in RequestAction['kind']]: (
    runner: RequestRunner,
    action: ActionOf<Kind>,
  ) => void;
};

/** States in which the request has been sent to no sidecar. */
const UNSENT: ReadonlySet<RequestState> = new Set([
  REQUEST_STATE.RECEIVED,
  REQUEST_STATE.PLACED,
]);

/** The method of all callers' requests. */
const METHOD = 'POST';

export class RequestRunner {
  // Shared by all requests to keep the memory of each one small.
  static readonly #handlers: ActionHandlers = {
    place: (runner, action) => runner.#place(action),
    offer: (runner, action) => runner.#guard(runner.#offer(action)),
    revoke: (runner, action) => runner.#guard(runner.#revoke(action)),
    close: (runner, action) => runner.#close(action),
    begin: (runner, {status, contentType}) =>
      runner.#sink.begin(status, contentType),
    write: (runner, {data}) => runner.#guard(runner.#write(data)),
    end: runner => runner.#end(),
    fail: (runner, {failure}) => runner.#fail(failure),
    install: (runner, {configuration}) =>
      runner.#context.install(configuration),
    evidence: (runner, {target, evidence}) =>
      runner.#context.noteEvidence(target, evidence, runner.#now()),
    drop: (runner, {reason}) => runner.#context.noteDrop(reason),
  };

  readonly request: CallerRequest;
  /** Identifies the request's content; repeats have the same fingerprint. */
  readonly fingerprint: string;
  /** The request's prompt contains an earlier answer of its chat. */
  readonly returning: boolean;
  readonly #context: RunnerContext;
  #eligible: Eligible;
  readonly #sink: ResponseSink;
  readonly #machine: RequestMachine;
  #placed: Placed | undefined;
  #stream: AttemptStream | undefined;
  /** The connection that the open attempt used last. */
  #connection: SidecarConnection | undefined;
  #unwrittenBytes = 0;
  #blocked = false;
  #wasBlocked = false;
  #unregister: Unregister = () => {};

  constructor(
    context: RunnerContext,
    request: CallerRequest,
    eligible: Eligible,
    sink: ResponseSink,
  ) {
    this.request = request;
    this.fingerprint = fingerprintOf({
      method: METHOD,
      path: request.path,
      workspace: request.workspace,
      // Covers the body and is computed already.
      body: request.bodyDigest,
    });
    this.returning = isReturning(request);
    this.#context = context;
    this.#eligible = eligible;
    this.#sink = sink;
    const {requestId, deadline} = request;
    const {nonRepeatable} = eligible.requestKind;
    const facts = {requestId, deadline, nonRepeatable};
    this.#machine = new RequestMachine(facts, context.limits);
  }

  /** @returns the request's state */
  get state(): RequestState {
    return this.#machine.state;
  }

  /** @returns the servers that may serve the request */
  get eligible(): Eligible {
    return this.#eligible;
  }

  /** @returns the placement of the open attempt, if any */
  get placed(): Placed | undefined {
    return this.#machine.attempt && this.#placed;
  }

  /** @returns true once the caller has delayed the answer by reading slowly */
  get wasBlocked(): boolean {
    return this.#wasBlocked;
  }

  start(): void {
    this.#unregister = this.#sink.onCancel(failure => {
      this.#receive({kind: 'callerGone'});
      this.#context.noteDone(this, failure);
    });
    if (this.#sink.closed) return;
    this.#perform(this.#machine.start());
  }

  /** @param now current time, monotonic ms; to be called every `tickMs` */
  tick(now: number): void {
    this.#perform(this.#machine.receive({kind: 'tick'}, now));
  }

  /**
   * Aborts the request because it was quarantined for crashing servers.
   *
   * @param failureIfUnsent the answer when no server has received the request
   */
  abortQuarantined(failureIfUnsent: Failure): void {
    const isUnsent = UNSENT.has(this.state);
    this.#receive({kind: 'callerGone'});
    this.#fail(isUnsent ? failureIfUnsent : makeFailure('backendFailed'));
  }

  /**
   * @param at the latest time at which the request may be run, as the process
   *     exits; monotonic milliseconds
   */
  limitRun(at: number): void {
    this.#machine.limitRun(at);
  }

  /** Unregisters the listener for cancellation by the caller. */
  close(): void {
    this.#unregister();
  }

  #now(): number {
    return this.#context.clock.now();
  }

  #receive(event: RequestEvent): void {
    this.#perform(this.#machine.receive(event, this.#now()));
  }

  /**
   * Catches unexpected errors, which would otherwise end the process and every
   * caller's stream. The affected request then ends at its deadline.
   */
  #guard(work: Promise<void>): void {
    work.catch((err: unknown) => {
      this.#context.noteFault(this, err);
    });
  }

  #perform(actions: readonly RequestAction[]): void {
    for (const action of actions) {
      RequestRunner.#handlers[action.kind](this, action as never);
    }
  }

  #place(action: ActionOf<'place'>): void {
    const {excluded, preferred, after, costsBudget} = action;
    const query = {runner: this, excluded, preferred, after, costsBudget};
    const placed = this.#context.place(query, this.#now());
    if (!('server' in placed)) {
      this.#receive({kind: 'notPlaced', failure: placed});
      return;
    }
    this.#placed = placed;
    this.#eligible = placed.eligible;
    const {nonRepeatable} = placed.eligible.requestKind;
    const {name, incarnation, address} = placed.server;
    const target = {backendServer: name, incarnation, address};
    this.#receive({kind: 'placed', target, nonRepeatable});
  }

  async #offer(action: ActionOf<'offer'>): Promise<void> {
    const {attempt, freshConnection} = action;
    const connection = await this.#connectForOffer(attempt, freshConnection);
    if (!this.#isOpen(attempt)) return;
    const stream = connection && this.#openStream(connection, action);
    const {attemptId} = attempt;
    if (!stream) {
      this.#receive({kind: 'connectFailed', attemptId});
      return;
    }
    this.#stream?.cancel();
    this.#stream = stream;
    this.#connection = connection;
    this.#receive({kind: 'sent', attemptId});
  }

  #openStream(
    connection: SidecarConnection,
    action: ActionOf<'offer'>,
  ): AttemptStream | undefined {
    const {attemptId} = action.attempt;
    const message = this.#makeMessage(action);
    return openAttempt(connection, message, {
      onFrame: frame => {
        this.#context.noteFrame(this, frame, this.#now());
        this.#receive({kind: 'frame', frame});
      },
      onEnd: () => {
        this.#stream = undefined;
        this.#receive({kind: 'broken', attemptId});
      },
    });
  }

  async #connect(
    attempt: Attempt,
    freshConnection: boolean,
  ): Promise<SidecarConnection | undefined> {
    const silent = freshConnection ? this.#connection : undefined;
    const {address} = attempt.target;
    return this.#context.connections.open(address, silent);
  }

  /**
   * Installs the current configuration at a sidecar with an older one before
   * the attempt is sent. The control plane may be unable to reach the sidecar.
   */
  async #connectForOffer(
    attempt: Attempt,
    freshConnection: boolean,
  ): Promise<SidecarConnection | undefined> {
    const connection = await this.#connect(attempt, freshConnection);
    const newer = this.#context.configurationFor(attempt.target);
    if (!connection || !newer) return connection;
    if (await this.#install(connection, newer)) return connection;
    // The connection may have gone silent, so a new one is tried.
    const {address} = attempt.target;
    const fresh = await this.#context.connections.open(address, connection);
    return fresh && (await this.#install(fresh, newer)) ? fresh : undefined;
  }

  async #install(
    connection: SidecarConnection,
    configuration: Uint8Array,
  ): Promise<boolean> {
    const limit = this.#context.limits.firstFrameAfterMs;
    const held = await installConfiguration(connection, configuration, limit);
    return held !== undefined;
  }

  #isOpen(attempt: Attempt): boolean {
    return this.#machine.attempt?.attemptId === attempt.attemptId;
  }

  #makeMessage(
    action: ActionOf<'offer'>,
  ): lovagepond.v1.AttemptRequest.$Properties {
    const {attempt, resumeFrom, handOvers} = action;
    const {request} = this;
    const {workspace, requestKind} = this.#eligible;
    const left = Math.max(0, request.deadline - this.#now());
    const {
      firstChoice,
      warmCandidates = [],
      poolMeanTokens = 0,
    } = this.#placed ?? {};
    return {
      requestId: request.requestId,
      attemptId: attempt.attemptId,
      incarnation: attempt.target.incarnation,
      workspace: workspace.name,
      chat: request.chat,
      requestKind: requestKind.name,
      idempotencyKey: request.idempotencyKey ?? '',
      bodyDigest: request.bodyDigest,
      deadlineLeftMs: Math.floor(left),
      priority: workspace.priority,
      estimatedTokens: request.estimatedTokens,
      path: request.path,
      body: request.body,
      revision: this.#context.heldRevision(),
      nonRepeatable: requestKind.nonRepeatable,
      firstChoice: firstChoice?.name ?? '',
      firstChoiceAddress: firstChoice?.address ?? '',
      warmCandidates: [...warmCandidates],
      resumeFrom,
      contentType: request.contentType,
      poolMeanTokens,
      handOvers,
    };
  }

  async #revoke(action: ActionOf<'revoke'>): Promise<void> {
    const {attempt, freshConnection} = action;
    const {attemptId, target} = attempt;
    const connection = await this.#connect(attempt, freshConnection);
    if (connection && this.#isOpen(attempt)) this.#connection = connection;
    const outcome = connection
      ? await revokeAttempt(
          connection,
          attemptId,
          target.incarnation,
          this.#context.revokeTimeoutMs,
        )
      : 'lost';
    this.#receive({kind: 'revoked', attemptId, outcome});
  }

  /**
   * The sidecar takes the end of a stream for a lost connection and keeps the
   * attempt for a reconnection. An abandoned attempt is therefore revoked; if
   * the revocation is lost, the sidecar drops the attempt after its own time
   * limit. The stream of a concluded attempt is left to end by itself; its
   * frames are ignored.
   */
  #close({attempt, abandoned}: ActionOf<'close'>): void {
    if (abandoned) {
      this.#guard(this.#revokeAbandoned(attempt));
      this.#stream?.cancel();
    }
    this.#stream = undefined;
    this.#connection = undefined;
  }

  async #revokeAbandoned({attemptId, target}: Attempt): Promise<void> {
    const {connections, revokeTimeoutMs} = this.#context;
    const connection = await connections.open(target.address);
    if (!connection) return;
    const {incarnation} = target;
    await revokeAttempt(connection, attemptId, incarnation, revokeTimeoutMs);
  }

  #end(): void {
    this.#sink.end();
    this.#context.noteDone(this, undefined);
  }

  #fail(failure: Failure): void {
    const complete = this.#context.completeFailure(failure, this.#now());
    this.#sink.fail(complete);
    this.#context.noteDone(this, complete);
  }

  /** Pauses reading of frames while the caller reads too slowly. */
  async #write(data: Uint8Array): Promise<void> {
    this.#unwrittenBytes += data.length;
    const written = this.#sink.write(data);
    if (this.#unwrittenBytes > MAX_UNWRITTEN_BYTES && !this.#blocked) {
      this.#setBlocked(true);
    }
    await written;
    this.#unwrittenBytes -= data.length;
    if (this.#blocked && this.#unwrittenBytes === 0) this.#setBlocked(false);
  }

  #setBlocked(blocked: boolean): void {
    this.#blocked = blocked;
    this.#wasBlocked ||= blocked;
    if (blocked) this.#stream?.pause();
    else this.#stream?.resume();
    this.#receive({kind: 'blocked', blocked});
  }
}
