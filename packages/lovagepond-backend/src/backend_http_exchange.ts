/**
 * One HTTP exchange with a backend server, exact about whether any byte of the
 * request may have left.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {invariant} from '@lovagepond/core';

/** How an exchange was lost. */
export const LOSS = {
  /** No connection could be made. */
  UNREACHABLE: 'unreachable',
  /** The connection stands, but nothing came for too long. */
  SILENT: 'silent',
  /** The connection broke. */
  BROKEN: 'broken',
  /** This side gave the exchange up. */
  ABORTED: 'aborted',
} as const;

/** One of the values of {@link LOSS}. */
export type Loss = (typeof LOSS)[keyof typeof LOSS];

/** What an exchange yields; `complete` or `lost` is the last. */
export type ExchangeEvent =
  /** From here bytes of the request may have reached the server. */
  | {readonly kind: 'dispatched'}
  | {
      readonly kind: 'head';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
    }
  | {readonly kind: 'chunk'; readonly bytes: Buffer}
  | {readonly kind: 'complete'}
  | {readonly kind: 'lost'; readonly loss: Loss; readonly dispatched: boolean};

/** A request as undici takes it. */
export interface ExchangeRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** Longest time until the head, and between two chunks. */
  readonly silenceMs: number;
}

const SILENT_ERRORS = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/** Answer bytes kept while the reader is busy, before the socket is paused. */
const MAX_KEPT_BYTES = 256 * 1024;

/**
 * Runs one request and yields what becomes of it. Undici repeats nothing here:
 * with a pipelining of 1 it retries only requests whose bytes never left, and a
 * second start of this one breaks it off.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  readonly #events: ExchangeEvent[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #notifyReader: (() => void) | undefined;
  #keptBytes = 0;
  #dispatched = false;
  #ended = false;
  #aborted = false;
  #detached = false;

  /**
   * @param dispatcher where to send it
   * @param request what to send
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

  /** True once bytes of the request may have left. */
  get dispatched(): boolean {
    return this.#dispatched;
  }

  /** Gives the exchange up; before its dispatch it will never be sent. */
  abort(): void {
    if (this.#ended) return;
    this.#aborted = true;
    this.#controller?.abort(new Error('given up'));
    this.#fail(LOSS.ABORTED);
  }

  /**
   * Takes no more events, but lets the exchange end by itself, so that its
   * connection can be used again.
   */
  detach(): void {
    this.#detached = true;
    this.#controller?.resume();
  }

  /** @returns the events; ending the iteration early aborts the exchange */
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
    // Undici calls this right before it writes the head. A second call means
    // that it sends the request again after a lost connection: a call that may
    // have run once would run twice. Breaking off leaves the outcome open,
    // which is the truth.
    if (this.#dispatched || this.#aborted) {
      controller.abort(new Error('sent only once'));
      this.#fail(this.#aborted ? LOSS.ABORTED : LOSS.BROKEN);
      return;
    }
    this.#controller = controller;
    this.#dispatched = true;
    this.#push({kind: 'dispatched'});
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
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
    // A reader slower than the server would have the answer pile up here. The
    // paused socket makes the server wait in its turn.
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
    invariant(this.#keptBytes >= 0, 700, 'more bytes released than kept');
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
