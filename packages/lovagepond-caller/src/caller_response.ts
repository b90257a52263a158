/**
 * Writes one response to a caller: buffered, or streamed with backpressure.
 */
import {type ServerResponse} from 'node:http';
import {
  answerFor,
  type Failure,
  makeFailure,
  type Unregister,
} from '@lovagepond/core';
import {EVENT_STREAM_TYPE} from './caller_constants.js';
import {
  encodeCallerError,
  encodeErrorEvent,
  errorHeaders,
} from './caller_errors.js';
import {type ResponseHeaders, type ResponseSink} from './caller_types.js';

export interface ResponseLimits {
  readonly maxWholeAnswerBytes: number;
  readonly maxBufferedBytes: number;
  readonly readerTimeoutMs: number;
}

interface ResponseHead {
  readonly status: number;
  readonly contentType: string;
  readonly headers: ResponseHeaders;
}

const DEFAULT_HEAD: ResponseHead = {
  status: 200,
  contentType: 'application/json',
  headers: {},
};
const DONE_EVENT = 'data: [DONE]\n\n';

/** A {@link ResponseSink} over Node's `ServerResponse`. */
export class HttpResponseSink implements ResponseSink {
  readonly #res: ServerResponse;
  readonly #stream: boolean;
  readonly #limits: ResponseLimits;
  readonly #cancelListeners = new Set<(failure: Failure) => void>();
  readonly #drainWaiters: (() => void)[] = [];
  #head = DEFAULT_HEAD;
  #chunks: Uint8Array[] = [];
  #bufferedBytes = 0;
  #cancelled: Failure | undefined;
  #finished = false;
  #readerTimer: NodeJS.Timeout | undefined;

  /**
   * @param res Node's response
   * @param stream whether the caller requested a streamed response
   * @param limits limits of the response and its buffers
   */
  constructor(res: ServerResponse, stream: boolean, limits: ResponseLimits) {
    this.#res = res;
    this.#stream = stream;
    this.#limits = limits;
    // A write during a disconnect emits an error. The close event already
    // cancels the request, so the error can be ignored.
    res.on('error', () => {});
    res.on('drain', () => {
      this.#releaseWriters();
    });
    res.on('close', () => {
      if (!res.writableFinished) this.#cancel(makeFailure('callerGone'));
      this.#releaseWriters();
    });
  }

  get closed(): boolean {
    return this.#finished || this.#cancelled !== undefined;
  }

  get begun(): boolean {
    return this.#res.headersSent;
  }

  begin(
    status: number,
    contentType: string,
    headers: ResponseHeaders = {},
  ): void {
    if (this.closed || this.begun) return;
    this.#head = {status, contentType, headers};
    if (!this.#stream) return;
    this.#writeHead({'cache-control': 'no-store'});
    this.#res.flushHeaders();
  }

  async write(chunk: Uint8Array): Promise<void> {
    if (this.closed) return;
    if (!this.#stream) {
      this.#bufferChunk(chunk);
      return;
    }
    if (!this.begun) this.begin(200, EVENT_STREAM_TYPE);
    if (this.#res.write(chunk)) return;
    // The producer awaits the socket, as a slow reader's whole response would
    // otherwise be buffered here. The byte limit covers a producer that does
    // not await, and the time limit a caller that has stopped reading.
    if (this.#res.writableLength > this.#limits.maxBufferedBytes) {
      this.#disconnectSlowReader();
      return;
    }
    await this.#drained();
  }

  end(): void {
    if (this.closed) return;
    if (!this.#stream) {
      this.#sendBuffered();
      return;
    }
    if (!this.begun) this.begin(200, EVENT_STREAM_TYPE);
    this.#finish(this.#isEventStream() ? DONE_EVENT : '');
  }

  fail(failure: Failure): void {
    if (this.closed) return;
    if (!this.begun) {
      this.#sendError(failure);
      return;
    }
    if (this.#isEventStream()) {
      this.#finish(encodeErrorEvent(failure));
      return;
    }
    // Other media types can't carry an error event. Closing the connection
    // without the last chunk shows that the response is incomplete.
    this.#finished = true;
    this.#clear();
    this.#res.destroy();
  }

  onCancel(listener: (failure: Failure) => void): Unregister {
    if (this.#cancelled) {
      listener(this.#cancelled);
      return () => {};
    }
    this.#cancelListeners.add(listener);
    return () => {
      this.#cancelListeners.delete(listener);
    };
  }

  /** True if the caller was disconnected for reading too slowly. */
  get wasSlowReader(): boolean {
    return this.#cancelled?.message === SLOW_READER;
  }

  #isEventStream(): boolean {
    return this.#head.contentType.startsWith(EVENT_STREAM_TYPE);
  }

  #writeHead(extra: ResponseHeaders): void {
    const {status, contentType, headers} = this.#head;
    this.#res.writeHead(status, {
      ...headers,
      ...extra,
      'content-type': contentType,
    });
  }

  #bufferChunk(chunk: Uint8Array): void {
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes > this.#limits.maxWholeAnswerBytes) {
      const message =
        'The answer is larger than one that is not streamed may be.';
      this.fail(makeFailure('backendFailed', {message}));
      return;
    }
    this.#chunks.push(chunk);
  }

  #sendBuffered(): void {
    const body = Buffer.concat(this.#chunks, this.#bufferedBytes);
    this.#writeHead({'content-length': String(body.length)});
    this.#finish(body);
  }

  #sendError(failure: Failure): void {
    const body = encodeCallerError(failure);
    this.#res.writeHead(answerFor(failure.kind).status, {
      ...errorHeaders(failure),
      'content-length': String(Buffer.byteLength(body)),
    });
    this.#finish(body);
  }

  #finish(last: string | Uint8Array): void {
    this.#finished = true;
    this.#chunks = [];
    this.#cancelListeners.clear();
    this.#res.end(last);
    // The end of the response may still be buffered for a reader that has
    // stopped. The timer keeps its connection from staying open indefinitely.
    if (this.#res.writableLength > 0) this.#startReaderTimer();
  }

  #drained(): Promise<void> {
    this.#startReaderTimer();
    return new Promise(resolve => {
      this.#drainWaiters.push(resolve);
    });
  }

  #startReaderTimer(): void {
    this.#readerTimer ??= setTimeout(() => {
      this.#disconnectSlowReader();
    }, this.#limits.readerTimeoutMs);
  }

  #disconnectSlowReader(): void {
    this.#cancel(makeFailure('callerGone', {message: SLOW_READER}));
    this.#res.destroy();
  }

  #releaseWriters(): void {
    clearTimeout(this.#readerTimer);
    this.#readerTimer = undefined;
    for (const release of this.#drainWaiters.splice(0)) release();
  }

  #cancel(failure: Failure): void {
    if (this.#cancelled) return;
    this.#cancelled = failure;
    const listeners = [...this.#cancelListeners];
    this.#clear();
    if (this.#finished) return;
    for (const listener of listeners) listener(failure);
  }

  #clear(): void {
    this.#cancelListeners.clear();
    this.#chunks = [];
    this.#releaseWriters();
  }
}

const SLOW_READER = 'The caller read its answer too slowly.';
