/**
 * How long the streams of one pool take at most, by the output tokens that their
 * requests allow.
 */
import {
  DURATION_MARGINS,
  isObserved,
  withMargins,
} from './core_duration_margins.js';
import {RecentValues} from './core_recent_values.js';

/** Events of a stream below which a single pause would set the pace. */
const MIN_PACE_EVENTS = 8;

/** Output tokens count as at least 2 ** MIN_CLASS, at most 2 ** MAX_CLASS. */
const MIN_CLASS = 3;
const MAX_CLASS = 16;

/** Fields of the streams of one class of output tokens. */
const STREAM = Object.freeze({
  FIRST_MS: 0,
  BODY_MS_PER_TOKEN: 1,
  EVENTS_PER_TOKEN: 2,
  MS_PER_EVENT: 3,
  COUNT: 4,
});

/** The measured times of a complete successful response. */
export interface ResponseTimes {
  /** From the send to the server until the first byte of the body, ms. */
  readonly firstMs: number;
  /** From the send to the server until the server's last byte, ms. */
  readonly totalMs: number;
  /** Whole events of a stream, if counted. */
  readonly events: number | undefined;
}

/** The streams of one class. */
interface StreamTimes {
  /** Number of streams, if longer ones would have been seen. */
  readonly answers: number;
  readonly usual: StreamPace;
  readonly slowest: StreamPace;
}

interface StreamPace {
  readonly firstMs: number;
  /** The most events that a token allows, at the pace of an event. */
  readonly msPerToken: number;
}

/** Recent streams of one pool, whose requests tell their output tokens. */
export class StreamDurations {
  /** By class of output tokens; absent without streams. */
  readonly #classes = new Map<number, RecentValues>();

  /** The number of records; there are at most MAX_CLASS - MIN_CLASS + 1. */
  get recordCount(): number {
    return this.#classes.size;
  }

  /**
   * @param outputTokens most output tokens of the request, above 0
   * @param answer the measured times
   * @param now current time, monotonic milliseconds
   */
  note(outputTokens: number, answer: ResponseTimes, now: number): void {
    const tokens = countedTokens(outputTokens);
    const {firstMs, totalMs, events} = answer;
    const bodyMs = Math.max(0, totalMs - firstMs);
    // The time after the first event is that of the events after it.
    const later = events === undefined ? 0 : Math.max(1, events - 1);
    const values = [
      Math.min(firstMs, totalMs),
      bodyMs / tokens,
      later / tokens,
      later === 0 ? 0 : bodyMs / Math.max(MIN_PACE_EVENTS, later),
    ];
    const tokenClass = classOf(tokens);
    let recent = this.#classes.get(tokenClass);
    if (!recent) {
      recent = new RecentValues(STREAM.COUNT);
      this.#classes.set(tokenClass, recent);
    }
    recent.note(values, now - totalMs, now);
  }

  /**
   * The time to the first event, and the time that the tokens take after it. The
   * classes up to that of the request count, and larger ones as far as they are
   * needed for enough responses.
   *
   * @param outputTokens most output tokens of a request, above 0
   * @param now current time, monotonic milliseconds
   * @returns upper bound of its duration, milliseconds, if known
   */
  boundMs(outputTokens: number, now: number): number | undefined {
    const tokens = countedTokens(outputTokens);
    const own = classOf(tokens);
    const classes = new Map<number, StreamTimes>();
    for (const [tokenClass, recent] of this.#classes) {
      classes.set(tokenClass, streamTimes(recent, 2 ** tokenClass, now));
    }
    const evidence = evidenceFor(classes, own);
    if (!evidence) return undefined;
    const longestMs = (read: (times: StreamTimes) => StreamPace): number => {
      let firstMs = 0;
      let bodyMs = 0;
      for (const [tokenClass, times] of classes) {
        const pace = read(times);
        firstMs = Math.max(firstMs, pace.firstMs);
        if (tokenClass > evidence.last) continue;
        const counted = tokensInClass(tokens, own, tokenClass);
        bodyMs = Math.max(bodyMs, counted * pace.msPerToken);
      }
      return firstMs + bodyMs;
    };
    return withMargins(
      longestMs(({usual}) => usual),
      longestMs(({slowest}) => slowest),
      evidence.answers,
    );
  }

  /** @param now current time, monotonic milliseconds */
  forgetOld(now: number): void {
    for (const [tokenClass, recent] of this.#classes) {
      if (recent.isEmpty(now)) this.#classes.delete(tokenClass);
    }
  }
}

function countedTokens(tokens: number): number {
  return Math.min(Math.max(tokens, 2 ** MIN_CLASS), 2 ** MAX_CLASS);
}

/** Class n has more than 2 ** (n - 1) and up to 2 ** n tokens. */
function classOf(tokens: number): number {
  return Math.ceil(Math.log2(tokens));
}

function streamTimes(
  recent: RecentValues,
  tokens: number,
  now: number,
): StreamTimes {
  const first = recent.field(STREAM.FIRST_MS, now);
  const body = recent.field(STREAM.BODY_MS_PER_TOKEN, now);
  const events = recent.field(STREAM.EVENTS_PER_TOKEN, now).largest;
  const pace = recent.field(STREAM.MS_PER_EVENT, now);
  const usual = {
    firstMs: first.usual,
    msPerToken: Math.max(body.usual, events * pace.usual),
  };
  const slowest = {
    firstMs: first.largest,
    msPerToken: Math.max(body.largest, events * pace.largest),
  };
  const longestMs = slowest.firstMs + slowest.msPerToken * tokens;
  const boundMs = longestMs * DURATION_MARGINS.SLOWEST_FACTOR;
  const answers = isObserved(recent, boundMs, now) ? recent.count(now) : 0;
  return {answers, usual, slowest};
}

/** The streams that show how long one of a class takes. */
interface StreamEvidence {
  /** Largest class that counts. */
  readonly last: number;
  /** Number of streams of the next smaller class, and of all larger ones. */
  readonly answers: number;
}

/** Streams of fewer tokens don't show how many events the others have. */
function evidenceFor(
  classes: ReadonlyMap<number, StreamTimes>,
  own: number,
): StreamEvidence | undefined {
  let answers = 0;
  let last: number | undefined;
  for (let tokenClass = own - 1; tokenClass <= MAX_CLASS; tokenClass += 1) {
    answers += classes.get(tokenClass)?.answers ?? 0;
    if (answers < DURATION_MARGINS.MIN_ANSWERS) continue;
    last ??= Math.max(own, tokenClass);
  }
  return last === undefined ? undefined : {last, answers};
}

/** The pace of a class is applied to twice its tokens at most. */
function tokensInClass(
  tokens: number,
  own: number,
  tokenClass: number,
): number {
  const least = 2 ** (tokenClass - 1);
  return tokenClass > own ? least : Math.min(tokens, 4 * least);
}
