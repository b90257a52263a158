/**
 * Asks control for retries. All gateways together may send only so many, and no
 * gateway knows what the others, or former processes of its own, have sent.
 */
import {
  type Clock,
  type Random,
  RequestSpans,
  RETRY_ANSWER_MS,
  type RetryAllowance,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type ClockReading, elapsedMs, readClock} from './gateway_authority.js';
import {OwnRetries} from './gateway_own_retries.js';
import {isValid, type RetryCredit} from './gateway_retry_credit.js';
import {type GatewaySettings} from './gateway_settings.js';

type WireCounts = lovagepond.v1.RequestCounts.$Properties;
type WireRequest = Omit<lovagepond.v1.RetryRequest.$Properties, 'node'>;
type WireResponse = lovagepond.v1.RetryResponse.$Properties;

/** Time for which control isn't asked after it did not answer, milliseconds. */
const ALONE_MS = 1_000;

/** Shortest time for which retries are refused after none was left, ms. */
const MIN_REFUSED_MS = 100;

/** Interval between reports of the requests, milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** Age of the oldest requests in a report, milliseconds; some get lost. */
const REPORTED_MS = 4_000;

/** Why a request may not be sent once more. */
export const RETRY_REFUSAL = {
  /** All gateways together have sent as many retries as they may. */
  NONE_LEFT: 'noneLeft',
  /** Control did not answer, and this gateway has no retry of its own. */
  UNANSWERED: 'unanswered',
} as const;

export type RetryRefusal = (typeof RETRY_REFUSAL)[keyof typeof RETRY_REFUSAL];

export type RetryDecision =
  | {readonly credit: RetryCredit; readonly refusal?: never}
  | {readonly refusal: RetryRefusal; readonly credit?: never};

type OnDecision = (decision: RetryDecision, at: ClockReading) => void;

export interface GatewayRetriesDependencies {
  /** Number that no other process of this gateway has had lately. */
  readonly process: number;
  readonly readClock: () => ClockReading;
  /** Calls back once, with control's answer or without one. */
  readonly ask: (
    req: WireRequest,
    onAnswer: (res: WireResponse | undefined) => void,
  ) => void;
  /** Calls back after a time, milliseconds. */
  readonly schedule: (delayMs: number, callback: () => void) => void;
}

/** Decisions since the start. */
export interface RetryDecisionCounts extends Readonly<
  Record<RetryRefusal, number>
> {
  /** Retries that control granted. */
  readonly granted: number;
  /** Retries that this gateway sent while control did not answer. */
  readonly alone: number;
}

/** State for metrics and the state dump. */
export interface GatewayRetriesState {
  readonly decisions: RetryDecisionCounts;
  /** Retries left for all gateways by pool, as control told last. */
  readonly leftByPool: Readonly<Record<string, number>>;
}

interface WaitingRetry {
  readonly pool: string;
  readonly onDecision: OnDecision;
}

interface Question {
  readonly askedAt: ClockReading;
  readonly waiting: readonly WaitingRetry[];
}

