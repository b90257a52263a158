/**
 * One attempt at one backend server: sends the request and verifies that the
 * response belongs to it.
 */
import {FIRST_FINAL_STATUS, LAST_STATUS} from '@lovagepond/core';
import {type Dispatcher} from 'undici';
import {type GatewayConnections} from './gateway_connections.js';
import {
  type GatewayHeaderNames,
  readServerSignals,
  type ServerSignals,
} from './gateway_headers.js';
import {type ServerState} from './gateway_server_state.js';

/** The request as it goes to the server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

export interface ResponseHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Why an attempt did not yield a complete response. */
export type AttemptFailure =
  | {
      readonly kind: 'unsent';
      readonly reason: string;
      /** The server's address refused the connection. */
      readonly isRefused: boolean;
    }
  /** The server stopped accepting requests while the connection opened. */
  | {readonly kind: 'withheld'; readonly reason: string}
  | {readonly kind: 'notRun'; readonly status: number}
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** The connection was lost, so the server's process may have ended. */
      readonly isLost: boolean;
    };

/** Receives an attempt's events; `onEnd` or `onFailed` is the last one. */
export interface AttemptListener {
  /**
   * Called right before the request is written to the connection.
   *
   * @returns false if it must not be sent
   */
  maySend(): boolean;
  /**
   * Called when a response without length or chunks has ended in order.
   *
   * @returns true if it is complete, false if the server's exit may have cut it
   */
  isEndComplete(): Promise<boolean>;
  /** Called for each response of the server, whatever comes of the attempt. */
  onServerSignals(signals: ServerSignals): void;
  onHead(head: ResponseHead): void;
  /** @returns false to pause reading until `resume` is called */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFailed(failure: AttemptFailure): void;
}

/** The server at the address is not the instance that the request names. */
export const STATUS_MISDIRECTED = 421;
const FIRST_REDIRECT_STATUS = 300;

type Controller = Dispatcher.DispatchController;

