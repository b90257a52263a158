/**
 * Bounds and answers on the level of connections: what node's parser rejects,
 * connections above the limit, and more than one request at once on one.
 */
import {type Server} from 'node:http';
import {type Duplex} from 'node:stream';
import {type ErrorKind, makeFailure} from '@lovagepond/core';
import {encodeRawResponse} from './caller_errors.js';
import {type CallerRefusals} from './caller_refusals.js';

/** Node's error codes to kinds of the closed list. */
const PARSER_ERRORS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 'payloadTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'senderTooSlow',
};

/** Tracks which connections have a request in flight. */
export class CallerConnections {
  readonly #busy = new WeakSet<Duplex>();
  readonly #refusals: CallerRefusals;
  #malformed = 0;
  #refused = 0;

  /** @param refusals told of requests that node's parser rejects */
  constructor(refusals: CallerRefusals) {
    this.#refusals = refusals;
  }

  /** @param server the server whose connections are tracked */
  attach(server: Server): void {
    server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.#rejectUnparsable(err.code ?? '', socket);
    });
    server.on('drop', () => {
      this.#refused += 1;
    });
  }

  /**
   * @param socket a request's connection
   * @returns false when another request of this connection is in flight
   */
  tryBeginRequest(socket: Duplex): boolean {
    if (this.#busy.has(socket)) return false;
    this.#busy.add(socket);
    return true;
  }

  /** @param socket a connection whose request has been answered */
  endRequest(socket: Duplex): void {
    this.#busy.delete(socket);
  }

  /** Connections whose bytes were not HTTP within the limits. */
  get malformed(): number {
    return this.#malformed;
  }

  /** Connections refused because the limit was reached. */
  get refused(): number {
    return this.#refused;
  }

  #rejectUnparsable(code: string, socket: Duplex): void {
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    this.#malformed += 1;
    // Text written here would land in the middle of an answer that is still
    // going out on this connection and look like a part of it. Closing cuts
    // only the answer of the caller that sent the malformed bytes.
    if (this.#busy.has(socket)) {
      socket.destroy();
      return;
    }
    const kind = PARSER_ERRORS[code] ?? 'badRequest';
    this.#refusals.note(kind);
    socket.end(encodeRawResponse(makeFailure(kind)));
  }
}
