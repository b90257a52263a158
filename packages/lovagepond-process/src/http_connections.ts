/**
 * Tracks the connections of an HTTP server, within its limits, and closes them so
 * that no response is cut.
 *
 * Node takes a connection for idle once `end()` was called for its response,
 * even if bytes of it wait in the process, and destroys it. A destroyed
 * connection is reset by bytes that arrive later, and the operating system then
 * drops what its peer has not received.
 */
import {
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {type Logger} from '@lovagepond/core';
import {
  closeInOrder,
  type Connection,
  isLast,
  makeConnection,
  resetWhenCut,
} from './http_connection.js';
import {ConnectionLimits} from './http_connection_limits.js';
import {DEFAULT_HTTP_LIMITS} from './http_limits.js';
import {dropInput, feedParser} from './http_parser_feed.js';

const STATUS_BAD_REQUEST = 400;

/**
 * Time in which the next request may follow a response that has not announced the
 * close, milliseconds. On a closed connection it could not be answered.
 */
const NEXT_REQUEST_MS = 100;

/** Tracks the connections of one server and their undelivered responses. */
export class HttpConnections {
  readonly #server: Server;
  readonly #connections = new Map<Socket, Connection>();
  /** Applied to all connections. */
  readonly limits: ConnectionLimits;
  readonly #deliveryListeners: (() => void)[] = [];
  #undelivered = 0;
  #closesIdle = false;
  #closesUnused = false;

  /**
   * @param server a server that doesn't listen yet, made with
   *     `HTTP_SERVER_OPTIONS`
   * @param limits bounds for its peers
   * @param log logs which limit has closed connections
   */
  constructor(server: Server, limits = DEFAULT_HTTP_LIMITS, log?: Logger) {
    this.#server = server;
    const open = this.#connections;
    this.limits = new ConnectionLimits(server, limits, open, log);
    server.on('connection', (socket: Socket) => {
      this.#add(socket);
    });
    server.prependListener('request', (req, res) => {
      this.#noteRequest(req, res);
    });
  }

  /** Responses of which bytes wait in the process or are still to come. */
  get undelivered(): number {
    return this.#undelivered;
  }

  /**
   * @param listener called for each request within the limits that can be
   *     answered
   */
  onRequest(listener: RequestListener): void {
    this.#server.on('request', (req, res) => {
      if (this.isTooLate(req, res)) req.resume();
      else if (hasHost(req)) listener(req, res);
      else refuseWithoutHost(res);
    });
  }

  /**
   * @param req a request
   * @param res its response
   * @returns true if the request exceeds a limit, or its connection was closed or
   *     the close announced before it arrived, so that it must not be run and
   *     can't be answered
   */
  isTooLate({socket}: IncomingMessage, res: ServerResponse): boolean {
    const connection = this.#connections.get(socket);
    return connection !== undefined && !connection.open.has(res);
  }

  /**
   * Must be asked before a response announces that it closes its connection.
   * Node sends no response after such a one.
   *
   * @param res the response
   * @returns false if later requests have arrived on its connection; otherwise
   *     further ones are too late
   */
  mayClose(res: ServerResponse): boolean {
    const connection = this.#connections.get(res.req.socket);
    if (!connection) return true;
    if (connection.last === undefined && isLast(res, connection.open)) {
      connection.last = res;
    }
    return connection.last === res;
  }

  /**
   * Closes each connection that has no undelivered response and no partly
   * received request: now, and shortly after each delivery of a response.
   *
   * @param closesUnused whether to close connections on which no request has
   *     arrived, too
   */
  closeIdle(closesUnused = true): void {
    this.#closesIdle = true;
    this.#closesUnused = closesUnused;
    for (const [socket, connection] of this.#connections) {
      this.#closeIfIdle(socket, connection);
    }
  }

  /**
   * Accepts no new connections. Unlike `Server.close` this leaves the open ones
   * alone, and their time limits for slow senders in force.
   *
   * @returns resolves when all connections are closed
   */
  stopListening(): Promise<void> {
    return new Promise(resolve => {
      NetServer.prototype.close.call(this.#server, () => {
        resolve();
      });
    });
  }

  /** Responses that are not delivered. */
  *openResponses(): Generator<ServerResponse> {
    for (const {open} of this.#connections.values()) yield* open;
  }

  /**
   * Answers bytes that are no request, and closes their connection. An answer
   * within the response to an earlier request would be a part of that.
   *
   * @param socket the connection
   * @param text the whole answer; if there is none, the connection is cut
   * @returns whether the answer is sent
   */
  answerUnparsable(socket: Socket, text: string | undefined): boolean {
    const connection = this.#connections.get(socket);
    const isBusy = !connection || connection.open.size > 0;
    if (isBusy || text === undefined || !socket.writable) {
      socket.destroy();
      return false;
    }
    socket.write(text);
    closeInOrder(socket, connection);
    return true;
  }

  /** @returns resolves when no response is undelivered */
  whenDelivered(): Promise<void> {
    if (this.#undelivered === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.#deliveryListeners.push(resolve);
    });
  }

  #add(socket: Socket): void {
    const now = performance.now();
    if (!this.limits.admit(socket, now)) return;
    const connection = makeConnection(now);
    this.#connections.set(socket, connection);
    feedParser(socket, {
      isReceivingBody: () => connection.newest?.complete === false,
      onHeadPiece: bytes => {
        this.#noteHeadPiece(socket, connection, bytes);
      },
    });
    // Called by Node after a response that announced the close.
    socket.destroySoon = () => {
      closeInOrder(socket, connection);
    };
    socket.once('close', () => {
      this.#connections.delete(socket);
      this.limits.noteHeadEnd(socket);
      // Node closes no response that waits behind another one.
      for (const res of connection.open) {
        this.#noteEnded(socket, connection, res);
      }
    });
  }

  #noteHeadPiece(socket: Socket, connection: Connection, bytes: number): void {
    if (!connection.hasArrived) {
      this.limits.noteIncompleteHead(socket, bytes, performance.now());
      return;
    }
    connection.hasArrived = false;
    this.limits.noteHeadEnd(socket);
  }

  #noteRequest(req: IncomingMessage, res: ServerResponse): void {
    const {socket} = req;
    const connection = this.#connections.get(socket);
    if (!connection || socket.destroyed) return;
    connection.newest = req;
    connection.hasArrived = true;
    if (connection.isClosing || connection.last) {
      // Node keeps each of these until the connection closes.
      dropInput(socket);
      return;
    }
    connection.isUsed = true;
    const now = performance.now();
    if (!this.limits.admitRequest(socket, connection, now)) return;
    if (req.httpVersion === '1.0') resetWhenCut(socket, connection);
    connection.open.add(res);
    this.#undelivered += 1;
    // Emitted once the operating system has taken the last byte, or the
    // connection is lost.
    res.once('close', () => {
      this.#noteEnded(socket, connection, res);
    });
  }

  #noteEnded(
    socket: Socket,
    connection: Connection,
    res: ServerResponse,
  ): void {
    if (!connection.open.delete(res)) return;
    this.limits.noteEnded(connection);
    connection.bytesAnswered = socket.bytesRead;
    connection.quietSince = performance.now();
    if (connection.newest?.complete) connection.newest = undefined;
    this.#undelivered -= 1;
    if (this.#closesIdle && !socket.destroyed) {
      const close = (): void => {
        this.#closeIfIdle(socket, connection);
      };
      setTimeout(close, NEXT_REQUEST_MS).unref();
    }
    if (this.#undelivered > 0) return;
    for (const listener of this.#deliveryListeners.splice(0)) listener();
  }

  #closeIfIdle(socket: Socket, connection: Connection): void {
    if (connection.isClosing || connection.open.size > 0) return;
    if (!connection.isUsed && !this.#closesUnused) return;
    if (socket.bytesRead > connection.bytesAnswered) return;
    closeInOrder(socket, connection);
  }
}

function hasHost({httpVersion, headers}: IncomingMessage): boolean {
  return headers.host !== undefined || httpVersion !== '1.1';
}

function refuseWithoutHost(res: ServerResponse): void {
  const headers = {'Content-Length': 0, Connection: 'close'};
  res.writeHead(STATUS_BAD_REQUEST, headers).end();
}
