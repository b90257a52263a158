/**
 * Counts the requests that the HTTP listener itself rejects. They never reach
 * the handler, so its counters do not include them.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ErrorKind, type Failure} from '@lovagepond/core';
import {sendErrorAndClose} from './caller_error_response.js';

/** Rejects requests and counts the rejections by error kind. */
export class CallerRefusals {
  readonly #byKind = new Map<ErrorKind, number>();

  /** Rejections since the start, by error kind. */
  get byKind(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#byKind);
  }

  /** @param kind error kind of a rejection whose response is sent elsewhere */
  note(kind: ErrorKind): void {
    this.#byKind.set(kind, (this.#byKind.get(kind) ?? 0) + 1);
  }

  /**
   * @param req the request
   * @param res its response, of which nothing was sent
   * @param failure why the request is rejected
   */
  refuse(req: IncomingMessage, res: ServerResponse, failure: Failure): void {
    this.note(failure.kind);
    sendErrorAndClose(req, res, failure);
  }
}
