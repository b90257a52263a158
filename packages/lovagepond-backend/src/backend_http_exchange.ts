/**
 * One HTTP exchange with a backend server. It records whether any byte of the
 * request may have been sent.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {FIRST_FINAL_STATUS, invariant, LAST_STATUS} from '@lovagepond/core';
import {type ServerNotices} from './backend_server_notices.js';

/** Reasons why an exchange failed. */
export const LOSS = {
  /** No connection could be established. */
  UNREACHABLE: 'unreachable',
  /** The connection is open, but no data arrived within the timeout. */
  SILENT: 'silent',
  /** The connection was closed or reset. */
  BROKEN: 'broken',
  /** This side aborted the exchange. */
  ABORTED: 'aborted',
} as const;

export type Loss = (typeof LOSS)[keyof typeof LOSS];

/** Events of an exchange; the last one is `complete` or `lost`. */
export type ExchangeEvent =
  /** From now on bytes of the request may have reached the server. */
  | {readonly kind: 'dispatched'}
  | {
      readonly kind: 'head';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
    }
  | {readonly kind: 'chunk'; readonly bytes: Buffer}
  | {readonly kind: 'complete'}
  | {readonly kind: 'lost'; readonly loss: Loss; readonly dispatched: boolean};

/** A request to a backend server. */
export interface ExchangeRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** Timeout for the response head and between two chunks, milliseconds. */
  readonly silenceMs: number;
}

const SILENT_ERRORS = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/** Response bytes buffered for a slow reader before the socket is paused. */
const MAX_KEPT_BYTES = 256 * 1024;

/**
 * Sends one request and yields its events. Undici never sends a request twice
 * here: with a pipelining of 1 it retries only requests of which no byte was
 * sent, and the exchange aborts when undici starts its request a second time.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  readonly #notices: ServerNotices | undefined;
  readonly #events: ExchangeEvent[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #notifyReader: (() => void) | undefined;
  /** Response bytes that no reader has taken, also those dropped on detach. */
  #keptBytes = 0;
  #dispatched = false;
  #ended = false;
  #aborted = false;
  #detached = false;

  /** @param notices gets what the response says about its server */
  constructor(notices?: ServerNotices) {
    this.#notices = notices;
  }

  /**
   * @param dispatcher the connection or pool to use
   * @param request the request to send
   */
  start(dispatcher: Dispatcher, request: ExchangeRequest): void {
    const {silenceMs, body, ...rest} = request;
    const options = {
      ...rest,
      body: body ?? null,
      headersTimeout: silenceMs,
      bodyTimeout: silenceMs,
    };
    try {
      dispatcher.dispatch(options, this);
    } catch {
      this.#fail(LOSS.UNREACHABLE);
    }
  }

  /** True once bytes of the request may have been sent. */
  get dispatched(): boolean {
    return this.#dispatched;
  }

  /** Aborts the exchange. A request not yet dispatched is never sent. */
  abort(): void {
    if (this.#ended) return;
    this.#aborted = true;
    this.#controller?.abort(new Error('exchange aborted'));
    this.#fail(LOSS.ABORTED);
  }

  /**
   * Drops the rest of the response, so that its connection can be reused. A
   * rest that exceeds `MAX_KEPT_BYTES` aborts the exchange instead.
   */
  detach(): void {
    this.#detached = true;
    this.#controller?.resume();
  }

  /**
   * @returns the events; ending the iteration early aborts the exchange, unless
   *     it is detached
   */
  async *events(): AsyncGenerator<ExchangeEvent, void> {
    try {
      for (;;) {
        const event = this.#events.shift();
        if (!event) {
          if (this.#ended) return;
          await new Promise<void>(resolve => (this.#notifyReader = resolve));
          continue;
        }
        if (event.kind === 'chunk') this.#release(event.bytes.length);
        yield event;
      }
    } finally {
      if (!this.#detached) this.abort();
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // Undici calls this right before it writes the head. A second call resends
    // the request after a lost connection. The server may already have run it,
    // so the exchange aborts and reports an unknown outcome.
    if (this.#dispatched || this.#aborted) {
      controller.abort(new Error('request must not be sent twice'));
      this.#fail(this.#aborted ? LOSS.ABORTED : LOSS.BROKEN);
      return;
    }
    this.#controller = controller;
    this.#dispatched = true;
    this.#push({kind: 'dispatched'});
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    if (status > LAST_STATUS) {
      controller.abort(new Error(`invalid status ${status}`));
      this.#fail(LOSS.BROKEN);
      return;
    }
    this.#notices?.read(status, headers);
    this.#push({kind: 'head', status, headers});
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    bytes: Buffer,
  ): void {
    this.#keptBytes += bytes.length;
    if (this.#detached) {
      if (this.#keptBytes > MAX_KEPT_BYTES) this.abort();
      return;
    }
    // Backpressure: with a slow reader, the buffer would grow without limit.
    if (this.#keptBytes > MAX_KEPT_BYTES) controller.pause();
    this.#push({kind: 'chunk', bytes});
  }

  onResponseEnd(): void {
    this.#push({kind: 'complete'});
    this.#ended = true;
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    err: NodeJS.ErrnoException,
  ): void {
    if (!this.#dispatched) this.#fail(LOSS.UNREACHABLE);
    else this.#fail(lossOf(err));
  }

  #release(bytes: number): void {
    this.#keptBytes -= bytes;
    invariant(this.#keptBytes >= 0, 700, 'more bytes released than buffered');
    const paused = this.#controller?.paused === true;
    if (paused && this.#keptBytes <= MAX_KEPT_BYTES) this.#controller?.resume();
  }

  #fail(loss: Loss): void {
    if (this.#ended) return;
    this.#push({kind: 'lost', loss, dispatched: this.#dispatched});
    this.#ended = true;
  }

  #push(event: ExchangeEvent): void {
    if (this.#ended) return;
    this.#events.push(event);
    this.#notifyReader?.();
    this.#notifyReader = undefined;
  }
}

function lossOf(err: NodeJS.ErrnoException): Loss {
  return SILENT_ERRORS.has(err.code ?? '') ? LOSS.SILENT : LOSS.BROKEN;
}
