/**
 * The way back to one caller: the head once, the body as it comes, one end.
 */
import {type ServerResponse} from 'node:http';
import {
  answerFor,
  type ErrorKind,
  makeFailure,
  type Random,
} from '@lovagepond/core';
import {type ResponseHead} from './gateway_attempt.js';
import {headersForCaller} from './gateway_headers.js';

/** Shortest and longest time after which a refused caller may come back, s. */
const MIN_RETRY_AFTER_S = 0.15;
const MAX_RETRY_AFTER_S = 0.6;

/** Answers one request over Node's response. */
export class CallerChannel {
  readonly #res: ServerResponse;
  readonly #random: Random;
  readonly #closesConnection: () => boolean;
  #isOver = false;

  /**
   * @param res Node's response
   * @param random spreads the times to come back
   * @param closesConnection tells whether connections end with their answer
   */
  constructor(
    res: ServerResponse,
    random: Random,
    closesConnection: () => boolean,
  ) {
    this.#res = res;
    this.#random = random;
    this.#closesConnection = closesConnection;
    res.sendDate = false;
  }

  get headSent(): boolean {
    return this.#res.headersSent;
  }

  /** The status sent; 0 before. */
  get status(): number {
    return this.#res.headersSent ? this.#res.statusCode : 0;
  }

  /** @param listener called when the caller left before the answer's end */
  onDisconnected(listener: () => void): void {
    this.#res.on('close', () => {
      if (!this.#isOver) listener();
    });
  }

  /** @param listener called when the caller takes more again */
  onDrained(listener: () => void): void {
    this.#res.on('drain', listener);
  }

  /** @param head a server's status and headers */
  sendHead({status, rawHeaders}: ResponseHead): void {
    const headers = headersForCaller(rawHeaders);
    if (this.#closesConnection()) headers.push('Connection', 'close');
    this.#res.writeHead(status, headers);
    this.#res.flushHeaders();
  }

  /** @returns false when the caller takes no more for now */
  write(chunk: Buffer): boolean {
    return this.#res.write(chunk);
  }

  /** Ends a whole answer. */
  end(): void {
    this.#isOver = true;
    this.#res.end();
  }

  /** Breaks off, so that the answer doesn't look complete. */
  cut(): void {
    this.#isOver = true;
    this.#res.destroy();
  }

  /**
   * @param error the kind of a failure of this router's own
   * @param notBeforeMs when the caller may come back, where that is known
   */
  refuse(error: ErrorKind, notBeforeMs?: number): void {
    this.#isOver = true;
    const {status, retryable, message} = answerFor(error);
    const jitteredS =
      MIN_RETRY_AFTER_S +
      this.#random.next() * (MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S);
    const retryAfterS = (notBeforeMs ?? 0) / 1_000 + jitteredS;
    const failure = makeFailure(error, {
      message,
      retryAfterMs: retryable ? Math.round(retryAfterS * 1_000) : 0,
    });
    const body = Buffer.from(`${JSON.stringify({error: failure})}\n`);
    const headers = [
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
    ];
    if (retryable) headers.push('Retry-After', retryAfterS.toFixed(2));
    if (this.#closesConnection()) headers.push('Connection', 'close');
    this.#res.writeHead(status, headers);
    this.#res.end(body);
  }
}
