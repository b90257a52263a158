/**
 * Assembles an answer and decides whether it is complete.
 *
 * An answer is a sequence of bytes without gaps, followed by an end marker with
 * its total length. After an interruption it may resume from the delivered
 * offset, but only in the same attempt at the same sidecar incarnation. Two
 * generations of a model differ, so joining them would give the caller a text
 * that no engine generated.
 */

/** The generation of an answer that a piece belongs to. */
export interface AnswerSource {
  readonly attemptId: string;
  readonly incarnation: string;
}

/** What to do with a piece of an answer. */
export type PieceVerdict =
  | {readonly kind: 'deliver'; readonly data: Uint8Array}
  /** All bytes of the piece were delivered before. */
  | {readonly kind: 'duplicate'}
  /** Bytes before the piece are missing. */
  | {readonly kind: 'gap'}
  /** The piece is from another generation and must not be joined. */
  | {readonly kind: 'foreign'};

/** How the delivered bytes compare to the end marker's total length. */
export type EndVerdict = 'whole' | 'truncated' | 'overlong';

export class AnswerAssembler {
  #delivered = 0;
  #source: AnswerSource | undefined;

  /** @returns number of bytes delivered, from offset 0 without a gap */
  get deliveredBytes(): number {
    return this.#delivered;
  }

  /**
   * @param source an attempt at one sidecar incarnation
   * @returns true when its bytes may follow the delivered ones
   */
  mayContinueWith(source: AnswerSource): boolean {
    if (this.#delivered === 0 || !this.#source) return true;
    return (
      this.#source.attemptId === source.attemptId &&
      this.#source.incarnation === source.incarnation
    );
  }

  /**
   * @param source the attempt that the piece came from
   * @param offset position of the piece's first byte in the answer
   * @param data the piece
   * @returns what to do with the piece; `deliver` counts its bytes as delivered
   */
  accept(source: AnswerSource, offset: number, data: Uint8Array): PieceVerdict {
    if (!this.mayContinueWith(source)) return {kind: 'foreign'};
    if (offset > this.#delivered) return {kind: 'gap'};
    const seen = this.#delivered - offset;
    if (seen > 0 && seen >= data.length) return {kind: 'duplicate'};
    this.#source = source;
    const fresh = seen === 0 ? data : data.subarray(seen);
    this.#delivered += fresh.length;
    return {kind: 'deliver', data: fresh};
  }

  /**
   * @param totalBytes the answer's total length, from its end marker
   * @returns whether the delivered bytes are the complete answer
   */
  finish(totalBytes: number): EndVerdict {
    if (totalBytes > this.#delivered) return 'truncated';
    return totalBytes < this.#delivered ? 'overlong' : 'whole';
  }
}