export class GatewayRetries {
  readonly #deps: GatewayRetriesDependencies;
  readonly #historyMs: number;
  readonly #spans: RequestSpans;
  readonly #own: OwnRetries;
  #waiting: WaitingRetry[] = [];
  #question: Question | undefined;
  /** Granted and not used, by pool. */
  readonly #spare = new Map<string, RetryCredit[]>();
  readonly #refusedUntil = new Map<string, number>();
  readonly #left = new Map<string, number>();
  #nextAskAt = Number.NEGATIVE_INFINITY;
  #aloneUntil = Number.NEGATIVE_INFINITY;
  #reportedAt = Number.NEGATIVE_INFINITY;
  readonly #decisions = {
    granted: 0,
    alone: 0,
    [RETRY_REFUSAL.NONE_LEFT]: 0,
    [RETRY_REFUSAL.UNANSWERED]: 0,
  };

  /**
   * @param allowance what the servers of each pool may get, as control has it
   * @param deps the way to control, and the clock
   */
  constructor(
    {fraction, windowMs}: Pick<RetryAllowance, 'fraction' | 'windowMs'>,
    deps: GatewayRetriesDependencies,
  ) {
    this.#deps = deps;
    this.#historyMs = 2 * windowMs;
    this.#spans = new RequestSpans(this.#historyMs);
    this.#own = new OwnRetries(fraction, windowMs);
  }

  /**
   * @param pool the pool that a caller's request is sent to
   * @param now current time, monotonic milliseconds
   */
  noteRequest(pool: string, now: number): void {
    if (now < this.#aloneUntil) this.#own.noteRequest(pool, now);
    else this.#spans.add(pool, now);
  }

  /**
   * @param pool the pool to retry in
   * @param at current time
   * @param onDecision called once, during the call or later
   */
  acquire(pool: string, at: ClockReading, onDecision: OnDecision): void {
    const spare = this.#takeSpare(pool, at);
    if (spare) {
      onDecision({credit: spare}, at);
    } else if (at.now < this.#aloneUntil) {
      this.#decideAlone({pool, onDecision}, at);
    } else if (at.now < (this.#refusedUntil.get(pool) ?? 0)) {
      this.#refuse(onDecision, RETRY_REFUSAL.NONE_LEFT, at);
    } else {
      this.#waiting.push({pool, onDecision});
      this.#askWhenDue(at);
    }
  }

  /**
   * Gives back a retry that was not sent, for another request.
   *
   * @param pool its pool
   * @param credit the retry
   */
  release(pool: string, credit: RetryCredit): void {
    const spare = this.#spare.get(pool) ?? [];
    this.#spare.set(pool, [...spare, credit]);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the numbers to report to control now, if any
   */
  takeReport(now: number): WireCounts | undefined {
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return undefined;
    const counts = this.#countsOf(REPORTED_MS, now);
    if (counts.pools?.length === 0) return undefined;
    this.#reportedAt = now;
    return counts;
  }

  /**
   * @param pool a pool
   * @returns retries left for all gateways, as control told last; undefined if
   *     it has told nothing yet
   */
  leftIn(pool: string): number | undefined {
    return this.#left.get(pool);
  }

  describe(): GatewayRetriesState {
    return {
      decisions: {...this.#decisions},
      leftByPool: Object.fromEntries(this.#left),
    };
  }

  #askWhenDue(at: ClockReading): void {
    if (this.#question || this.#waiting.length === 0) return;
    const delayMs = this.#nextAskAt - at.now;
    if (delayMs <= 0) {
      this.#ask(at);
      return;
    }
    this.#deps.schedule(delayMs, () => {
      this.#askWhenDue(this.#deps.readClock());
    });
  }

  #ask(at: ClockReading): void {
    const question = {askedAt: at, waiting: this.#waiting};
    this.#waiting = [];
    this.#question = question;
    const wanted = new Map<string, number>();
    for (const {pool} of question.waiting) {
      wanted.set(pool, (wanted.get(pool) ?? 0) + 1);
    }
    const {ask, schedule, readClock} = this.#deps;
    schedule(RETRY_ANSWER_MS, () => {
      this.#onAnswer(question, undefined, readClock());
    });
    const req = {
      wanted: [...wanted].map(([pool, count]) => ({pool, count})),
      requests: this.#countsOf(this.#historyMs, at.now),
    };
    ask(req, res => {
      this.#onAnswer(question, res, readClock());
    });
  }

  #onAnswer(
    question: Question,
    res: WireResponse | undefined,
    at: ClockReading,
  ): void {
    if (this.#question !== question) return;
    this.#question = undefined;
    const {askedAt} = question;
    const isLate = elapsedMs(askedAt, at) > RETRY_ANSWER_MS;
    if (!res?.answered || isLate) {
      this.#onSilence(question, at);
      return;
    }
    const intervalMs = res.intervalMs ?? 0;
    this.#nextAskAt = at.now + intervalMs;
    for (const {pool, count, left} of res.granted ?? []) {
      const name = pool ?? '';
      this.#left.set(name, left ?? 0);
      for (let nth = 0; nth < (count ?? 0); nth += 1) {
        this.release(name, {askedAt});
      }
    }
    for (const {pool, onDecision} of question.waiting) {
      const credit = this.#takeSpare(pool, at);
      if (credit) {
        onDecision({credit}, at);
        continue;
      }
      const refusedMs = Math.max(MIN_REFUSED_MS, intervalMs);
      this.#refusedUntil.set(pool, at.now + refusedMs);
      this.#refuse(onDecision, RETRY_REFUSAL.NONE_LEFT, at);
    }
    this.#askWhenDue(at);
  }

  #onSilence(question: Question, at: ClockReading): void {
    this.#aloneUntil = at.now + ALONE_MS;
    const waiting = [...question.waiting, ...this.#waiting];
    this.#waiting = [];
    for (const one of waiting) this.#decideAlone(one, at);
  }

  #decideAlone({pool, onDecision}: WaitingRetry, at: ClockReading): void {
    if (!this.#own.tryTake(pool, at.now)) {
      this.#refuse(onDecision, RETRY_REFUSAL.UNANSWERED, at);
      return;
    }
    this.#decisions.alone += 1;
    onDecision({credit: {askedAt: at}}, at);
  }

  #refuse(
    onDecision: OnDecision,
    refusal: RetryRefusal,
    at: ClockReading,
  ): void {
    this.#decisions[refusal] += 1;
    onDecision({refusal}, at);
  }

  #takeSpare(pool: string, at: ClockReading): RetryCredit | undefined {
    const spare = this.#spare.get(pool) ?? [];
    const valid = spare.filter(credit => isValid(credit, at));
    const credit = valid.shift();
    if (valid.length > 0) this.#spare.set(pool, valid);
    else this.#spare.delete(pool);
    if (credit) this.#decisions.granted += 1;
    return credit;
  }

  #countsOf(sinceMs: number, now: number): WireCounts {
    const pools = this.#spans.list(sinceMs, now);
    return {
      process: this.#deps.process,
      uptimeMs: Math.floor(now),
      pools: pools.map(({pool, first, counts}) => ({
        pool,
        firstSpan: first,
        counts: [...counts],
      })),
    };
  }
}

/**
 * @param settings the allowance
 * @param deps the clock; draws a number for this process
 * @param ask asks control; undefined if there was no answer
 * @returns this gateway's retries
 */
export function makeRetries(
  settings: Pick<GatewaySettings, 'retryFraction' | 'retryWindowMs'>,
  {clock, random}: {readonly clock: Clock; readonly random: Random},
  ask: (req: WireRequest) => Promise<WireResponse | undefined>,
): GatewayRetries {
  const {retryFraction: fraction, retryWindowMs: windowMs} = settings;
  return new GatewayRetries(
    {fraction, windowMs},
    {
      process: random.below(2 ** 32),
      readClock: () => readClock(clock),
      ask: (req, onAnswer) => {
        void ask(req).then(onAnswer);
      },
      schedule: (delayMs, callback) => {
        setTimeout(callback, delayMs).unref();
      },
    },
  );
}
