/**
 * What is known about a request's execution over all of its attempts, and
 * whether another attempt is allowed.
 */
import {
  answerFor,
  type ErrorKind,
  type Failure,
  makeFailure,
} from '@lovagepond/core';

/** The request's next step after an attempt came to nothing. */
export type NextStep =
  | {
      readonly kind: 'place';
      /** A server named by a pointer or hand-over, or undefined. */
      readonly preferred: string | undefined;
      /** Why the former attempt came to nothing; undefined for the first. */
      readonly after: Failure | undefined;
      /** The retry is paid from the pool's budget. */
      readonly costsBudget: boolean;
    }
  | {readonly kind: 'fail'; readonly failure: Failure};

/** The step that a request starts with. */
export const FIRST_PLACEMENT: NextStep = Object.freeze({
  kind: 'place',
  preferred: undefined,
  after: undefined,
  costsBudget: false,
});

/** Limits of one request's attempts; see the settings of the same names. */
export interface AttemptLimits {
  readonly maxAttempts: number;
  readonly maxHops: number;
}

/** Refusals that name the place to go to; they cost a hop, not a retry. */
const HOP_KINDS: ReadonlySet<ErrorKind> = new Set([
  'servedElsewhere',
  'handedOver',
  'staleRevision',
]);

/**
 * Refusals by a server that has left or not come yet. They put no load on it,
 * and during a planned leave there are more of them than a budget allows.
 */
const BUDGET_EXEMPT_KINDS: ReadonlySet<ErrorKind> = new Set([
  'draining',
  'notReady',
  'wrongIncarnation',
  'unreachable',
]);

/** Failures after dispatch that another backend server may not share. */
const SERVER_FAULTS: ReadonlySet<ErrorKind> = new Set([
  'backendFailed',
  'backendSilent',
  'answerTruncated',
]);

/** Keeps one request's attempts and the worst that is known of them. */
export class ExecutionRecord {
  readonly #limits: AttemptLimits;
  #nonRepeatable: boolean;
  readonly #excluded = new Set<string>();
  #placements = 0;
  #hops = 0;
  #handOvers = 0;
  #uncertain: Failure | undefined;

  constructor(limits: AttemptLimits, nonRepeatable: boolean) {
    this.#limits = limits;
    this.#nonRepeatable = nonRepeatable;
  }

  /** @returns names of the servers not to try again */
  get excluded(): ReadonlySet<string> {
    return new Set(this.#excluded);
  }

  /** @returns how often the request was handed over between sidecars */
  get handOvers(): number {
    return this.#handOvers;
  }

  /**
   * @param nonRepeatable the call must not run twice, by the configuration in
   *     force now; it may have become so since the request came
   * @returns the number of this placement, from 1
   */
  countPlacement(nonRepeatable: boolean): number {
    this.#nonRepeatable ||= nonRepeatable;
    this.#placements += 1;
    return this.#placements;
  }

  /**
   * @param server where the attempt was
   * @param failure why it has not run and never will
   * @param pointer the server that the refusal names; empty for none
   * @returns the next step
   */
  afterNotRun(server: string, failure: Failure, pointer: string): NextStep {
    if (HOP_KINDS.has(failure.kind)) {
      return this.#afterHop(server, failure, pointer);
    }
    this.#excluded.add(server);
    const {anotherAttempt} = answerFor(failure.kind);
    if (!anotherAttempt || !this.#hasAttempts()) return this.finalStep(failure);
    const costsBudget = !BUDGET_EXEMPT_KINDS.has(failure.kind);
    return {kind: 'place', preferred: undefined, after: failure, costsBudget};
  }

  /**
   * @param server where the attempt was
   * @param failure why it is not known whether it has run
   * @param nothingDelivered no byte of an answer has gone to the caller
   * @returns the next step; another attempt only for a repeatable call
   */
  afterMayHaveRun(
    server: string,
    failure: Failure,
    nothingDelivered: boolean,
  ): NextStep {
    this.#uncertain = failure;
    this.#excluded.add(server);
    const allowed =
      !this.#nonRepeatable && nothingDelivered && this.#hasAttempts();
    if (!allowed || !SERVER_FAULTS.has(failure.kind)) {
      return this.finalStep(failure);
    }
    return {
      kind: 'place',
      preferred: undefined,
      after: failure,
      costsBudget: true,
    };
  }

  /**
   * @param server where an attempt was taken back since its connection was
   *     lost; another connection to the same server works
   * @returns the next step: the same server, as it may be the warm one
   */
  afterReconnect(server: string): NextStep {
    this.#hops += 1;
    if (this.#hops > this.#limits.maxHops) {
      return this.finalStep(makeFailure('unreachable'));
    }
    const after = makeFailure('unreachable');
    return {kind: 'place', preferred: server, after, costsBudget: false};
  }

  /**
   * An earlier attempt that may have run outweighs a later refusal: a caller
   * told "not run" would repeat what runs already.
   *
   * @param failure why there is no further attempt
   * @returns the final answer
   */
  finalStep(failure: Failure): NextStep {
    return {kind: 'fail', failure: this.#uncertain ?? failure};
  }

  /** @param failure why the open attempt may have run */
  markUncertain(failure: Failure): void {
    this.#uncertain = failure;
  }

  #hasAttempts(): boolean {
    return this.#placements - this.#hops < this.#limits.maxAttempts;
  }

  #afterHop(server: string, failure: Failure, pointer: string): NextStep {
    this.#hops += 1;
    if (this.#hops > this.#limits.maxHops) {
      const {message, retryAfterMs} = failure;
      const details = {message, retryAfterMs};
      return this.finalStep(makeFailure('overloaded', details));
    }
    if (failure.kind === 'handedOver') {
      this.#handOvers += 1;
      this.#excluded.add(server);
    }
    const preferred = failure.kind === 'staleRevision' ? server : pointer;
    this.#excluded.delete(preferred);
    return {
      kind: 'place',
      preferred: preferred || undefined,
      after: failure,
      costsBudget: false,
    };
  }
}
