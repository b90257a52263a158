/**
 * Collects what the logs hold of one request and of what was around it.
 */
import {Beliefs, type ProcessBelief} from './explain_beliefs.js';
import {type LogLine, textOf} from './explain_line.js';

/** Failures at the same server that belong to the same event, milliseconds. */
const NEAR_MS = 1_000;

/** Failures of other requests kept; the oldest go first. */
const MAX_FAILURES = 20_000;

/** What is known of one request. */
export interface RequestAccount {
  readonly id: string;
  /** The request's own lines by time. */
  readonly lines: readonly LogLine[];
  /** What the deciding process believed at its last line. */
  readonly belief: ProcessBelief | undefined;
  /** Other requests' failures at the same servers at about the same time. */
  readonly nearFailures: readonly LogLine[];
}

/** Reads lines in the order of the logs; files may come one after another. */
export class RequestEvidence {
  readonly #id: string;
  readonly #beliefs = new Beliefs();
  readonly #lines: LogLine[] = [];
  #failures: LogLine[] = [];
  #belief: ProcessBelief | undefined;

  /** @param id the request's id */
  constructor(id: string) {
    this.#id = id;
  }

  /** @param line the next line */
  take(line: LogLine): void {
    this.#beliefs.take(line);
    if (line.fields['request'] === this.#id) {
      this.#lines.push(line);
      this.#belief = this.#beliefs.of(line.process);
    } else if (line.message === 'attempt failed') {
      this.#keepFailure(line);
    }
  }

  /** @returns the account, or undefined when no line names the request */
  collect(): RequestAccount | undefined {
    if (this.#lines.length === 0) return undefined;
    const lines = [...this.#lines].sort(
      (left, right) => left.timeMs - right.timeMs,
    );
    const own = lines.filter(({message}) => message === 'attempt failed');
    const nearFailures = this.#failures.filter(line =>
      own.some(failure => isNear(failure, line)),
    );
    return {id: this.#id, lines, belief: this.#belief, nearFailures};
  }

  #keepFailure(line: LogLine): void {
    this.#failures.push(line);
    if (this.#failures.length < 2 * MAX_FAILURES) return;
    this.#failures = this.#failures.slice(-MAX_FAILURES);
  }
}

function isNear(failure: LogLine, other: LogLine): boolean {
  const isSameServer =
    textOf(failure.fields['server']) === textOf(other.fields['server']);
  return isSameServer && Math.abs(failure.timeMs - other.timeMs) <= NEAR_MS;
}
