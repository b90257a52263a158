/**
 * One run of a request on a model engine over HTTP.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type ErrorKind, type Failure, makeFailure} from '@lovagepond/core';
import {AnswerAssembly, toStreamingRequest} from './backend_answer_assembly.js';
import {AnswerCheck} from './backend_answer_check.js';
import {ENGINE_HEADER} from './backend_engine_protocol.js';
import {EventParser} from './backend_event_parser.js';
import {type HttpBackendClient} from './backend_http_client.js';
import {type HttpExchange, type Loss, LOSS} from './backend_http_exchange.js';
import {type EngineEvent, type EngineRequest} from './backend_model_engine.js';

const MAX_EVENT_BYTES = 256 * 1024;
const MAX_WHOLE_BYTES = 4 * 1024 * 1024;
const MAX_ERROR_BYTES = 512;
const WHOLE_CHUNK_BYTES = 64 * 1024;
const HTTP_OK = 200;

/** Error kinds for a failure after the dispatch: the request may have run. */
const LOSS_KINDS: Readonly<Record<Loss | 'truncated', ErrorKind>> = {
  [LOSS.UNREACHABLE]: 'backendFailed',
  [LOSS.SILENT]: 'backendSilent',
  [LOSS.BROKEN]: 'backendFailed',
  [LOSS.ABORTED]: 'callerGone',
  truncated: 'answerTruncated',
};

/** Error kinds for an abort before the dispatch: the request was not run. */
const NOT_DISPATCHED: Readonly<Record<string, ErrorKind>> = {
  callerGone: 'revoked',
  deadlineExceeded: 'deadlineUnreachable',
};

/** HTTP statuses with which an engine rejects a request without running it. */
const REFUSALS: Readonly<Record<number, ErrorKind>> = {
  400: 'badRequest',
  404: 'notFound',
  413: 'payloadTooLarge',
  422: 'badRequest',
  429: 'overloaded',
  503: 'overloaded',
};

/** Outcome of the run on one connection. */
type ConnectionOutcome =
  | {readonly kind: 'whole'}
  | {readonly kind: 'failed'; readonly failure: Failure}
  | {readonly kind: 'lost'; readonly loss: Loss | 'truncated'};

function refuseResume(reconnected: boolean): ConnectionOutcome {
  if (reconnected) return {kind: 'lost', loss: 'truncated'};
  return {kind: 'failed', failure: makeFailure('answerTruncated')};
}

/** Runs one request, on up to two connections. */
export class HttpEngineRun {
  readonly #client: HttpBackendClient;
  readonly #request: EngineRequest;
  readonly #check: AnswerCheck;
  readonly #parser = new EventParser(MAX_EVENT_BYTES);
  readonly #assembly: AnswerAssembly | undefined;
  #exchange: HttpExchange | undefined;
  #abortKind: ErrorKind | undefined;
  /** Bytes of the engine's events received so far. */
  #received: number;
  /** Bytes of the answer yielded so far. */
  #offset: number;
  #dispatched = false;
  #started = false;
  #concluded = false;

  /**
   * @param client HTTP client for the engine
   * @param request the request to run
   */
  constructor(client: HttpBackendClient, request: EngineRequest) {
    this.#client = client;
    this.#request = request;
    this.#check = new AnswerCheck(request.requestId);
    this.#assembly = request.stream ? undefined : new AnswerAssembly();
    this.#offset = request.stream ? request.resumeFrom : 0;
    this.#received = this.#offset;
  }

  /** True when the engine may still work on an aborted or unfinished run. */
  get isAbandoned(): boolean {
    const unwanted = this.#abortKind !== undefined || !this.#concluded;
    return this.#dispatched && unwanted;
  }

  /** @param kind error kind of the run if it was already dispatched */
  abort(kind: ErrorKind): void {
    this.#abortKind ??= kind;
    this.#exchange?.abort();
  }

  /** @returns the run's events */
  async *events(): AsyncGenerator<EngineEvent, void> {
    const body = this.#assembly
      ? toStreamingRequest(this.#request.body)
      : this.#request.body;
    if (!body) {
      yield this.#failure('badRequest');
      return;
    }
    let end = yield* this.#runConnection(body, false);
    // The fault may be in the connection: when a device on the network path has
    // dropped its state, it stays silent forever. A new one resumes from the
    // delivered offset. The engine rejects the request when it can't resume the
    // generation of that id, so that two generations are never joined.
    if (end.kind === 'lost' && this.#canResume()) {
      this.#parser.reset();
      const second = yield* this.#runConnection(body, true);
      if (second.kind !== 'lost') end = second;
    }
    this.#concluded = true;
    yield* this.#conclude(end);
  }

  #canResume(): boolean {
    return this.#dispatched && this.#abortKind === undefined;
  }

