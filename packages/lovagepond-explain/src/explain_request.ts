/**
 * Collects the log lines of one request and failures near it.
 */
import {formatValue, type LogLine} from './explain_line.js';
import {
  type ProcessState,
  ProcessStateTracker,
} from './explain_process_state.js';

/**
 * Failures at the same server within this time count as the same event,
 * milliseconds.
 */
const NEARBY_MS = 1_000;

/** Failures of other requests that are kept; the oldest are evicted first. */
const MAX_FAILURES = 20_000;

/** What the logs show about one request. */
export interface RequestReport {
  readonly id: string;
  /** The request's own lines, sorted by time. */
  readonly lines: readonly LogLine[];
  /** State of the request's process at the request's last line. */
  readonly processState: ProcessState | undefined;
  /** Failures of other requests at the same servers at about the same time. */
  readonly nearbyFailures: readonly LogLine[];
}

/** Builds a report from the lines of one or more log files. */
export class RequestReportBuilder {
  readonly #id: string;
  readonly #processStates = new ProcessStateTracker();
  readonly #lines: LogLine[] = [];
  #otherFailures: LogLine[] = [];
  #processState: ProcessState | undefined;

  /** @param id the request's id */
  constructor(id: string) {
    this.#id = id;
  }

  /** @param line the next line */
  take(line: LogLine): void {
    this.#processStates.take(line);
    if (line.fields['request'] === this.#id) {
      this.#lines.push(line);
      this.#processState = this.#processStates.get(line.process);
    } else if (line.message === 'attempt failed') {
      this.#keepFailure(line);
    }
  }

  /** @returns the report, or undefined when no line has the request's id */
  build(): RequestReport | undefined {
    if (this.#lines.length === 0) return undefined;
    const lines = [...this.#lines].sort(
      (left, right) => left.timeMs - right.timeMs,
    );
    const own = lines.filter(({message}) => message === 'attempt failed');
    const nearbyFailures = this.#otherFailures.filter(line =>
      own.some(failure => isNearby(failure, line)),
    );
    return {
      id: this.#id,
      lines,
      processState: this.#processState,
      nearbyFailures,
    };
  }

  #keepFailure(line: LogLine): void {
    this.#otherFailures.push(line);
    if (this.#otherFailures.length < 2 * MAX_FAILURES) return;
    this.#otherFailures = this.#otherFailures.slice(-MAX_FAILURES);
  }
}

function isNearby(failure: LogLine, other: LogLine): boolean {
  const isSameServer =
    formatValue(failure.fields['server']) ===
    formatValue(other.fields['server']);
  return isSameServer && Math.abs(failure.timeMs - other.timeMs) <= NEARBY_MS;
}
