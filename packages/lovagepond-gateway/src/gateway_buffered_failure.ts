/**
 * A server's failure answer, kept while another server is tried.
 */
import {type ResponseHead} from './gateway_attempt.js';
import {type CallerChannel} from './gateway_caller_channel.js';

/** A larger one isn't kept. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Head and body as they came. */
export class BufferedFailure {
  readonly #head: ResponseHead;
  readonly #chunks: Buffer[] = [];
  #size = 0;

  /** @param head its status and headers */
  constructor(head: ResponseHead) {
    this.#head = head;
  }

  /**
   * @param chunk of the body
   * @returns false when the answer is too large to keep
   */
  add(chunk: Buffer): boolean {
    this.#size += chunk.length;
    if (this.#size > MAX_BUFFERED_BYTES) return false;
    this.#chunks.push(chunk);
    return true;
  }

  /** @param caller who gets the whole answer */
  sendTo(caller: CallerChannel): void {
    caller.sendHead(this.#head);
    for (const chunk of this.#chunks) caller.write(chunk);
    caller.end();
  }
}
