/**
 * Results of operators' operations by their ids, so that a resend after a lost
 * answer gets the first answer, also from the next leader.
 */
import {type OperationHead} from './control_commands.js';

/** What is kept of an operation's answer; the rest follows from the state. */
export type OperationResult =
  | {readonly kind: 'accepted'; readonly revision: number}
  | {
      readonly kind: 'conflict';
      readonly baseRevision: number;
      readonly currentRevision: number;
    }
  /** What a delete or a restore names is not there. */
  | {readonly kind: 'missing'; readonly place: string}
  /** The id belongs to another operation. */
  | {readonly kind: 'operationReuse'};

interface KeptResult {
  readonly digest: string;
  readonly result: OperationResult;
}

/** Serialized form. */
export type OperationSnapshot = readonly (readonly [string, KeptResult])[];

/** Eight days of the operations that the largest user plans for. */
const KEPT_RESULTS = 10_000;

/** Keeps the results of the latest operations. Part of the replicated state. */
export class OperationResults {
  readonly #results = new Map<string, KeptResult>();

  /**
   * Runs an operation unless its id has run already.
   *
   * @param head the operation's id and digest
   * @param run makes the result of a first run
   * @returns the result of this or of the first run
   */
  runOnce(head: OperationHead, run: () => OperationResult): OperationResult {
    const former = this.#results.get(head.operationId);
    if (former) {
      const same = former.digest === head.digest;
      return same ? former.result : {kind: 'operationReuse'};
    }
    const result = run();
    this.#results.set(head.operationId, {digest: head.digest, result});
    this.#dropOldest();
    return result;
  }

  /**
   * @param operationId an operation's id
   * @returns true when it has run, so that its answer is fixed
   */
  has(operationId: string): boolean {
    return this.#results.has(operationId);
  }

  /** @returns the serialized form */
  snapshot(): OperationSnapshot {
    return [...this.#results];
  }

  /** @param snapshot what {@link snapshot} gave */
  restore(snapshot: OperationSnapshot): void {
    this.#results.clear();
    for (const [id, kept] of snapshot) this.#results.set(id, kept);
  }

  #dropOldest(): void {
    if (this.#results.size <= KEPT_RESULTS) return;
    for (const id of this.#results.keys()) {
      this.#results.delete(id);
      return;
    }
  }
}
