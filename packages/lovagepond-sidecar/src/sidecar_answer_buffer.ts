/**
 * The part of one answer that a router may still ask for again.
 */

/** A piece of the answer at its place. */
export interface AnswerPiece {
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Keeps the end of an answer, up to a limit. Pieces follow without a hole. */
export class AnswerBuffer {
  readonly #maxBytes: number;
  readonly #pieces: AnswerPiece[] = [];
  #base = 0;
  #end = 0;

  /** @param maxBytes bytes kept at most, beside those not yet sent */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** @returns offset behind the last byte */
  get end(): number {
    return this.#end;
  }

  /** @returns offset of the first byte still kept */
  get base(): number {
    return this.#base;
  }

  /**
   * @param piece the next piece from the backend server
   * @returns false when it doesn't follow: bytes are missing, doubled or
   *     another answer's, and the answer must not be passed on
   */
  append(piece: AnswerPiece): boolean {
    if (piece.offset !== this.#end) return false;
    if (piece.bytes.length === 0) return true;
    this.#pieces.push(piece);
    this.#end += piece.bytes.length;
    return true;
  }

  /**
   * @param offset where to go on; at least {@link base}
   * @returns the next piece from there, or undefined at the end
   */
  read(offset: number): AnswerPiece | undefined {
    const piece = this.#pieces[this.#indexAt(offset)];
    if (!piece || offset <= piece.offset) return piece;
    return {offset, bytes: piece.bytes.subarray(offset - piece.offset)};
  }

  /** @returns all bytes, or undefined when the first ones were dropped */
  whole(): Uint8Array | undefined {
    if (this.#base > 0) return undefined;
    return Buffer.concat(this.#pieces.map(piece => piece.bytes));
  }

  /**
   * Drops the oldest pieces above the limit, but none that was not sent.
   *
   * @param sentEnd offset behind the last byte sent
   */
  trim(sentEnd: number): void {
    for (;;) {
      const [first] = this.#pieces;
      if (!first || this.#end - this.#base <= this.#maxBytes) return;
      const next = first.offset + first.bytes.length;
      if (next > sentEnd) return;
      this.#pieces.shift();
      this.#base = next;
    }
  }

  /** Index of the first piece that ends behind the offset. */
  #indexAt(offset: number): number {
    let low = 0;
    let high = this.#pieces.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const piece = this.#pieces[middle] as AnswerPiece;
      if (piece.offset + piece.bytes.length <= offset) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
