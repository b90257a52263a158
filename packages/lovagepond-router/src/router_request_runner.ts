/**
 * Runs one request: does what its state machine asks for and reports back.
 */
import {type ResponseSink, type CallerRequest} from '@lovagepond/caller';
import {type Failure, makeFailure, type Unregister} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type SidecarConnection} from './router_connections.js';
import {type Eligible} from './router_eligibility.js';
import {RequestMachine} from './router_request.js';
import {type Placed, type RunnerHost} from './router_request_host.js';
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

/** More than this waits for the caller: frames are no longer taken in. */
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

/** States in which no sidecar was offered the request. */
const UNSENT: ReadonlySet<RequestState> = new Set([
  REQUEST_STATE.RECEIVED,
  REQUEST_STATE.PLACED,
]);

/** Callers' requests are all of this method. */
const METHOD = 'POST';

/** One request in flight. */
export class RequestRunner {
  // One table for all requests: a request in flight should cost little.
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
    install: (runner, {configuration}) => runner.#host.install(configuration),
    evidence: (runner, {target, evidence}) =>
      runner.#host.noteEvidence(target, evidence, runner.#now()),
    drop: (runner, {reason}) => runner.#host.noteDrop(reason),
  };

  readonly request: CallerRequest;
  /** The same for each repeat. */
  readonly fingerprint: string;
  /** The request's prompt holds an earlier answer of its chat. */
  readonly returning: boolean;
  readonly #host: RunnerHost;
  #eligible: Eligible;
  readonly #sink: ResponseSink;
  readonly #machine: RequestMachine;
  #placed: Placed | undefined;
  #stream: AttemptStream | undefined;
  /** The connection used last for the open attempt. */
  #connection: SidecarConnection | undefined;
  #unwrittenBytes = 0;
  #blocked = false;
  #unregister: Unregister = () => {};

  constructor(
    host: RunnerHost,
    request: CallerRequest,
    eligible: Eligible,
    sink: ResponseSink,
  ) {
    this.request = request;
    this.fingerprint = fingerprintOf({
      method: METHOD,
      path: request.path,
      workspace: request.workspace,
      // Holds the body, and is made already.
      body: request.bodyDigest,
    });
    this.returning = isReturning(request);
    this.#host = host;
    this.#eligible = eligible;
    this.#sink = sink;
    const {requestId, deadline} = request;
    const {nonRepeatable} = eligible.requestKind;
    const facts = {requestId, deadline, nonRepeatable};
    this.#machine = new RequestMachine(facts, host.limits);
  }

  /** @returns where the request stands */
  get state(): RequestState {
    return this.#machine.state;
  }

  /** @returns where the open attempt is, if any */
  get placed(): Placed | undefined {
    return this.#machine.attempt && this.#placed;
  }

  /** Starts the request. */
  start(): void {
    this.#unregister = this.#sink.onCancel(failure => {
      this.#receive({kind: 'callerGone'});
      this.#host.noteDone(this, failure);
    });
    if (this.#sink.closed) return;
    this.#perform(this.#machine.start());
  }

  /** @param now present time, monotonic ms; call it every few milliseconds */
  tick(now: number): void {
    this.#perform(this.#machine.receive({kind: 'tick'}, now));
  }

  /**
   * Ends the request, as servers crash while they run it.
   *
   * @param unrun the answer if no server got it
   */
  takeBack(unrun: Failure): void {
    const isUnsent = UNSENT.has(this.state);
    this.#receive({kind: 'callerGone'});
    this.#fail(isUnsent ? unrun : makeFailure('backendFailed'));
  }

  /** Takes back the registration at the caller's side. */
  close(): void {
    this.#unregister();
  }

  #now(): number {
    return this.#host.clock.now();
  }

  #receive(event: RequestEvent): void {
    this.#perform(this.#machine.receive(event, this.#now()));
  }

  /**
   * An error that nothing else catches would end the process, and with it
   * every caller's stream. The request itself is ended by its deadline.
   */
  #guard(work: Promise<void>): void {
    work.catch((err: unknown) => {
      this.#host.noteFault(this, err);
    });
  }

  #perform(actions: readonly RequestAction[]): void {
    for (const action of actions) {
      RequestRunner.#handlers[action.kind](this, action as never);
    }
  }

  #place(action: ActionOf<'place'>): void {
    const {excluded, wanted, after, costsBudget} = action;
    const query = {runner: this, excluded, wanted, after, costsBudget};
    const placed = this.#host.place(query, this.#now());
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
        this.#host.noteFrame(this, frame, this.#now());
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
    return this.#host.connections.open(address, silent);
  }

  /**
   * A sidecar that control can't reach learns of the held configuration
   * before it is given an attempt, so that it decides by it.
   */
  async #connectForOffer(
    attempt: Attempt,
    freshConnection: boolean,
  ): Promise<SidecarConnection | undefined> {
    const connection = await this.#connect(attempt, freshConnection);
    const newer = this.#host.configurationFor(attempt.target);
    if (!connection || !newer) return connection;
    if (await this.#install(connection, newer)) return connection;
    // The connection may have gone silent: a fresh one tells.
    const {address} = attempt.target;
    const fresh = await this.#host.connections.open(address, connection);
    return fresh && (await this.#install(fresh, newer)) ? fresh : undefined;
  }

  async #install(
    connection: SidecarConnection,
    configuration: Uint8Array,
  ): Promise<boolean> {
    const limit = this.#host.limits.firstFrameAfterMs;
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
      revision: this.#host.heldRevision(),
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
          this.#host.revokeTimeoutMs,
        )
      : 'lost';
    this.#receive({kind: 'revoked', attemptId, outcome});
  }

  /**
   * A stream that ends looks to the sidecar like a lost connection, whose
   * attempt it keeps for a router that comes back. So it is told to give up an
   * abandoned attempt; should that get lost, its own time limit does.
   *
   * The stream of an attempt that was answered for good is left to end by
   * itself: its frames no longer count.
   */
  #close({attempt, abandoned}: ActionOf<'close'>): void {
    if (abandoned) {
      this.#guard(this.#giveUp(attempt));
      this.#stream?.cancel();
    }
    this.#stream = undefined;
    this.#connection = undefined;
  }

  async #giveUp({attemptId, target}: Attempt): Promise<void> {
    const {connections, revokeTimeoutMs} = this.#host;
    const connection = await connections.open(target.address);
    if (!connection) return;
    const {incarnation} = target;
    await revokeAttempt(connection, attemptId, incarnation, revokeTimeoutMs);
  }

  #end(): void {
    this.#sink.end();
    this.#host.noteDone(this, undefined);
  }

  #fail(failure: Failure): void {
    const complete = this.#host.completeFailure(failure, this.#now());
    this.#sink.fail(complete);
    this.#host.noteDone(this, complete);
  }

  /** Frames wait in the connection while the caller can take no more. */
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
    if (blocked) this.#stream?.pause();
    else this.#stream?.resume();
    this.#receive({kind: 'blocked', blocked});
  }
}
