/**
 * Requests whose response is not completely delivered.
 */
import {type ServerResponse} from 'node:http';
import {type Clock, type LogFields, type Logger} from '@lovagepond/core';
import {type CallerChannel} from './gateway_caller_channel.js';

/** What an open request waits for. */
export const REQUEST_PHASE = {
  /** The rest of its body, or the decision whether it is admitted. */
  RECEIVING: 'receiving',
  /** A server, a permit or a retry. */
  WAITING: 'waiting',
  /** The server's response: the request was sent. */
  SENT: 'sent',
  /** The rest of the server's response. */
  RESPONDING: 'responding',
  /** The caller, which has not read all of the complete response. */
  DELIVERING: 'delivering',
} as const;

export type RequestPhase = (typeof REQUEST_PHASE)[keyof typeof REQUEST_PHASE];

/** The part of an exchange that is described. */
export interface ExchangeState {
  readonly phase: RequestPhase;
  /** Name of the server of the last attempt. */
  readonly server: string | undefined;
}

/** One open request. */
export interface OpenRequest {
  readonly requestId: string;
  readonly res: ServerResponse;
  readonly caller: CallerChannel;
  /** When its head arrived, monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Undefined until the request is admitted and its body complete. */
  exchange: {describe(): ExchangeState} | undefined;
}

/** Log lines on requests that the end of the process cuts. */
const MAX_LOGGED = 100;

function describe(open: OpenRequest, now: number): LogFields {
  const {requestId, res, caller, arrivedAt, exchange} = open;
  const {phase, server} = exchange?.describe() ?? {
    phase: REQUEST_PHASE.RECEIVING,
    server: undefined,
  };
  return {
    request: requestId,
    phase: caller.isOver ? REQUEST_PHASE.DELIVERING : phase,
    server,
    status: caller.status,
    bytesWaiting: res.writableLength,
    ageMs: Math.round(now - arrivedAt),
  };
}

/** Whether the operating system has taken the whole response. */
function hasResponse({caller, res}: OpenRequest): boolean {
  return caller.isOver && res.writableLength === 0;
}

export class OpenRequests {
  readonly #deps: {readonly clock: Clock; readonly log: Logger};
  readonly #open = new Set<OpenRequest>();
  #onNone: (() => void) | undefined;

  /** @param deps the clock, and the log for responses that are not delivered */
  constructor(deps: {readonly clock: Clock; readonly log: Logger}) {
    this.#deps = deps;
  }

  get size(): number {
    return this.#open.size;
  }

  /**
   * Requests whose response is not delivered. Those that were refused while their
   * body is still being sent are open, but have theirs.
   */
  get unfinished(): number {
    return [...this.#open].filter(open => !hasResponse(open)).length;
  }

  /** @param open removed once its response is delivered or its caller is gone */
  add(open: OpenRequest): void {
    this.#open.add(open);
    const {res} = open;
    const {socket} = res.req;
    const onClosed = (): void => {
      res.off('close', onClosed);
      socket.off('close', onClosed);
      this.#open.delete(open);
      this.#noteClosed(open);
      if (this.#open.size === 0) this.#onNone?.();
    };
    res.on('close', onClosed);
    // Node closes no response that waits behind another one.
    socket.on('close', onClosed);
  }

  /** @returns resolves once no request is open */
  async whenNone(): Promise<void> {
    if (this.#open.size === 0) return;
    await new Promise<void>(resolve => {
      this.#onNone = resolve;
    });
  }

  /** Logs the requests that are about to be cut, with a limit on the lines. */
  logCut(): void {
    const {log, clock} = this.#deps;
    const now = clock.now();
    const cut = [...this.#open].filter(open => !hasResponse(open));
    for (const open of cut.slice(0, MAX_LOGGED)) {
      log.warn('request cut by the end of the process', describe(open, now));
    }
  }

  #noteClosed(open: OpenRequest): void {
    const {res} = open;
    if (!res.writableEnded || res.writableFinished) return;
    const {log, clock} = this.#deps;
    log.info('response not delivered', describe(open, clock.now()));
  }
}
