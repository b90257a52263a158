/**
 * Relays the frames of an answer to the caller.
 */
import {AnswerAssembler} from './router_answer.js';
import {type ChunkBody, type EndBody} from './router_frames.js';
import {type Attempt, type RequestAction} from './router_request_types.js';

const DEFAULT_STATUS = 200;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** The result of relaying a piece of the answer. */
export type RelayVerdict = 'delivered' | 'dropped' | 'gap';

/** The result of relaying the end marker. */
export type RelayEnd = 'whole' | 'truncated' | 'overlong';

interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
}

/** Relays one answer by emitting actions for the runner. */
export class AnswerRelay {
  readonly #answer = new AnswerAssembler();
  readonly #push: (action: RequestAction) => void;
  #begun = false;

  constructor(push: (action: RequestAction) => void) {
    this.#push = push;
  }

  /** @returns true when a part of the answer was sent to the caller */
  get begun(): boolean {
    return this.#begun;
  }

  /** @returns number of bytes of the answer that were sent to the caller */
  get deliveredBytes(): number {
    return this.#answer.deliveredBytes;
  }

  /**
   * @param attempt the attempt that the piece belongs to
   * @param body the piece
   * @returns what was done with the piece
   */
  relay(attempt: Attempt, body: ChunkBody): RelayVerdict {
    const {attemptId, target} = attempt;
    const source = {attemptId, incarnation: target.incarnation};
    const verdict = this.#answer.accept(source, body.offset, body.data);
    if (verdict.kind === 'gap') return 'gap';
    if (verdict.kind === 'duplicate') {
      this.#push({kind: 'drop', reason: 'duplicate'});
      return 'dropped';
    }
    if (verdict.kind === 'foreign') {
      this.#push({kind: 'drop', reason: 'foreignGeneration'});
      return 'dropped';
    }
    this.#begin(body);
    this.#push({kind: 'write', data: verdict.data});
    return 'delivered';
  }

  /**
   * @param body the end marker
   * @returns whether the answer is complete; only then is it ended
   */
  end(body: EndBody): RelayEnd {
    const verdict = this.#answer.finish(body.totalBytes);
    if (verdict !== 'whole') return verdict;
    this.#begin(body);
    this.#push({kind: 'end'});
    return verdict;
  }

  #begin(head: AnswerHead): void {
    if (this.#begun) return;
    this.#begun = true;
    const status = head.status || DEFAULT_STATUS;
    const contentType = head.contentType || DEFAULT_CONTENT_TYPE;
    this.#push({kind: 'begin', status, contentType});
  }
}
