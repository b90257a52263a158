/**
 * What became of all requests: by rule, by cause, and when it was worst.
 */
import {DurationHistogram} from './explain_histogram.js';
import {formatValue, type LogLine} from './explain_line.js';

/** Length of a window, milliseconds: callers feel seconds, not minutes. */
const WINDOW_MS = 2_000;

/** Windows shown, the worst first. */
const SHOWN_WINDOWS = 5;

/** Requests whose last failed attempt is remembered until they end. */
const MAX_TRACKED_FAILURES = 100_000;

/** Stands for the rule of a request that was refused before one applied. */
const NO_RULE = '(none yet)';

/** Outcome of a request that got a server's whole answer. */
const ANSWERED = 'answered';

interface RuleCount {
  ended: number;
  answered: number;
  readonly durations: DurationHistogram;
}

interface WindowCount {
  ended: number;
  readonly causes: Map<string, number>;
}

/** Counts of one cause. */
export interface CauseShare {
  readonly cause: string;
  readonly requests: number;
  /** Of all requests that were not answered: the shares add up to 1. */
  readonly share: number;
}

/** One rule's requests. */
export interface RuleSummary {
  readonly rule: string;
  readonly ended: number;
  readonly answered: number;
  /** Durations of answered ones, milliseconds. */
  readonly p50: number;
  readonly p99: number;
}

/** One span of time. */
export interface WindowSummary {
  readonly startMs: number;
  readonly ended: number;
  readonly notAnswered: number;
  readonly mainCause: string;
}

/** What the lines add up to. */
export interface Summary {
  readonly ended: number;
  readonly answered: number;
  readonly rules: readonly RuleSummary[];
  readonly causes: readonly CauseShare[];
  /** Those in which most was lost. */
  readonly windows: readonly WindowSummary[];
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

function sortByCount(counts: ReadonlyMap<string, number>): [string, number][] {
  return [...counts].sort((a, b) => b[1] - a[1]);
}

/** Adds lines up. */
export class SummaryBuilder {
  readonly #rules = new Map<string, RuleCount>();
  readonly #causes = new Map<string, number>();
  readonly #windows = new Map<number, WindowCount>();
  /** Why the last attempt failed, of requests that have not ended. */
  readonly #lastFailures = new Map<string, string>();

  readonly #handlers: ReadonlyMap<string, (line: LogLine) => void> = new Map([
    ['attempt failed', line => this.#recordFailure(line)],
    ['request ended', line => this.#recordEnd(line)],
    ['request refused', line => this.#recordRefusal(line)],
  ]);

  /** @param line a line; those of one process come in the order of writing */
  add(line: LogLine): void {
    this.#handlers.get(line.message)?.(line);
  }

  /** @returns what the lines taken so far add up to */
  build(): Summary {
    const notAnswered = [...this.#causes.values()].reduce((a, b) => a + b, 0);
    const rules = [...this.#rules].map(([rule, count]) => ({
      rule,
      ended: count.ended,
      answered: count.answered,
      p50: count.durations.quantile(0.5),
      p99: count.durations.quantile(0.99),
    }));
    const ended = rules.reduce((sum, rule) => sum + rule.ended, 0);
    return {
      ended,
      answered: ended - notAnswered,
      rules: rules.sort((a, b) => b.ended - a.ended),
      causes: sortByCount(this.#causes).map(([cause, requests]) => ({
        cause,
        requests,
        share: requests / notAnswered,
      })),
      windows: this.#findWorstWindows(),
    };
  }

  #recordFailure({fields}: LogLine): void {
    const reason = `${formatValue(fields['outcome'])}: ${formatValue(fields['reason'])}`;
    this.#lastFailures.set(formatValue(fields['request']), reason);
    if (this.#lastFailures.size <= MAX_TRACKED_FAILURES) return;
    const [oldest = ''] = this.#lastFailures.keys();
    this.#lastFailures.delete(oldest);
  }

  #recordRefusal({timeMs, fields}: LogLine): void {
    this.#countRequest(
      NO_RULE,
      timeMs,
      `refused: ${formatValue(fields['reason'])}`,
    );
  }

  #recordEnd({timeMs, fields}: LogLine): void {
    const rule = formatValue(fields['rule']);
    const request = formatValue(fields['request']);
    const outcome = formatValue(fields['outcome']);
    const failure = this.#lastFailures.get(request);
    this.#lastFailures.delete(request);
    if (outcome === ANSWERED) {
      this.#countRequest(rule, timeMs, undefined);
      this.#getRuleCount(rule).durations.add(Number(fields['durationMs'] ?? 0));
      return;
    }
    const begun = fields['status'] === 0 ? ', no answer begun' : '';
    this.#countRequest(
      rule,
      timeMs,
      `${outcome}${begun} (${failure ?? 'no failure'})`,
    );
  }

  #countRequest(rule: string, timeMs: number, cause: string | undefined): void {
    const start = Math.floor(timeMs / WINDOW_MS) * WINDOW_MS;
    const window = this.#windows.get(start) ?? {ended: 0, causes: new Map()};
    this.#windows.set(start, window);
    const counts = this.#getRuleCount(rule);
    window.ended += 1;
    counts.ended += 1;
    if (cause === undefined) {
      counts.answered += 1;
    } else {
      increment(this.#causes, cause);
      increment(window.causes, cause);
    }
  }

  #getRuleCount(rule: string): RuleCount {
    const known = this.#rules.get(rule);
    if (known) return known;
    const made = {ended: 0, answered: 0, durations: new DurationHistogram()};
    this.#rules.set(rule, made);
    return made;
  }

  #findWorstWindows(): WindowSummary[] {
    const windows = [...this.#windows].map(([startMs, {ended, causes}]) => {
      const [main] = sortByCount(causes);
      const notAnswered = [...causes.values()].reduce((a, b) => a + b, 0);
      return {startMs, ended, notAnswered, mainCause: main?.[0] ?? ''};
    });
    const worst = windows.filter(({notAnswered}) => notAnswered > 0);
    worst.sort((a, b) => b.notAnswered - a.notAnswered);
    return worst.slice(0, SHOWN_WINDOWS);
  }
}