function toTexts(raw: Controller['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map(item => item.toString('latin1' as never));
}

/** Runs until the response is complete, has failed, or is aborted. */
export class Attempt {
  readonly state: ServerState;
  readonly #names: GatewayHeaderNames;
  readonly #listener: AttemptListener;
  readonly #requestId: string;
  #controller: Controller | undefined;
  #notRunStatus: number | undefined;
  /** The response has no length; closing its connection marks its end. */
  #isCloseDelimited = false;
  #isSent = false;
  #isOver = false;
  #release: () => void = () => undefined;
  #discard: () => void = () => undefined;
  #wasReset: () => boolean = () => false;

  /**
   * @param state the server
   * @param names the header names in use
   * @param requestId id that the response must echo
   * @param listener receives the attempt's events
   */
  constructor(
    state: ServerState,
    names: GatewayHeaderNames,
    requestId: string,
    listener: AttemptListener,
  ) {
    this.state = state;
    this.#names = names;
    this.#requestId = requestId;
    this.#listener = listener;
  }

  /** True once a byte of the request may have reached the server. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /**
   * @param req the request to send
   * @param connections the connection pool
   */
  start(req: OutgoingRequest, connections: GatewayConnections): void {
    try {
      this.#dispatch(req, connections);
    } catch (err) {
      // The listener has thrown in a call of its own, after the end.
      if (this.#isOver || this.#isSent) throw err;
      const reason = err instanceof Error ? err.message : String(err);
      this.#fail({kind: 'unsent', reason, isRefused: false});
    }
  }

  #dispatch(req: OutgoingRequest, connections: GatewayConnections): void {
    const connection = connections.acquire(this.state.server);
    this.#release = () => {
      connections.release(connection);
    };
    this.#wasReset = () => connection.wasReset;
    this.#discard = () => {
      connections.discard(connection);
    };
    connection.client.dispatch(
      {
        method: req.method as Dispatcher.HttpMethod,
        path: req.path,
        headers: req.headers,
        body: req.body.length > 0 ? req.body : null,
      },
      this.#handler(),
    );
  }

  resume(): void {
    this.#controller?.resume();
  }

  /** Closes the connection; the listener receives no further events. */
  abort(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#discard();
  }

  #handler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: controller => {
        if (this.#isOver) return;
        if (!this.#listener.maySend()) {
          const reason = 'server stopped accepting requests';
          this.#fail({kind: 'withheld', reason});
          controller.abort(new Error(reason));
          return;
        }
        this.#controller = controller;
        this.#isSent = true;
      },
      onResponseStart: (controller, status, headers) => {
        if (this.#isOver || status < FIRST_FINAL_STATUS) return;
        const rawHeaders = toTexts(controller.rawHeaders);
        this.#onHead({status, rawHeaders, headers});
      },
      onResponseData: (controller, chunk) => {
        if (this.#isOver || this.#notRunStatus !== undefined) return;
        if (!this.#listener.onData(chunk)) controller.pause();
      },
      onResponseEnd: () => {
        this.#onEnd();
      },
      onResponseError: (_controller, err: NodeJS.ErrnoException) => {
        const {code, message: reason} = err;
        const isRefused = code === 'ECONNREFUSED';
        this.#fail(
          this.#isSent
            ? {kind: 'broken', reason, isLost: true}
            : {kind: 'unsent', reason, isRefused},
        );
      },
    };
  }

  #onHead(head: ResponseHead): void {
    const {status, headers} = head;
    if (status > LAST_STATUS) {
      const reason = `response has the invalid status ${status}`;
      this.#fail({kind: 'broken', reason, isLost: false});
      return;
    }
    // Another instance that has taken the address speaks for itself only.
    if (status !== STATUS_MISDIRECTED) {
      const signals = readServerSignals(status, headers, this.#names);
      this.#listener.onServerSignals(signals);
    }
    this.#isCloseDelimited =
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    // A stray second response to an earlier request may arrive on a reused
    // connection.
    if (headers[this.#names.requestId] !== this.#requestId) {
      this.#fail({
        kind: 'broken',
        reason: 'response carries the id of another request',
        isLost: false,
      });
      return;
    }
    const isMarkedNotRun = headers[this.#names.notRun] !== undefined;
    if (isMarkedNotRun || status === STATUS_MISDIRECTED) {
      this.#notRunStatus = status;
      return;
    }
    const isSuccess = status < FIRST_REDIRECT_STATUS;
    if (isSuccess && headers[this.#names.signature] === undefined) {
      this.#fail({
        kind: 'broken',
        reason: 'response has no signature header',
        isLost: false,
      });
      return;
    }
    this.#listener.onHead(head);
  }

  #onEnd(): void {
    if (this.#isOver) return;
    if (this.#isCloseDelimited && this.#wasReset()) {
      const reason = 'connection was reset before the response ended';
      this.#fail({kind: 'broken', reason, isLost: true});
      return;
    }
    const isAnswer = this.#notRunStatus === undefined;
    if (this.#isCloseDelimited && isAnswer) void this.#verifyEnd();
    else this.#complete();
  }

  async #verifyEnd(): Promise<void> {
    const isComplete = await this.#listener.isEndComplete();
    if (this.#isOver) return;
    if (isComplete) {
      this.#complete();
      return;
    }
    const reason = 'server exited at the end of its response';
    this.#fail({kind: 'broken', reason, isLost: true});
  }

  #complete(): void {
    this.#isOver = true;
    if (this.#isCloseDelimited) this.#discard();
    else this.#release();
    const status = this.#notRunStatus;
    if (status === undefined) this.#listener.onEnd();
    else this.#listener.onFailed({kind: 'notRun', status});
  }

  #fail(failure: AttemptFailure): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#discard();
    this.#listener.onFailed(failure);
  }
}
