/**
 * One attempt at one backend server: sends the request and checks that what
 * comes back is this request's answer.
 */
import {type Dispatcher} from 'undici';
import {type GatewayConnections} from './gateway_connections.js';
import {type GatewayHeaderNames} from './gateway_headers.js';
import {type ServerState} from './gateway_server_state.js';

/** The request as it goes to the server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

/** An answer's head. */
export interface ResponseHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Why an attempt brought no whole answer. */
export type AttemptFailure =
  | {
      readonly kind: 'unsent';
      readonly reason: string;
      /** Nothing listens at the server's address. */
      readonly isRefused: boolean;
    }
  | {readonly kind: 'notRun'; readonly status: number}
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** The server's end of the connection is gone. */
      readonly isLost: boolean;
    };

/** Hears how the attempt goes; after `failed` or `ended` nothing more. */
export interface AttemptListener {
  onHead(head: ResponseHead): void;
  /** @returns false to stop reading until `resume` */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFailed(failure: AttemptFailure): void;
}

/** Another server than the one named in the request lives at the address. */
export const STATUS_MISDIRECTED = 421;
const FIRST_FINAL_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

type Controller = Dispatcher.DispatchController;

function toTexts(raw: Controller['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map(item => item.toString('latin1' as never));
}

/** Runs until the answer is whole, broken or no longer wanted. */
export class Attempt {
  readonly state: ServerState;
  readonly #names: GatewayHeaderNames;
  readonly #listener: AttemptListener;
  readonly #requestId: string;
  #controller: Controller | undefined;
  #notRunStatus: number | undefined;
  /** The answer has no length: the end of its connection ends it. */
  #isCloseDelimited = false;
  #isSent = false;
  #isOver = false;
  #release: () => void = () => undefined;
  #discard: () => void = () => undefined;
  #wasReset: () => boolean = () => false;

  /**
   * @param state the server
   * @param names the header names in use
   * @param requestId what the answer must echo
   * @param listener hears how it goes
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

  /** True when the answer's end can't be told from its server's. */
  get isCloseDelimited(): boolean {
    return this.#isCloseDelimited;
  }

  /** True once a byte of the request may have reached the server. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /**
   * @param req what to send
   * @param connections where to take the connection from
   */
  start(req: OutgoingRequest, connections: GatewayConnections): void {
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

  /** Goes on reading. */
  resume(): void {
    this.#controller?.resume();
  }

  /** Ends the attempt and its connection; the listener hears nothing more. */
  abort(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#discard();
  }

  #handler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: controller => {
        this.#controller = controller;
        if (!this.#isOver) this.#isSent = true;
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
    this.#isCloseDelimited =
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    // A second answer to an earlier request may arrive where this one's is due.
    if (headers[this.#names.requestId] !== this.#requestId) {
      this.#fail({
        kind: 'broken',
        reason: 'answer to another request',
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
      this.#fail({kind: 'broken', reason: 'no signature', isLost: false});
      return;
    }
    this.#listener.onHead(head);
  }

  #onEnd(): void {
    if (this.#isOver) return;
    if (this.#isCloseDelimited && this.#wasReset()) {
      const reason = 'reset before the end';
      this.#fail({kind: 'broken', reason, isLost: true});
      return;
    }
    this.#isOver = true;
    this.#release();
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
