/**
 * Pending proposals and reads.
 */
import {type LogEntry, type Member} from './consensus_types.js';
import {type ProposeOutcome, type ReadOutcome} from './consensus_types.js';

interface PendingProposal {
  readonly term: number;
  resolve(outcome: ProposeOutcome): void;
}

/** Resolves each pending call exactly once. */
export class PendingCalls {
  readonly #proposals = new Map<number, PendingProposal>();
  readonly #reads = new Map<number, (outcome: ReadOutcome) => void>();
  #lastToken = 0;

  /**
   * @param index log index of the proposal
   * @param term term of the proposal
   * @returns the outcome of the proposal
   */
  addProposal(index: number, term: number): Promise<ProposeOutcome> {
    return new Promise(resolve => {
      this.#proposals.set(index, {term, resolve});
    });
  }

  /**
   * @param entry an applied entry
   * @param result the result of the state machine
   */
  applied(entry: LogEntry, result: Uint8Array): void {
    const {index, term} = entry;
    const pending = this.#proposals.get(index);
    if (!pending) return;
    this.#proposals.delete(index);
    // At this index an entry of another leader was committed, so the proposal
    // never commits.
    const isOurs = pending.term === term;
    const outcome: ProposeOutcome = isOurs
      ? {kind: 'committed', result, index}
      : {kind: 'notLeader'};
    pending.resolve(outcome);
  }

  /**
   * Resolves all pending proposals to `unknown`: this member lost leadership,
   * and the next leader may or may not commit its entries.
   */
  abandonProposals(): void {
    const pending = [...this.#proposals.values()];
    this.#proposals.clear();
    for (const {resolve} of pending) resolve({kind: 'unknown'});
  }

  /**
   * @param start called with the token of the read
   * @returns the outcome of the read
   */
  addRead(start: (token: number) => void): Promise<ReadOutcome> {
    return new Promise(resolve => {
      this.#lastToken += 1;
      this.#reads.set(this.#lastToken, resolve);
      start(this.#lastToken);
    });
  }

  /**
   * @param tokens tokens of the reads
   * @param outcome the outcome of these reads
   */
  answerReads(tokens: readonly number[], outcome: ReadOutcome): void {
    for (const token of tokens) {
      this.#reads.get(token)?.(outcome);
      this.#reads.delete(token);
    }
  }

  /** @param leader the leader that callers can use instead */
  refuseAllReads(leader?: Member): void {
    const outcome = {kind: 'notLeader' as const, ...(leader && {leader})};
    this.answerReads([...this.#reads.keys()], outcome);
  }
}
