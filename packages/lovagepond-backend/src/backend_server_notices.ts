/**
 * What a backend server says about itself in its responses, whatever they
 * answer: a run, a probe, an order or a transfer.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {readPauseMs, type Unregister} from '@lovagepond/core';
import {ENGINE_HEADER} from './backend_engine_protocol.js';

export interface ServerNotice {
  /** Time for which the server wants no requests, milliseconds; 0 for none. */
  readonly pauseMs: number;
  /** The server is about to exit. */
  readonly isLeaving: boolean;
}

export type ServerNoticeListener = (notice: ServerNotice) => void;

/** Listeners to the notices of one server. */
export class ServerNotices {
  readonly #listeners = new Set<ServerNoticeListener>();

  /**
   * @param listener called with each notice
   * @returns a function that removes the listener
   */
  register(listener: ServerNoticeListener): Unregister {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /**
   * @param status status of a response
   * @param headers its headers
   */
  read(status: number, headers: IncomingHttpHeaders): void {
    const pauseMs = readPauseMs(status, headers['retry-after']);
    const isLeaving = headers[ENGINE_HEADER.LEAVING] === '1';
    if (pauseMs === 0 && !isLeaving) return;
    for (const listener of this.#listeners) listener({pauseMs, isLeaving});
  }
}
