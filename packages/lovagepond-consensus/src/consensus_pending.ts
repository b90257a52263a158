/**
 * Callers that wait for a proposal or a read.
 */
import {type LogEntry, type Member} from './consensus_types.js';
import {type ProposeOutcome, type ReadOutcome} from './consensus_types.js';

interface PendingProposal {
  readonly term: number;
  resolve(outcome: ProposeOutcome): void;
}

/** Gives each waiting caller exactly one answer. */
export class PendingCalls {
  readonly #proposals = new Map<number, PendingProposal>();
  readonly #reads = new Map<number, (outcome: ReadOutcome) => void>();
  #lastToken = 0;

  /**
   * @param index where the proposal stands in the log
   * @param term the term it was proposed in
   * @returns what becomes of it
   */
  addProposal(index: number, term: number): Promise<ProposeOutcome> {
    return new Promise(resolve => {
      this.#proposals.set(index, {term, resolve});
    });
  }

  /**
   * @param entry an entry that was applied
   * @param result the state machine's result
   */
  applied(entry: LogEntry, result: Uint8Array): void {
    const {index, term} = entry;
    const pending = this.#proposals.get(index);
    if (!pending) return;
    this.#proposals.delete(index);
    // The entry of another leader stands there: this one never commits.
    const isOurs = pending.term === term;
    const outcome: ProposeOutcome = isOurs
      ? {kind: 'committed', result, index}
      : {kind: 'notLeader'};
    pending.resolve(outcome);
  }

  /**
   * Answers all proposals at once: this member no longer leads, and its entries
   * may or may not be committed by the next leader.
   */
  abandonProposals(): void {
    const pending = [...this.#proposals.values()];
    this.#proposals.clear();
    for (const {resolve} of pending) resolve({kind: 'unknown'});
  }

  /**
   * @param start called with the read's token
   * @returns what becomes of the read
   */
  addRead(start: (token: number) => void): Promise<ReadOutcome> {
    return new Promise(resolve => {
      this.#lastToken += 1;
      this.#reads.set(this.#lastToken, resolve);
      start(this.#lastToken);
    });
  }

  /**
   * @param tokens the reads that get the answer
   * @param outcome the answer
   */
  answerReads(tokens: readonly number[], outcome: ReadOutcome): void {
    for (const token of tokens) {
      this.#reads.get(token)?.(outcome);
      this.#reads.delete(token);
    }
  }

  /** @param leader to whom the callers may turn */
  refuseAllReads(leader?: Member): void {
    const outcome = {kind: 'notLeader' as const, ...(leader && {leader})};
    this.answerReads([...this.#reads.keys()], outcome);
  }
}
