/**
 * Results of operators' operations by id, which make operations idempotent: a
 * retry after a lost answer gets the first answer, also from a new leader.
 */
import {type OperationIdentity} from './control_commands.js';

/** The stored part of an answer; the rest is derived from the state. */
export type OperationResult =
  | {readonly kind: 'accepted'; readonly revision: number}
  | {
      readonly kind: 'conflict';
      readonly baseRevision: number;
      readonly currentRevision: number;
    }
  /** The object to delete or the revision to restore doesn't exist. */
  | {readonly kind: 'missing'; readonly place: string}
  /** The id was used for another operation. */
  | {readonly kind: 'operationReuse'};

interface StoredResult {
  readonly digest: string;
  readonly result: OperationResult;
}

export type OperationSnapshot = readonly (readonly [string, StoredResult])[];

/** Eight days of operations at the rate that the largest user plans for. */
const MAX_RESULTS = 10_000;

/** Results of the latest operations. Part of the replicated state. */
export class OperationResults {
  readonly #results = new Map<string, StoredResult>();

  /**
   * Runs an operation unless its id was used before.
   *
   * @param operation the operation's id and digest
   * @param run runs the operation and returns its result
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
   * @returns true when the id was used, so that its answer is final
   */
  has(operationId: string): boolean {
    return this.#results.has(operationId);
  }

  /** @returns the serialized form */
  snapshot(): OperationSnapshot {
    return [...this.#results];
  }

  /** @param snapshot the result of {@link snapshot} */
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
