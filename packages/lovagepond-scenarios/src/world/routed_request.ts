/**
 * One caller's request in a router's real state machine. The scenario replaces
 * the sidecars: its steps inject the frames.
 */
import {type Failure, makeFailure} from '@lovagepond/core';
import {
  type Attempt,
  DEFAULT_ROUTER_SETTINGS,
  type FrameBody,
  type RequestAction,
  type RequestEvent,
  RequestMachine,
  type RevokeOutcome,
} from '@lovagepond/router';
import {type Timeline} from './timeline.js';

/** One offer of an attempt to a sidecar. */
export interface SentOffer {
  readonly attempt: Attempt;
  readonly resumeFrom: number;
  readonly freshConnection: boolean;
}

/** Attempt and incarnation of a frame; those of the open attempt if unset. */
export interface FrameSource {
  readonly attemptId?: string;
  readonly incarnation?: string;
}

type ActionHandlers = {
  readonly [Kind in RequestAction['kind']]: (
    action: Extract<RequestAction, {kind: Kind}>,
  ) => void;
};

const SERVERS = ['engine-1', 'engine-2', 'engine-3', 'engine-4'];
const DEADLINE_MS = 30_000;
const TICK_MS = 25;
const PIECE_COUNT = 3;
const REQUEST_ID = 'request-1';

/** Records what the caller receives and what the sidecars are sent. */
export class RoutedRequest {
  readonly offers: SentOffer[] = [];
  readonly revokes: Attempt[] = [];
  deliveredText = '';
  ended = false;
  failure: Failure | undefined;
  answer = '';
  /** The sidecars' answer to a revoke; undefined for no answer. */
  revokeOutcome: RevokeOutcome | undefined;
  readonly #machine: RequestMachine;
  readonly #timeline: Timeline;
  readonly #handlers: ActionHandlers;

  constructor(timeline: Timeline) {
    this.#timeline = timeline;
    const facts = {
      requestId: REQUEST_ID,
      nonRepeatable: false,
      deadline: timeline.now + DEADLINE_MS,
    };
    this.#machine = new RequestMachine(facts, DEFAULT_ROUTER_SETTINGS);
    this.#handlers = this.#makeHandlers();
    this.#perform(this.#machine.start());
    timeline.repeat(TICK_MS, () => {
      this.receive({kind: 'tick'});
    });
  }

  /** The attempt that was sent last. */
  get lastOffer(): SentOffer {
    const last = this.offers.at(-1);
    if (!last) throw new Error('no attempt was sent');
    return last;
  }

  /** @param event an event at the current time */
  receive(event: RequestEvent): void {
    this.#perform(this.#machine.receive(event, this.#timeline.now));
  }

  /**
   * @param body content of the frame
   * @param source its sender; the open attempt by default
   */
  frame(body: FrameBody, source: FrameSource = {}): void {
    const {attempt} = this.lastOffer;
    const {attemptId = attempt.attemptId} = source;
    const {incarnation = attempt.target.incarnation} = source;
    const frame = {
      attemptId,
      incarnation,
      revision: 0,
      runningTokens: 0,
      queuedTokens: 0,
      body,
    };
    this.receive({kind: 'frame', frame});
  }

  /**
   * @param number 1 to 3
   * @param source its sender; the open attempt by default
   * @param text the whole answer that is split into pieces
   */
  piece(number: number, source: FrameSource = {}, text = this.answer): void {
    const size = Math.ceil(text.length / PIECE_COUNT);
    const offset = (number - 1) * size;
    const data = Buffer.from(text.slice(offset, offset + size));
    const contentType = 'text/plain';
    this.frame({kind: 'chunk', offset, data, status: 200, contentType}, source);
  }

  /** Injects the end frame of the whole answer. */
  end(): void {
    const totalBytes = Buffer.byteLength(this.answer);
    this.frame({kind: 'end', totalBytes, status: 200, contentType: ''});
  }

  /**
   * @param number 0 to 3
   * @returns the end offset of that piece
   */
  endOfPiece(number: number): number {
    const size = Math.ceil(this.answer.length / PIECE_COUNT);
    return Math.min(number * size, this.answer.length);
  }

  #perform(actions: readonly RequestAction[]): void {
    for (const action of actions) this.#handlers[action.kind](action as never);
  }

  #makeHandlers(): ActionHandlers {
    return {
      place: action => {
        this.#place(action.excluded, action.preferred);
      },
      offer: ({attempt, resumeFrom, freshConnection}) => {
        this.offers.push({attempt, resumeFrom, freshConnection});
        this.receive({kind: 'sent', attemptId: attempt.attemptId});
      },
      revoke: ({attempt}) => {
        this.revokes.push(attempt);
        this.#answerRevoke(attempt.attemptId);
      },
      close: () => undefined,
      begin: () => undefined,
      write: ({data}) => {
        this.deliveredText += Buffer.from(data).toString();
      },
      end: () => {
        this.ended = true;
      },
      fail: ({failure}) => {
        this.failure = failure;
      },
      install: () => undefined,
      evidence: () => undefined,
      drop: () => undefined,
    };
  }

  /** Answers the last revoke with `revokeOutcome`, if it is set. */
  answerRevoke(): void {
    const last = this.revokes.at(-1);
    if (!last) throw new Error('no attempt was revoked');
    this.#answerRevoke(last.attemptId);
  }

  #answerRevoke(attemptId: string): void {
    const outcome = this.revokeOutcome;
    if (outcome) this.receive({kind: 'revoked', attemptId, outcome});
  }

  #place(excluded: ReadonlySet<string>, preferred: string | undefined): void {
    const candidates = SERVERS.filter(name => !excluded.has(name));
    const backendServer = preferred ?? candidates[0];
    if (backendServer === undefined) {
      const failure = makeFailure('noBackendServer');
      this.receive({kind: 'notPlaced', failure});
      return;
    }
    const incarnation = `${backendServer}-1`;
    const target = {backendServer, incarnation, address: backendServer};
    this.receive({kind: 'placed', target, nonRepeatable: false});
  }
}
