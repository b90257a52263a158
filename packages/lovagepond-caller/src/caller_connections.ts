/**
 * Handles errors of connections: input that Node's HTTP parser rejects,
 * connections above the limit, and pipelined requests.
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type ErrorKind, makeFailure} from '@lovagepond/core';
import {HEAD_ERROR} from '@lovagepond/process/http_connection_limits';
import {type HttpConnections} from '@lovagepond/process/http_connections';
import {encodeRawResponse} from './caller_errors.js';
import {type CallerRefusals} from './caller_refusals.js';

/** Maps error codes of Node's HTTP parser to error kinds. */
const PARSER_ERRORS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 'payloadTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'senderTooSlow',
  [HEAD_ERROR.NO_ROOM]: 'overloaded',
};

/** Tracks which connections have a request in flight. */
export class CallerConnections {
  readonly #busy = new WeakSet<Duplex>();
  readonly #refusals: CallerRefusals;
  #malformed = 0;
  #refused = 0;

  /** @param refusals counts the requests that Node's HTTP parser rejects */
  constructor(refusals: CallerRefusals) {
    this.#refusals = refusals;
  }

  /**
   * @param server the server whose connections are tracked
   * @param connections its connections, to answer on them
   */
  attach(server: Server, connections: HttpConnections): void {
    server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      const code = err.code ?? '';
      if (code === 'ECONNRESET' || !socket.writable) {
        socket.destroy();
        return;
      }
      this.#malformed += 1;
      const kind = PARSER_ERRORS[code] ?? 'badRequest';
      const answer = encodeRawResponse(makeFailure(kind));
      const isAnswered = connections.answerUnparsable(socket as Socket, answer);
      if (isAnswered) this.#refusals.note(kind);
    });
    server.on('drop', () => {
      this.#refused += 1;
    });
  }

  /**
   * @param socket a request's connection
   * @returns false if another request of this connection is in flight
   */
  tryBeginRequest(socket: Duplex): boolean {
    if (this.#busy.has(socket)) return false;
    this.#busy.add(socket);
    return true;
  }

  /** @param socket a connection whose request has ended */
  endRequest(socket: Duplex): void {
    this.#busy.delete(socket);
  }

  /** Connections that sent malformed, oversized or incomplete HTTP. */
  get malformed(): number {
    return this.#malformed;
  }

  /** Connections refused because of the connection limit. */
  get refused(): number {
    return this.#refused;
  }
}
