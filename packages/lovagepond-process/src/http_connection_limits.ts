/**
 * Bounds what the peers of an HTTP server may have it hold.
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {type Logger} from '@lovagepond/core';
import {type Connection} from './http_connection.js';
import {HeadBudget} from './http_head_budget.js';
import {
  HTTP_LIMIT,
  type HttpLimit,
  HttpLimitCounts,
} from './http_limit_counts.js';
import {
  type HttpLimits,
  MAX_HEADS_BYTES,
  MAX_WAITING_BEHIND,
} from './http_limits.js';
import {dropInput} from './http_parser_feed.js';

/** Codes of the errors that a server emits as `clientError`. */
export const HEAD_ERROR = {
  /** As of Node's parser: a head is too large. */
  TOO_LARGE: 'HPE_HEADER_OVERFLOW',
  /** The heads of other connections need the memory. */
  NO_ROOM: 'ERR_HEAD_NO_ROOM',
} as const;

type HeadError = (typeof HEAD_ERROR)[keyof typeof HEAD_ERROR];

const LIMIT_BY_ERROR: Readonly<Record<HeadError, HttpLimit>> = {
  [HEAD_ERROR.TOO_LARGE]: HTTP_LIMIT.HEAD,
  [HEAD_ERROR.NO_ROOM]: HTTP_LIMIT.HEADS,
};

/**
 * Time without a request after which a connection may be closed for another
 * one, milliseconds.
 */
const QUIET_MS = 500;

/**
 * Connections that Node accepts above the limit, so that a quiet one can be
 * closed for them.
 */
const EXTRA_CONNECTIONS = 50;

/** Applies the limits of one server to its connections. */
export class ConnectionLimits {
  readonly #server: Server;
  readonly #limits: HttpLimits;
  readonly #connections: ReadonlyMap<Socket, Connection>;
  readonly #heads = new HeadBudget(MAX_HEADS_BYTES);
  readonly #closed: HttpLimitCounts;
  #maxHeadBytes = Number.POSITIVE_INFINITY;
  #waitingBehind = 0;

  /**
   * @param server the server
   * @param limits bounds for its peers
   * @param connections its open connections
   * @param log logs which limit has closed connections
   */
  constructor(
    server: Server,
    limits: HttpLimits,
    connections: ReadonlyMap<Socket, Connection>,
    log: Logger | undefined,
  ) {
    this.#server = server;
    this.#limits = limits;
    this.#connections = connections;
    this.#closed = new HttpLimitCounts(log);
    if (limits.maxConnections) {
      server.maxConnections = limits.maxConnections + EXTRA_CONNECTIONS;
    }
    this.useUnreadTimeout(limits.unreadTimeoutMs);
    server.on('timeout', (socket: Socket) => {
      this.#onTimeout(socket, performance.now());
    });
  }

  /** Connections closed because of a limit, by limit. */
  get closedByLimit(): Readonly<Record<string, number>> {
    return this.#closed.read();
  }

  /**
   * @param maxBytes limit on the request line and headers of further requests;
   *     a larger head is a `clientError` of the server
   */
  useMaxHeadBytes(maxBytes: number): void {
    this.#maxHeadBytes = maxBytes;
  }

  /** @param timeoutMs see `HttpLimits` */
  useUnreadTimeout(timeoutMs: number): void {
    // The timeout of a connection starts anew with each byte it takes or sends.
    this.#server.timeout = timeoutMs;
  }

  /**
   * Closes a quiet connection if there are too many.
   *
   * @param socket a connection that was just accepted
   * @param now current time, monotonic milliseconds
   * @returns false if it was closed itself, as all others are in use
   */
  admit(socket: Socket, now: number): boolean {
    const {maxConnections = Number.POSITIVE_INFINITY} = this.#limits;
    if (this.#connections.size < maxConnections) return true;
    const quietest = findQuietest(this.#connections, now);
    if (quietest) {
      this.#close(quietest, HTTP_LIMIT.QUIET, now);
      return true;
    }
    this.#close(socket, HTTP_LIMIT.CONNECTIONS, now);
    // As Node does for the connections that it closes itself.
    this.#server.emit('drop', {remotePort: socket.remotePort});
    return false;
  }

  /**
   * Closes the connection if too many requests wait behind others.
   *
   * @param socket the connection of a request that was just parsed
   * @param connection its state, without this request
   * @param now current time, monotonic milliseconds
   * @returns false if it was closed
   */
  admitRequest(socket: Socket, {open}: Connection, now: number): boolean {
    if (open.size === 0) return true;
    if (
      open.size < this.#limits.maxPipelined &&
      this.#waitingBehind < MAX_WAITING_BEHIND
    ) {
      this.#waitingBehind += 1;
      return true;
    }
    this.#close(socket, HTTP_LIMIT.PIPELINED, now);
    return false;
  }

  /** @param connection a connection whose response was delivered or lost */
  noteEnded({open}: Connection): void {
    if (open.size > 0) this.#waitingBehind -= 1;
  }

  /**
   * @param socket a connection
   * @param bytes further bytes of its incomplete head
   * @param now current time, monotonic milliseconds
   */
  noteIncompleteHead(socket: Socket, bytes: number, now: number): void {
    const held = this.#heads.add(socket, bytes);
    if (held > this.#maxHeadBytes) {
      this.#refuseHead(socket, HEAD_ERROR.TOO_LARGE, now);
    }
    const excess = this.#heads.findExcess();
    if (excess) this.#refuseHead(excess, HEAD_ERROR.NO_ROOM, now);
  }

  /** @param socket a connection whose head is complete, or that is closed */
  noteHeadEnd(socket: Socket): void {
    this.#heads.clear(socket);
  }

  #refuseHead(socket: Socket, code: HeadError, now: number): void {
    this.#heads.clear(socket);
    this.#closed.note(LIMIT_BY_ERROR[code], now);
    dropInput(socket);
    const err = Object.assign(new Error('head of a request refused'), {code});
    if (!this.#server.emit('clientError', err, socket)) socket.destroy();
  }

  #close(socket: Socket, limit: HttpLimit, now: number): void {
    this.#closed.note(limit, now);
    socket.destroy();
  }

  /** A connection without a byte may also wait for the response's server. */
  #onTimeout(socket: Socket, now: number): void {
    if (socket.writableLength > 0) this.#close(socket, HTTP_LIMIT.UNREAD, now);
    else if (!this.#connections.get(socket)?.open.size) socket.destroy();
  }
}

/**
 * @param connections all connections
 * @param now current time, monotonic milliseconds
 * @returns the one that has been without a request for the longest time, if any
 *     has for long
 */
function findQuietest(
  connections: ReadonlyMap<Socket, Connection>,
  now: number,
): Socket | undefined {
  let quietest: Socket | undefined;
  let since = now - QUIET_MS;
  for (const [socket, {open, quietSince}] of connections) {
    if (open.size > 0 || quietSince > since) continue;
    quietest = socket;
    since = quietSince;
  }
  return quietest;
}
