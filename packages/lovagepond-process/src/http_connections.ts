/**
 * Closes the connections of an HTTP server so that no response is cut.
 *
 * Node takes a connection for idle once `end()` was called for its response,
 * even if bytes of it wait in the process, and destroys it. A destroyed
 * connection is reset by bytes that arrive later, and the operating system then
 * drops what its peer has not received.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';

/** Longest time for which a closed connection is read, milliseconds. */
const LINGER_MS = 1_000;

/**
 * Time in which the next request may follow a response that has not announced the
 * close, milliseconds. On a closed connection it could not be answered.
 */
const NEXT_REQUEST_MS = 100;

interface Connection {
  /** Whether a request has arrived. */
  isUsed: boolean;
  /** Responses that are not delivered. */
  readonly open: Set<ServerResponse>;
  /** Bytes that had arrived when the last response was delivered. */
  bytesAnswered: number;
  /** The response that has announced the close. */
  last: ServerResponse | undefined;
  isClosing: boolean;
}

/** Tracks the connections of one server and their undelivered responses. */
export class HttpConnections {
  readonly #server: Server;
  readonly #connections = new Map<Socket, Connection>();
  readonly #deliveryListeners: (() => void)[] = [];
  #undelivered = 0;
  #closesIdle = false;
  #closesUnused = false;

  /** @param server a server that doesn't listen yet */
  constructor(server: Server) {
    this.#server = server;
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
   * @param req a request
   * @param res its response
   * @returns true if the connection was closed, or its close announced, before
   *     the request arrived, so that the request must not be run and can't be
   *     answered
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

  /** @returns resolves when no response is undelivered */
  whenDelivered(): Promise<void> {
    if (this.#undelivered === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.#deliveryListeners.push(resolve);
    });
  }

  #add(socket: Socket): void {
    const connection: Connection = {
      isUsed: false,
      open: new Set<ServerResponse>(),
      bytesAnswered: 0,
      last: undefined,
      isClosing: false,
    };
    this.#connections.set(socket, connection);
    // Called by Node after a response that announced the close.
    socket.destroySoon = () => {
      closeInOrder(socket, connection);
    };
    socket.once('close', () => {
      this.#connections.delete(socket);
      // Node closes no response that waits behind another one.
      for (const res of connection.open) {
        this.#noteEnded(socket, connection, res);
      }
    });
  }

  #noteRequest({socket}: IncomingMessage, res: ServerResponse): void {
    const connection = this.#connections.get(socket);
    if (!connection || connection.isClosing || connection.last) return;
    connection.isUsed = true;
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
    connection.bytesAnswered = socket.bytesRead;
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

function isLast(
  res: ServerResponse,
  open: ReadonlySet<ServerResponse>,
): boolean {
  return [...open].at(-1) === res;
}

/**
 * Closes a connection after its last byte. The peer may send more before it
 * sees the close. What arrives is read and dropped, as unread bytes would reset
 * the connection.
 */
function closeInOrder(socket: Socket, connection: Connection): void {
  if (connection.isClosing || socket.destroyed) return;
  connection.isClosing = true;
  socket.end();
  const limit = setTimeout(() => socket.destroy(), LINGER_MS).unref();
  socket.once('close', () => {
    clearTimeout(limit);
  });
}
