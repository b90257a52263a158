/**
 * Results of operators' operations by their ids, so that a resend after a lost
 * answer gets the first answer, also from the next leader.
 */
import {type OperationIdentity} from './control_commands.js';

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

interface StoredResult {
  readonly digest: string;
  readonly result: OperationResult;
}

/** Serialized form. */
export type OperationSnapshot = readonly (readonly [string, StoredResult])[];

/** Eight days of the operations that the largest user plans for. */
const MAX_RESULTS = 10_000;

/** Keeps the results of the latest operations. Part of the replicated state. */
export class OperationResults {
  readonly #results = new Map<string, StoredResult>();

  /**
   * Runs an operation unless its id has run already.
   *
   * @param operation the operation's id and digest
   * @param run makes the result of a first run
   * @returns the result of this or of the first run
   */
  runOnce(
    operation: OperationIdentity,
    run: () => OperationResult,
  ): OperationResult {
    const previous = this.#results.get(operation.operationId);
    if (previous) {
      const isSameOperation = previous.digest === operation.digest;
      return isSameOperation ? previous.result : {kind: 'operationReuse'};
    }
    const result = run();
    this.#results.set(operation.operationId, {
      digest: operation.digest,
      result,
    });
    this.#evictOldest();
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

  #evictOldest(): void {
    if (this.#results.size <= MAX_RESULTS) return;
    for (const id of this.#results.keys()) {
      this.#results.delete(id);
      return;
    }
  }
}
