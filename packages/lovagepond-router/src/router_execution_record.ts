/**
 * Tracks whether a request may have run in any of its attempts, and decides
 * whether another attempt is allowed.
 */
import {
  answerFor,
  type ErrorKind,
  type Failure,
  makeFailure,
} from '@lovagepond/core';

/** A request's next step after a failed attempt. */
export type NextStep =
  | {
      readonly kind: 'place';
      /** The server that a pointer or hand-over names, if any. */
      readonly preferred: string | undefined;
      /** Why the previous attempt failed; undefined for the first attempt. */
      readonly after: Failure | undefined;
      /** The retry counts against the pool's retry budget. */
      readonly costsBudget: boolean;
    }
  | {readonly kind: 'fail'; readonly failure: Failure};

/** A request's first step. */
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

/** Refusals that redirect the request; they count as hops, not as retries. */
const HOP_KINDS: ReadonlySet<ErrorKind> = new Set([
  'servedElsewhere',
  'handedOver',
  'staleRevision',
]);

/**
 * Failures of a server that is draining, gone, restarted or not yet ready.
 * Retries after them are exempt from the budget: such failures put no load on
 * the server, and a planned drain causes more of them than the budget allows.
 */
const BUDGET_EXEMPT_KINDS: ReadonlySet<ErrorKind> = new Set([
  'draining',
  'notReady',
  'wrongIncarnation',
  'unreachable',
]);

/** Failures after dispatch that need not recur at another backend server. */
const SERVER_FAULTS: ReadonlySet<ErrorKind> = new Set([
  'backendFailed',
  'backendSilent',
  'answerTruncated',
]);

/** Counts one request's attempts and records whether one may have run. */
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

  /** @returns how often sidecars have handed the request over */
  get handOvers(): number {
    return this.#handOvers;
  }

  /**
   * @param nonRepeatable true when the call must not run twice according to the
   *     current configuration, which may have changed since the request arrived
   * @returns the number of this placement, starting at 1
   */
  countPlacement(nonRepeatable: boolean): number {
    this.#nonRepeatable ||= nonRepeatable;
    this.#placements += 1;
    return this.#placements;
  }

  /**
   * @param server the server of the attempt
   * @param failure why the attempt has not run and never will
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
   * @param server the server of the attempt
   * @param failure why it is unknown whether the attempt has run
   * @param nothingDelivered true when the caller has received no byte of an
   *     answer
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
   * @param server the server of an attempt that was revoked because its
   *     connection was lost; another connection to this server works
   * @returns the next step: the same server, as its cache may be warm
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
   * Returns the final failure. An earlier attempt that may have run takes
   * precedence over a later refusal: after "not run" the caller would repeat a
   * request that may be running.
   *
   * @param failure why there is no further attempt
   * @returns the final step
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
