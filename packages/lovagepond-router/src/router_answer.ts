/**
 * Decides whether an answer is whole.
 *
 * An answer is a run of bytes without gaps that ends with its total. It may be
 * interrupted and go on from the delivered offset, but only in the attempt of
 * the same sidecar incarnation that began it: two generations of a model
 * differ, so joining them would give the caller a text that no engine wrote.
 */

/** Which generation of an answer some bytes belong to. */
export interface AnswerSource {
  readonly attemptId: string;
  readonly incarnation: string;
}

/** What to do with a piece of an answer. */
export type PieceVerdict =
  | {readonly kind: 'deliver'; readonly data: Uint8Array}
  /** All of it was delivered before. */
  | {readonly kind: 'duplicate'}
  /** Bytes before it are missing. */
  | {readonly kind: 'gap'}
  /** Another generation's bytes: joining them is forbidden. */
  | {readonly kind: 'foreign'};

/** What an end marker means for the bytes delivered. */
export type EndVerdict = 'whole' | 'truncated' | 'overlong';

/** Joins the pieces of one answer. */
export class AnswerAssembler {
  #delivered = 0;
  #source: AnswerSource | undefined;

  /** @returns bytes delivered so far, from offset 0 without a gap */
  get deliveredBytes(): number {
    return this.#delivered;
  }

  /**
   * @param source an attempt at one sidecar incarnation
   * @returns true when its bytes may follow those delivered
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
   * @param offset position of its first byte in the whole answer
   * @param data the piece
   * @returns what to do; `deliver` counts its bytes as delivered
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
   * @param totalBytes the whole answer's length, from its end marker
   * @returns whether the delivered bytes are the whole answer
   */
  finish(totalBytes: number): EndVerdict {
    if (totalBytes > this.#delivered) return 'truncated';
    return totalBytes < this.#delivered ? 'overlong' : 'whole';
  }
}
