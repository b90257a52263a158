/**
 * One connection of an HTTP server.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {dropInput} from './http_parser_feed.js';

/** Longest time for which a closed connection is read, milliseconds. */
const LINGER_MS = 1_000;

export interface Connection {
  /** Whether a request has arrived. */
  isUsed: boolean;
  /** Responses that are not delivered. */
  readonly open: Set<ServerResponse>;
  /** The newest request. */
  newest: IncomingMessage | undefined;
  /** Whether a request has arrived since the last piece of input. */
  hasArrived: boolean;
  /** When it was accepted or its last response delivered, monotonic ms. */
  quietSince: number;
  /** Bytes that had arrived when the last response was delivered. */
  bytesAnswered: number;
  /** The response that has announced the close. */
  last: ServerResponse | undefined;
  /** Whether its end may be the end of a response. */
  resetsWhenCut: boolean;
  isClosing: boolean;
}

/** @param now current time, monotonic milliseconds */
export function makeConnection(now: number): Connection {
  return {
    isUsed: false,
    open: new Set<ServerResponse>(),
    newest: undefined,
    hasArrived: false,
    quietSince: now,
    bytesAnswered: 0,
    last: undefined,
    resetsWhenCut: false,
    isClosing: false,
  };
}

/** @returns whether this is the response to the newest of these requests */
export function isLast(
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
export function closeInOrder(socket: Socket, connection: Connection): void {
  if (connection.isClosing || socket.destroyed) return;
  connection.isClosing = true;
  dropInput(socket);
  socket.end();
  const limit = setTimeout(() => socket.destroy(), LINGER_MS).unref();
  socket.once('close', () => {
    clearTimeout(limit);
  });
}

/**
 * Has a connection end with a reset whenever it is destroyed within a response.
 * A response to HTTP/1.0 without a length ends with its connection, so that one
 * that is cut would look complete after an orderly close.
 */
export function resetWhenCut(socket: Socket, connection: Connection): void {
  if (connection.resetsWhenCut) return;
  connection.resetsWhenCut = true;
  const destroy = socket.destroy.bind(socket);
  socket.destroy = err => {
    socket.destroy = destroy;
    // A connection that is shutting down can't be reset any more.
    const isCut = !socket.writableEnded && hasBegun(connection);
    return isCut ? socket.resetAndDestroy() : destroy(err);
  };
}

function hasBegun({open}: Connection): boolean {
  return [...open].some(res => res.headersSent && !res.writableFinished);
}
