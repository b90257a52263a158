/**
 * The replicated log as control uses it, and a log of one member in memory.
 */

/** Deterministic state that commands of the log are applied to. */
export interface StateMachine {
  /**
   * @param command bytes that were proposed
   * @param index position in the log, from 1
   * @returns the result for the proposer
   */
  apply(command: Uint8Array, index: number): Uint8Array;
  /** @returns the whole state */
  snapshot(): Uint8Array;
  /** @param bytes what {@link StateMachine.snapshot} gave */
  restore(bytes: Uint8Array): void;
}

/** What became of a proposed command. */
export type ProposeAnswer =
  | {
      readonly kind: 'committed';
      readonly result: Uint8Array;
      readonly index: number;
    }
  | {readonly kind: 'notLeader'; readonly leader?: string}
  /** It may be committed later, or never. */
  | {readonly kind: 'unknown'};

/** Where this member stands. */
export interface LogStatus {
  readonly leading: boolean;
  readonly term: number;
  /** Member id of the leader; empty when none is known. */
  readonly leader: string;
  /** Milliseconds since a majority (leader) or the leader was heard. */
  readonly contactAgeMs: number;
}

/** The replicated log, implemented over the consensus package. */
export interface ReplicatedLog {
  propose(command: Uint8Array): Promise<ProposeAnswer>;
  /**
   * Resolves true once this member leads, a majority has confirmed so after
   * the call, and everything committed before the call is applied here.
   */
  readBarrier(): Promise<boolean>;
  status(): LogStatus;
}

/** A log of one member that keeps nothing: for a first look and for tests. */
export class InMemoryLog implements ReplicatedLog {
  readonly #machine: StateMachine;
  #index = 0;

  constructor(machine: StateMachine) {
    this.#machine = machine;
  }

  propose(command: Uint8Array): Promise<ProposeAnswer> {
    this.#index += 1;
    const index = this.#index;
    const result = this.#machine.apply(command, index);
    return Promise.resolve({kind: 'committed', result, index});
  }

  readBarrier(): Promise<boolean> {
    return Promise.resolve(true);
  }

  status(): LogStatus {
    return {leading: true, term: 1, leader: '', contactAgeMs: 0};
  }
}
