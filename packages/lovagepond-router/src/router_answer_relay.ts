/**
 * Turns an answer's frames into what goes to the caller.
 */
import {AnswerAssembler} from './router_answer.js';
import {type ChunkBody, type EndBody} from './router_frames.js';
import {type Attempt, type RequestAction} from './router_request_types.js';

const DEFAULT_STATUS = 200;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** What a frame of the answer meant. */
export type RelayVerdict = 'delivered' | 'dropped' | 'gap';

/** What the end marker meant. */
export type RelayEnd = 'whole' | 'truncated' | 'overlong';

interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
}

/** Relays one answer; its actions go to the list it was made with. */
export class AnswerRelay {
  readonly #answer = new AnswerAssembler();
  readonly #push: (action: RequestAction) => void;
  #begun = false;

  constructor(push: (action: RequestAction) => void) {
    this.#push = push;
  }

  /** @returns true when some of the answer has gone to the caller */
  get begun(): boolean {
    return this.#begun;
  }

  /** @returns bytes of the answer that have gone to the caller */
  get deliveredBytes(): number {
    return this.#answer.deliveredBytes;
  }

  /**
   * @param attempt the attempt that the piece belongs to
   * @param body the piece
   * @returns what it meant
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
   * @returns whether the answer is whole; only then has it ended
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