  *#conclude(end: ConnectionOutcome): Generator<EngineEvent, void> {
    if (end.kind === 'whole') {
      if (this.#assembly) yield* this.#dataEvents(this.#assembly.encode());
      const {usage} = this.#check;
      yield {kind: 'end', totalBytes: this.#offset, usage};
    } else if (end.kind === 'failed') {
      yield {kind: 'failed', failure: end.failure};
    } else if (!this.#dispatched) {
      yield this.#failure(
        NOT_DISPATCHED[this.#abortKind ?? ''] ?? 'unreachable',
      );
    } else {
      yield this.#failure(this.#abortKind ?? LOSS_KINDS[end.loss]);
    }
  }

  async *#runConnection(
    body: Uint8Array,
    fresh: boolean,
  ): AsyncGenerator<EngineEvent, ConnectionOutcome> {
    if (this.#abortKind) return {kind: 'lost', loss: LOSS.ABORTED};
    const isRetry = this.#dispatched;
    const exchange = this.#send(body, fresh);
    let status = 0;
    const refusal: Buffer[] = [];
    for await (const event of exchange.events()) {
      if (event.kind === 'dispatched' && !isRetry) {
        this.#dispatched = true;
        yield {kind: 'dispatched'};
      } else if (event.kind === 'head') {
        status = event.status;
        if (!this.#confirmsOffset(event.headers)) return refuseResume(isRetry);
      } else if (event.kind === 'lost') {
        return {kind: 'lost', loss: event.loss};
      } else if (event.kind === 'chunk' && status !== HTTP_OK) {
        if (refusal.length === 0) refusal.push(event.bytes);
      } else if (event.kind === 'chunk') {
        const end = yield* this.#processChunk(event.bytes);
        if (end?.kind === 'whole') exchange.detach();
        if (end) return end;
      }
    }
    if (status === HTTP_OK) return {kind: 'lost', loss: 'truncated'};
    return this.#handleErrorStatus(status, Buffer.concat(refusal), isRetry);
  }

  /**
   * The engine must return the requested offset. If it can't resume, it would
   * generate the answer again from its start, and the caller would get two
   * generations as one answer.
   */
  #confirmsOffset(headers: IncomingHttpHeaders): boolean {
    if (this.#received === 0) return true;
    return headers[ENGINE_HEADER.RESUME_FROM] === String(this.#received);
  }

  #send(body: Uint8Array, fresh: boolean): HttpExchange {
    const request = this.#request;
    const exchange = this.#client.send(
      {
        method: 'POST',
        path: request.path,
        headers: {
          'content-type': request.contentType,
          accept: 'text/event-stream',
          [ENGINE_HEADER.REQUEST_ID]: request.requestId,
          [ENGINE_HEADER.PRIORITY]: String(request.priority),
          [ENGINE_HEADER.WORKSPACE]: request.workspace,
          [ENGINE_HEADER.CHAT]: request.chat,
          [ENGINE_HEADER.RESUME_FROM]: String(this.#received),
        },
        body,
        silenceMs: this.#client.settings.silenceMs,
      },
      fresh,
    );
    this.#exchange = exchange;
    return exchange;
  }

  *#processChunk(
    bytes: Buffer,
  ): Generator<EngineEvent, ConnectionOutcome | undefined> {
    const events = this.#parser.push(bytes);
    if (!events) return this.#engineFailed('An event is larger than allowed.');
    for (const event of events) {
      // An aborted run forwards nothing, even if its answer arrives later.
      if (this.#abortKind) return {kind: 'lost', loss: LOSS.ABORTED};
      const verdict = this.#check.inspect(event);
      if (verdict.kind === 'fail') {
        return {kind: 'failed', failure: verdict.failure};
      }
      if (verdict.kind === 'whole') return {kind: 'whole'};
      if (verdict.kind === 'skip') continue;
      if (!this.#started) yield this.#start();
      this.#received += event.bytes.length;
      if (!this.#assembly) {
        yield* this.#dataEvents(event.bytes);
        continue;
      }
      if (this.#received > MAX_WHOLE_BYTES) {
        return this.#engineFailed('The answer is larger than allowed.');
      }
      this.#assembly.add(verdict.content);
    }
    return undefined;
  }

  #start(): EngineEvent {
    this.#started = true;
    return {
      kind: 'started',
      status: HTTP_OK,
      contentType: this.#assembly ? 'application/json' : 'text/event-stream',
      cachedTokens: this.#check.usage.cachedTokens,
    };
  }

  *#dataEvents(bytes: Buffer): Generator<EngineEvent, void> {
    for (let at = 0; at < bytes.length; at += WHOLE_CHUNK_BYTES) {
      const part = bytes.subarray(at, at + WHOLE_CHUNK_BYTES);
      yield {kind: 'data', offset: this.#offset, bytes: part};
      this.#offset += part.length;
    }
  }

  #engineFailed(message: string): ConnectionOutcome {
    return {
      kind: 'failed',
      failure: makeFailure('backendFailed', {message}),
    };
  }

  #handleErrorStatus(
    status: number,
    body: Buffer,
    isRetry: boolean,
  ): ConnectionOutcome {
    const text = body.toString('utf8', 0, MAX_ERROR_BYTES);
    const message = `The engine answered ${status}: ${text}`;
    // The rejection applies only to this connection. If the request was sent on
    // another connection before, it may have run there.
    if (isRetry) return {kind: 'lost', loss: LOSS.BROKEN};
    const kind = REFUSALS[status];
    if (kind === undefined) return this.#engineFailed(message);
    return {kind: 'failed', failure: makeFailure(kind, {message})};
  }

  #failure(kind: ErrorKind): EngineEvent {
    return {kind: 'failed', failure: makeFailure(kind)};
  }
}
