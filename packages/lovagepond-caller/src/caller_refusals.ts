/**
 * Refusals of the HTTP front itself: what never reaches the handler, and so
 * is in none of its counts.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ErrorKind, type Failure} from '@lovagepond/core';
import {sendErrorAndClose} from './caller_error_response.js';

/** Answers refusals and counts them by kind. */
export class CallerRefusals {
  readonly #byKind = new Map<ErrorKind, number>();

  /** @returns refusals since the start */
  get byKind(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#byKind);
  }

  /** @param kind why something was refused that is answered elsewhere */
  note(kind: ErrorKind): void {
    this.#byKind.set(kind, (this.#byKind.get(kind) ?? 0) + 1);
  }

  /**
   * @param req the request
   * @param res its response, nothing of it sent yet
   * @param failure why it is refused
   */
  refuse(req: IncomingMessage, res: ServerResponse, failure: Failure): void {
    this.note(failure.kind);
    sendErrorAndClose(req, res, failure);
  }
}
