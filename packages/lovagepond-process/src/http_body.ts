/**
 * Receives the body of a request in memory that is proportional to its length,
 * whatever the size of its chunks.
 */
import {type IncomingMessage} from 'node:http';
import {type BodyBudget, type BodyLease} from './http_body_budget.js';

/** Size of the first block of a body; each further one is twice as large. */
const FIRST_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 64 * 1024;

/** Why a body was not received. */
export const BODY_FAILURE = {
  TOO_LARGE: 'tooLarge',
  /** The bodies of other requests need the memory. */
  NO_ROOM: 'noRoom',
  /** The connection closed before the end of the body. */
  DISCONNECTED: 'disconnected',
} as const;

export type BodyFailure = (typeof BODY_FAILURE)[keyof typeof BODY_FAILURE];

export interface BodyLimits {
  /** Largest accepted body, bytes. */
  readonly maxBytes: number;
  readonly budget: BodyBudget;
}

/** Receives the result; at most one method is called, once. */
export interface BodyReceiver {
  /**
   * @param body the complete body
   * @param release must be called when the body is needed no more
   */
  onWhole(body: Buffer, release: () => void): void;
  onFailed(failure: BodyFailure): void;
}

/** Copies chunks into a few blocks: each chunk alone takes some 500 bytes. */
class BlockList {
  readonly #lease: BodyLease;
  readonly #full: Buffer[] = [];
  #block = Buffer.alloc(0);
  #used = 0;
  #fullBytes = 0;

  constructor(lease: BodyLease) {
    this.#lease = lease;
  }

  get length(): number {
    return this.#fullBytes + this.#used;
  }

  /** @returns false if there is no room */
  add(chunk: Buffer): boolean {
    let rest = chunk;
    while (rest.length > 0) {
      if (this.#used === this.#block.length && !this.#addBlock(rest.length)) {
        return false;
      }
      const taken = rest.copy(this.#block, this.#used);
      this.#used += taken;
      rest = rest.subarray(taken);
    }
    return true;
  }

  join(): Buffer {
    const last = this.#block.subarray(0, this.#used);
    return Buffer.concat([...this.#full, last], this.length);
  }

  #addBlock(wanted: number): boolean {
    const doubled = Math.max(FIRST_BLOCK_BYTES, 2 * this.#block.length);
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(doubled, wanted));
    if (!this.#lease.grow(size)) return false;
    if (this.#used > 0) this.#full.push(this.#block);
    this.#fullBytes += this.#used;
    this.#block = Buffer.allocUnsafeSlow(size);
    this.#used = 0;
    return true;
  }
}

/**
 * @param req a request whose body was not read
 * @param limits limits of the body
 * @param receiver receives the result
 * @returns drops what has arrived, and the rest; then nothing is received
 */
export function receiveBody(
  req: IncomingMessage,
  {maxBytes, budget}: BodyLimits,
  receiver: BodyReceiver,
): () => void {
  let blocks: BlockList | undefined;
  const stop = (): void => {
    if (!blocks) return;
    blocks = undefined;
    lease.release();
    req.off('data', onData);
    req.off('end', onEnd);
    req.off('close', onLost);
    req.off('error', onLost);
    // The rest is not kept, and an error later must not be an uncaught one.
    req.on('error', () => undefined);
    req.resume();
  };
  const fail = (failure: BodyFailure): void => {
    if (!blocks) return;
    stop();
    receiver.onFailed(failure);
  };
  const lease = budget.lease(() => {
    fail(BODY_FAILURE.NO_ROOM);
  });
  const onData = (chunk: Buffer): void => {
    if (!blocks) return;
    if (blocks.length + chunk.length > maxBytes) fail(BODY_FAILURE.TOO_LARGE);
    else if (!blocks.add(chunk)) fail(BODY_FAILURE.NO_ROOM);
  };
  const onEnd = (): void => {
    if (!blocks) return;
    const body = blocks.join();
    blocks = undefined;
    lease.complete(body.length);
    receiver.onWhole(body, () => {
      lease.release();
    });
  };
  const onLost = (): void => {
    fail(BODY_FAILURE.DISCONNECTED);
  };
  blocks = new BlockList(lease);
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    fail(BODY_FAILURE.TOO_LARGE);
    return stop;
  }
  req.on('data', onData);
  req.on('end', onEnd);
  req.on('close', onLost);
  req.on('error', onLost);
  return stop;
}
