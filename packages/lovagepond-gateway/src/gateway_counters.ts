/**
 * What a gateway counts, for metrics and its dump.
 */
import {type ErrorKind} from '@lovagepond/core';

/** Counts since the start. */
export interface GatewayCounts {
  /** Requests that ended, by how: `answered`, `failed`, `cut` or an error kind. */
  readonly endedByOutcome: Readonly<Record<string, number>>;
  /** Requests refused before a server was chosen, by kind. */
  readonly refusedByKind: Readonly<Record<string, number>>;
  /** Attempts that brought no whole answer, by how they ended. */
  readonly failedAttemptsByOutcome: Readonly<Record<string, number>>;
  /** Attempts after a request's first one. */
  readonly secondTries: number;
}

function countUp(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Counts up; never forgets. */
export class GatewayCounters {
  readonly #ended = new Map<string, number>();
  readonly #refused = new Map<string, number>();
  readonly #failedAttempts = new Map<string, number>();
  #secondTries = 0;

  /** @returns all counts */
  read(): GatewayCounts {
    return {
      endedByOutcome: Object.fromEntries(this.#ended),
      refusedByKind: Object.fromEntries(this.#refused),
      failedAttemptsByOutcome: Object.fromEntries(this.#failedAttempts),
      secondTries: this.#secondTries,
    };
  }

  /** @param outcome how a request ended that had an exchange */
  noteEnded(outcome: string): void {
    countUp(this.#ended, outcome);
  }

  /** @param kind why a request got no exchange */
  noteRefused(kind: ErrorKind): void {
    countUp(this.#refused, kind);
  }

  /**
   * @param outcome how an attempt ended
   * @param isFollowed another attempt comes after it
   */
  noteFailedAttempt(outcome: string, isFollowed: boolean): void {
    countUp(this.#failedAttempts, outcome);
    if (isFollowed) this.#secondTries += 1;
  }
}
