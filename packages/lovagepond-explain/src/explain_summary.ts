/**
 * Summarises all requests by rule, by cause and by time window.
 */
import {DurationHistogram} from './explain_histogram.js';
import {formatValue, type LogLine} from './explain_line.js';

/**
 * Length of a time window, milliseconds. Callers notice an outage of seconds,
 * which longer windows would average out.
 */
const WINDOW_MS = 2_000;

/** Windows in the summary, the worst first. */
const SHOWN_WINDOWS = 5;

/** Unfinished requests whose last failed attempt is kept. */
const MAX_TRACKED_FAILURES = 100_000;

/** Rule shown for requests that were refused before a rule applied. */
const NO_RULE = '(none yet)';

/** Outcome of a request that got a server's complete answer. */
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

/** Number and share of the unanswered requests with the same cause. */
export interface CauseShare {
  readonly cause: string;
  readonly requests: number;
  /** Share of all requests that were not answered; all shares add up to 1. */
  readonly share: number;
}

/** Counts and durations of the requests of one rule. */
export interface RuleSummary {
  readonly rule: string;
  readonly ended: number;
  readonly answered: number;
  /** Quantiles of the durations of answered requests, milliseconds. */
  readonly p50: number;
  readonly p99: number;
}

/** Counts of one time window. */
export interface WindowSummary {
  readonly startMs: number;
  readonly ended: number;
  readonly notAnswered: number;
  readonly mainCause: string;
}

/** Summary of all requests. */
export interface Summary {
  readonly ended: number;
  readonly answered: number;
  readonly rules: readonly RuleSummary[];
  readonly causes: readonly CauseShare[];
  /** The windows with the most unanswered requests. */
  readonly windows: readonly WindowSummary[];
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

function sortByCount(counts: ReadonlyMap<string, number>): [string, number][] {
  return [...counts].sort((a, b) => b[1] - a[1]);
}

/** Builds a summary from log lines. */
export class SummaryBuilder {
  readonly #rules = new Map<string, RuleCount>();
  readonly #causes = new Map<string, number>();
  readonly #windows = new Map<number, WindowCount>();
  /** Reason of the last failed attempt, by unfinished request. */
  readonly #lastFailures = new Map<string, string>();

  readonly #handlers: ReadonlyMap<string, (line: LogLine) => void> = new Map([
    ['attempt failed', line => this.#recordFailure(line)],
    ['request refused by admission', line => this.#recordAdmission(line)],
    ['request ended', line => this.#recordEnd(line)],
    ['request refused', line => this.#recordRefusal(line)],
  ]);

  /** @param line a line; lines of one process must be in the order written */
  take(line: LogLine): void {
    this.#handlers.get(line.message)?.(line);
  }

  /** @returns the summary of the lines added so far */
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
    this.#keepFailure(formatValue(fields['request']), reason);
  }

  #recordAdmission({fields}: LogLine): void {
    const reason = `admission: ${formatValue(fields['reason'])}`;
    this.#keepFailure(formatValue(fields['request']), reason);
  }

  #keepFailure(request: string, reason: string): void {
    this.#lastFailures.set(request, reason);
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
    const noAnswerNote = fields['status'] === 0 ? ', no answer started' : '';
    this.#countRequest(
      rule,
      timeMs,
      `${outcome}${noAnswerNote} (${failure ?? 'no failure'})`,
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
