/**
 * Ends the responses and connections of an HTTP server in order, so that a stop
 * cuts no response and no reset overtakes one.
 */
import {
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type DrainResult, type Logger} from '@lovagepond/core';
import {HttpConnections} from './http_connections.js';
import {type HttpLimits} from './http_limits.js';

/**
 * Time in which the rest of a request is read and discarded after its response,
 * milliseconds.
 */
const LINGER_MS = 500;

/**
 * Time for the rest of a request after a response that keeps the connection,
 * milliseconds.
 */
const REST_LIMIT_MS = 1_000;

/** A response that is sent at once. */
export interface WholeResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/**
 * Sends a response. If the request's body is not complete, its rest is read and
 * discarded for a short time before the connection closes: a close that meets
 * unread bytes resets the connection, and the reset may overtake the response.
 *
 * Does nothing when a response was sent before or the connection is closed.
 *
 * @param req the request
 * @param res its response
 * @param response what to send
 */
export function sendWhole(
  req: IncomingMessage,
  res: ServerResponse,
  {status, headers, text}: WholeResponse,
): void {
  if (res.headersSent || res.destroyed) return;
  const length = {'content-length': String(Buffer.byteLength(text))};
  if (req.complete) {
    res.writeHead(status, {...headers, ...length}).end(text);
    return;
  }
  res.on('error', () => undefined);
  res.writeHead(status, {...headers, ...length, connection: 'close'});
  res.write(text);
  const finish = (): void => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(finish, LINGER_MS);
  req.once('end', finish);
  res.once('close', () => {
    clearTimeout(timer);
  });
  req.resume();
}

/**
 * Closes the connection of a request whose body goes on after its response.
 *
 * @param req a request with a response that doesn't need its body
 */
export function limitRest(req: IncomingMessage): void {
  if (req.complete) return;
  const close = (): void => {
    if (!req.complete) req.socket.destroySoon();
  };
  setTimeout(close, REST_LIMIT_MS).unref();
}

/** Delivers the responses of a server that stops. */
export class ResponseDelivery {
  readonly #connections: HttpConnections;
  #draining = false;

  /**
   * @param server the server, not listening yet, made with
   *     `HTTP_SERVER_OPTIONS`
   * @param limits bounds for its clients
   * @param log logs which limit has closed connections
   */
  constructor(server: Server, limits: HttpLimits, log?: Logger) {
    this.#connections = new HttpConnections(server, limits, log);
  }

  /** @param listener called for each request that can be answered */
  onRequest(listener: RequestListener): void {
    this.#connections.onRequest((req, res) => {
      if (this.#draining) announceClose(res);
      listener(req, res);
    });
  }

  /**
   * Stops listening, and lets each connection end after its response.
   *
   * @param limitMs the maximum wait, milliseconds
   * @returns the number of responses that are not delivered
   */
  async drain(limitMs: number): Promise<DrainResult> {
    this.#draining = true;
    void this.#connections.stopListening();
    for (const res of this.#connections.openResponses()) announceClose(res);
    this.#connections.closeIdle();
    await Promise.race([
      this.#connections.whenDelivered(),
      sleep(limitMs, undefined, {ref: false}),
    ]);
    return {unfinished: this.#connections.undelivered};
  }
}

function announceClose(res: ServerResponse): void {
  if (!res.headersSent) res.setHeader('connection', 'close');
}
