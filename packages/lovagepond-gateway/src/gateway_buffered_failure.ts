/**
 * A server's error response, buffered while another server is tried.
 */
import {type ResponseHead} from './gateway_attempt.js';
import {type CallerChannel} from './gateway_caller_channel.js';

/** Size limit of a buffered body, bytes. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Holds the head and body as received. */
export class BufferedFailure {
  readonly #head: ResponseHead;
  readonly #chunks: Buffer[] = [];
  #size = 0;

  /** @param head the response's status and headers */
  constructor(head: ResponseHead) {
    this.#head = head;
  }

  /**
   * @param chunk a part of the body
   * @returns false when the body exceeds the size limit
   */
  add(chunk: Buffer): boolean {
    this.#size += chunk.length;
    if (this.#size > MAX_BUFFERED_BYTES) return false;
    this.#chunks.push(chunk);
    return true;
  }

  /** @param caller the channel that the complete response is sent to */
  sendTo(caller: CallerChannel): void {
    caller.sendHead(this.#head);
    for (const chunk of this.#chunks) caller.write(chunk);
    caller.end();
  }
}
