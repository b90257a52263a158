/**
 * Runs one request: does what its state machine asks for and reports back.
 */
import {type AnswerSink, type CallerRequest} from '@lovagepond/caller';
import {type Clock, type Failure, type Unregister} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {
  type SidecarConnection,
  type SidecarConnections,
} from './router_connections.js';
import {type Eligible} from './router_eligibility.js';
import {type Frame} from './router_frames.js';
import {RequestMachine} from './router_request.js';
import {isReturning} from './router_request_estimate.js';
import {
  type Attempt,
  type AttemptTarget,
  type DropReason,
  type RequestAction,
  type RequestEvent,
  type RequestLimits,
  type RequestState,
} from './router_request_types.js';
import {type Chosen} from './router_server_choice.js';
import {
  type AttemptStream,
  installConfiguration,
  openAttempt,
  revokeAttempt,
} from './router_sidecar_calls.js';

/** A backend server chosen by the configuration in force. */
export interface Placed extends Chosen {
  readonly eligible: Eligible;
}

/** What the runner asks when a backend server is to be chosen. */
export interface PlacementQuery {
  readonly runner: RequestRunner;
  readonly excluded: ReadonlySet<string>;
  readonly wanted: string | undefined;
  readonly retryOf: Failure | undefined;
  /** A pointer, hand-over or other redirection is followed. */
  readonly isHop: boolean;
}

/** What the router's shared parts do for one request. */
export interface RunnerHost {
  readonly clock: Clock;
  readonly connections: SidecarConnections;
  readonly limits: RequestLimits;
  readonly revokeTimeoutMs: number;
  readonly installTimeoutMs: number;
  /** @returns the server to try, or why there is none */
  place(query: PlacementQuery, now: number): Placed | Failure;
  /** @returns the held configuration's revision */
  heldRevision(): number;
  /**
   * @returns the held configuration's bytes when the sidecar is known to hold
   *     an older one, else undefined
   */
  configurationFor(target: AttemptTarget): Uint8Array | undefined;
  install(configuration: Uint8Array): void;
  noteFrame(runner: RequestRunner, frame: Frame, now: number): void;
  noteEvidence(
    target: AttemptTarget,
    evidence: 'silent' | 'unreachable',
    now: number,
  ): void;
  noteDrop(reason: DropReason): void;
  /** @returns the failure with a time to come back where it lacks one */
  completeFailure(failure: Failure, now: number): Failure;
  noteDone(runner: RequestRunner, failure: Failure | undefined): void;
}

/** More than this waits for the caller: frames are no longer taken in. */
const MAX_UNWRITTEN_BYTES = 64 * 1024;

type ActionHandlers = {
  readonly [Kind in RequestAction['kind']]: (
    action: Extract<RequestAction, {kind: Kind}>,
  ) => void;
};

/** One request in flight. */
export class RequestRunner {
  readonly request: CallerRequest;
  /** The request's prompt holds an earlier answer of its chat. */
  readonly returning: boolean;
  readonly #host: RunnerHost;
  #eligible: Eligible;
  readonly #sink: AnswerSink;
  readonly #machine: RequestMachine;
  #placed: Placed | undefined;
  #stream: AttemptStream | undefined;
  /** The connection used last for the open attempt. */
  #connection: SidecarConnection | undefined;
  #unwrittenBytes = 0;
  #blocked = false;
  #unregister: Unregister = () => {};

  readonly #handlers: ActionHandlers = {
    place: action => {
      this.#place(action);
    },
    offer: action => {
      void this.#offer(action);
    },
    revoke: action => {
      void this.#revoke(action);
    },
    cancel: () => {
      this.#stream?.cancel();
      this.#stream = undefined;
      this.#connection = undefined;
    },
    begin: ({status, contentType}) => {
      this.#sink.begin(status, contentType);
    },
    write: ({data}) => {
      void this.#write(data);
    },
    end: () => {
      this.#sink.end();
      this.#host.noteDone(this, undefined);
    },
    fail: ({failure}) => {
      const complete = this.#host.completeFailure(failure, this.#now());
      this.#sink.fail(complete);
      this.#host.noteDone(this, complete);
    },
    install: ({configuration}) => {
      this.#host.install(configuration);
    },
    evidence: ({target, evidence}) => {
      this.#host.noteEvidence(target, evidence, this.#now());
    },
    drop: ({reason}) => {
      this.#host.noteDrop(reason);
    },
  };

  constructor(
    host: RunnerHost,
    request: CallerRequest,
    eligible: Eligible,
    sink: AnswerSink,
  ) {
    this.request = request;
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

  #perform(actions: readonly RequestAction[]): void {
    for (const action of actions) this.#handlers[action.kind](action as never);
  }

  #place(action: Extract<RequestAction, {kind: 'place'}>): void {
    const {excluded, wanted, retryOf} = action;
    const isHop = this.#placed !== undefined && retryOf === undefined;
    const query = {runner: this, excluded, wanted, retryOf, isHop};
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

  async #offer(action: Extract<RequestAction, {kind: 'offer'}>): Promise<void> {
    const {attempt, freshConnection} = action;
    const connection = await this.#connectForOffer(attempt, freshConnection);
    if (!this.#isOpen(attempt)) return;
    const {attemptId} = attempt;
    if (!connection) {
      this.#receive({kind: 'connectFailed', attemptId});
      return;
    }
    this.#stream?.cancel();
    this.#connection = connection;
    this.#receive({kind: 'sent', attemptId});
    const message = this.#makeMessage(action);
    const listener = {
      onFrame: (frame: Frame) => {
        this.#host.noteFrame(this, frame, this.#now());
        this.#receive({kind: 'frame', frame});
      },
      onEnd: () => {
        this.#stream = undefined;
        this.#receive({kind: 'broken', attemptId});
      },
    };
    this.#stream = openAttempt(connection, message, listener);
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
    const limit = this.#host.installTimeoutMs;
    const held = await installConfiguration(connection, newer, limit);
    return held === undefined ? undefined : connection;
  }

  #isOpen(attempt: Attempt): boolean {
    return this.#machine.attempt?.attemptId === attempt.attemptId;
  }

  #makeMessage(
    action: Extract<RequestAction, {kind: 'offer'}>,
  ): lovagepond.v1.AttemptRequest.$Properties {
    const {attempt, resumeFrom, handOvers} = action;
    const {request} = this;
    const {workspace, requestKind} = this.#eligible;
    const left = Math.max(0, request.deadline - this.#now());
    const {firstChoice, poolMeanTokens = 0} = this.#placed ?? {};
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
      resumeFrom,
      contentType: request.contentType,
      poolMeanTokens,
      handOvers,
    };
  }

  async #revoke(
    action: Extract<RequestAction, {kind: 'revoke'}>,
  ): Promise<void> {
    const {attempt, freshConnection} = action;
    const {attemptId, target} = attempt;
    const connection = await this.#connect(attempt, freshConnection);
    if (connection) this.#connection = connection;
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
