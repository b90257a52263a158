/**
 * One caller's request in a router's real state machine. The scenario plays
 * the sidecars: it says which frames arrive.
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

/** One sending of an attempt. */
export interface SentOffer {
  readonly attempt: Attempt;
  readonly resumeFrom: number;
  readonly freshConnection: boolean;
}

/** Names another attempt or incarnation than the open one. */
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

/** What the caller sees, and what the sidecars are sent. */
export class RoutedRequest {
  readonly offers: SentOffer[] = [];
  readonly revokes: Attempt[] = [];
  deliveredText = '';
  ended = false;
  failure: Failure | undefined;
  answer = '';
  /** What a sidecar answers to a take-back; undefined leaves it open. */
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

  /** @param event what happened, now */
  receive(event: RequestEvent): void {
    this.#perform(this.#machine.receive(event, this.#timeline.now));
  }

  /**
   * @param body what the frame says
   * @param source whom it comes from; the open attempt by default
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
   * @param source whom it comes from; the open attempt by default
   * @param text the whole answer it is a piece of
   */
  piece(number: number, source: FrameSource = {}, text = this.answer): void {
    const size = Math.ceil(text.length / PIECE_COUNT);
    const offset = (number - 1) * size;
    const data = Buffer.from(text.slice(offset, offset + size));
    const contentType = 'text/plain';
    this.frame({kind: 'chunk', offset, data, status: 200, contentType}, source);
  }

  /** The end of the whole answer arrives. */
  end(): void {
    const totalBytes = Buffer.byteLength(this.answer);
    this.frame({kind: 'end', totalBytes, status: 200, contentType: ''});
  }

  /**
   * @param number 0 to 3
   * @returns the offset at which that piece ends
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
        this.#place(action.excluded, action.wanted);
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

  /** Answers a take-back as the scenario said, if it did. */
  answerRevoke(): void {
    const last = this.revokes.at(-1);
    if (!last) throw new Error('nothing was taken back');
    this.#answerRevoke(last.attemptId);
  }

  #answerRevoke(attemptId: string): void {
    const outcome = this.revokeOutcome;
    if (outcome) this.receive({kind: 'revoked', attemptId, outcome});
  }

  #place(excluded: ReadonlySet<string>, wanted: string | undefined): void {
    const candidates = SERVERS.filter(name => !excluded.has(name));
    const backendServer = wanted ?? candidates[0];
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
