/**
 * Counters of a gateway, for metrics and the state dump.
 */
import {type ErrorKind} from '@lovagepond/core';

/** Counts since the start. */
export interface GatewayCounts {
  /**
   * Finished requests by outcome: `answered`, `failed`, `cut`, `callerGone` or
   * an error kind.
   */
  readonly endedByOutcome: Readonly<Record<string, number>>;
  /** Requests rejected before a server was selected, by error kind. */
  readonly refusedByKind: Readonly<Record<string, number>>;
  /** Attempts without a successful response, by outcome. */
  readonly failedAttemptsByOutcome: Readonly<Record<string, number>>;
  /** Retries and resumed streams: attempts after a request's first one. */
  readonly secondTries: number;
  /** Unexpected exceptions, each of which has ended one request. */
  readonly exceptions: number;
}

function countUp(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Monotonic counters. */
export class GatewayCounters {
  readonly #ended = new Map<string, number>();
  readonly #refused = new Map<string, number>();
  readonly #failedAttempts = new Map<string, number>();
  #secondTries = 0;
  #exceptions = 0;

  read(): GatewayCounts {
    return {
      endedByOutcome: Object.fromEntries(this.#ended),
      refusedByKind: Object.fromEntries(this.#refused),
      failedAttemptsByOutcome: Object.fromEntries(this.#failedAttempts),
      secondTries: this.#secondTries,
      exceptions: this.#exceptions,
    };
  }

  /** @param outcome how a request with an exchange ended */
  noteEnded(outcome: string): void {
    countUp(this.#ended, outcome);
  }

  /** @param kind why a request was rejected before its exchange began */
  noteRefused(kind: ErrorKind): void {
    countUp(this.#refused, kind);
  }

  /** @param outcome how an attempt ended */
  noteFailedAttempt(outcome: string): void {
    countUp(this.#failedAttempts, outcome);
  }

  /** Counts an unexpected exception in a request's handlers. */
  noteThrown(): void {
    this.#exceptions += 1;
  }

  /** Counts an attempt after a request's first one. */
  noteSecondTry(): void {
    this.#secondTries += 1;
  }
}
