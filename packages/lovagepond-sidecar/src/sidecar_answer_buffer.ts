/**
 * Buffer of the part of an answer from which a router may still resume.
 */

/** Bytes of the answer at their offset. */
export interface AnswerPiece {
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Keeps the last bytes of an answer, up to a limit. Pieces are contiguous. */
export class AnswerBuffer {
  readonly #maxBytes: number;
  readonly #pieces: AnswerPiece[] = [];
  #base = 0;
  #end = 0;

  /** @param maxBytes maximum number of kept bytes, apart from unsent ones */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** @returns offset after the last byte */
  get end(): number {
    return this.#end;
  }

  /** @returns offset of the first byte still kept */
  get base(): number {
    return this.#base;
  }

  /**
   * @param piece the next piece from the backend server
   * @returns false when it is not contiguous: bytes are missing, duplicated or
   *     from another answer, and the answer must not be forwarded
   */
  append(piece: AnswerPiece): boolean {
    if (piece.offset !== this.#end) return false;
    if (piece.bytes.length === 0) return true;
    this.#pieces.push(piece);
    this.#end += piece.bytes.length;
    return true;
  }

  /**
   * @param offset offset to read from; at least {@link base}
   * @returns the piece at the offset; undefined at the end
   */
  read(offset: number): AnswerPiece | undefined {
    const piece = this.#pieces[this.#indexAt(offset)];
    if (!piece || offset <= piece.offset) return piece;
    return {offset, bytes: piece.bytes.subarray(offset - piece.offset)};
  }

  /** @returns all bytes; undefined when the first ones were dropped */
  whole(): Uint8Array | undefined {
    if (this.#base > 0) return undefined;
    return Buffer.concat(this.#pieces.map(piece => piece.bytes));
  }

  /**
   * Drops the oldest pieces above the limit, but no unsent ones.
   *
   * @param sentEnd offset after the last sent byte
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

  /** Returns the index of the first piece that ends after the offset. */
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
