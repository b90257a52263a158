/**
 * How long responses take at most, by the recent responses of each pool.
 *
 * Requests of one route may differ in length by orders of magnitude, and routes
 * are renamed. So responses are compared by pool, and streams by the output
 * tokens that their requests allow. Responses may end long before their last
 * token, or never do so: recent streams show how many events a token allows.
 */
import {RecentValues} from './gateway_recent_values.js';

export const RESPONSE_DURATIONS = Object.freeze({
  /** Similar responses without which there is no bound. */
  MIN_ANSWERS: 20,
  /** Servers may turn slower by about this factor. */
  SLOWDOWN_FACTOR: 2.1,
  /** Exceeds the slowest of many responses, and of `MIN_ANSWERS` twice. */
  SLOWEST_FACTOR: 1.25,
  FEW_ANSWERS_FACTOR: 0.75,
  /** Streams whose requests don't tell their tokens may have any length. */
  UNTOLD_MIN_ANSWERS: 50,
  UNTOLD_FACTOR: 3,
  /**
   * A bound is known once responses were observed for this many times as long.
   * Of responses that began together, the short ones end first.
   */
  OBSERVED_FACTOR: 2,
});

/** Events of a stream below which a single pause would set the pace. */
const MIN_PACE_EVENTS = 8;

/** More output tokens than 2 ** MAX_CLASS count as so many. */
const MAX_CLASS = 16;

/** Time between two searches for pools without recent responses, ms. */
const FORGET_INTERVAL_MS = 30_000;

/** What a request says about the length of its response. */
export interface ResponseWork {
  /** Name of the pool that serves it. */
  readonly pool: string;
  readonly isStream: boolean;
  /** Most output tokens the request allows; undefined or 0 if not told. */
  readonly outputTokens: number | undefined;
}

/** The measured times of a complete successful response. */
export interface ResponseTimes {
  /** From the send to the server until the first byte of the body, ms. */
  readonly firstMs: number;
  /** From the send to the server until the server's last byte, ms. */
  readonly totalMs: number;
  /** Whole events of a stream, if counted. */
  readonly events: number | undefined;
}

/** Fields of the streams of one class of output tokens. */
const STREAM = Object.freeze({
  FIRST_MS: 0,
  BODY_MS_PER_TOKEN: 1,
  EVENTS_PER_TOKEN: 2,
  MS_PER_EVENT: 3,
  COUNT: 4,
});

/** The field of responses that are compared by their whole duration. */
const WHOLE = Object.freeze({TOTAL_MS: 0, COUNT: 1});

/** Recent responses of one pool. */
interface PoolResponses {
  /** Responses that are not streams. */
  readonly plain: RecentValues;
  /** Streams whose requests don't tell their output tokens. */
  readonly untold: RecentValues;
  /** Streams by class: classOf(output tokens). */
  readonly streams: Map<number, RecentValues>;
}

/** Requests of class n allow more than 2 ** (n - 1), up to 2 ** n tokens. */
function classOf(tokens: number): number {
  return Math.ceil(Math.log2(Math.max(1, tokens)));
}

/** Returns 0 if the request doesn't tell its output tokens. */
function tokensOf({outputTokens = 0}: ResponseWork): number {
  return outputTokens > 0 ? Math.min(outputTokens, 2 ** MAX_CLASS) : 0;
}

function isDuration(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

/** Estimates upper bounds of the durations of responses. */
export class ResponseDurations {
  readonly #pools = new Map<string, PoolResponses>();
  #forgottenAt = -Infinity;

  /** The number of records in memory; each has a fixed size below 1 kB. */
  get recordCount(): number {
    let count = 0;
    for (const {streams} of this.#pools.values()) count += 2 + streams.size;
    return count;
  }

  /**
   * Records a complete successful response. Rejected, failed and cancelled
   * requests must not be recorded: they end early.
   *
   * @param work what the request says about its length
   * @param answer the measured times
   * @param now current time, monotonic milliseconds
   */
  noteAnswered(work: ResponseWork, answer: ResponseTimes, now: number): void {
    const {totalMs} = answer;
    if (!isDuration(answer.firstMs) || !isDuration(totalMs)) return;
    this.#forgetIdlePools(now);
    const pool = this.#poolOf(work.pool);
    const tokens = tokensOf(work);
    const beganAt = now - totalMs;
    if (!work.isStream) pool.plain.note([totalMs], beganAt, now);
    else if (tokens === 0) pool.untold.note([totalMs], beganAt, now);
    else noteStream(pool, tokens, answer, now);
  }

  /**
   * @param work what the request says about its length
   * @param now current time, monotonic milliseconds
   * @returns upper bound of the time from the send until the server's last byte,
   *     milliseconds; undefined if too few similar responses were seen recently.
   *     Of two streams, the one with more output tokens has no lower bound.
   */
  boundMs(work: ResponseWork, now: number): number | undefined {
    const pool = this.#pools.get(work.pool);
    if (!pool) return undefined;
    const tokens = tokensOf(work);
    if (!work.isStream) return plainBound(pool.plain, now);
    if (tokens === 0) return untoldBound(pool.untold, now);
    return streamBound(pool.streams, tokens, now);
  }

  #poolOf(name: string): PoolResponses {
    const known = this.#pools.get(name);
    if (known) return known;
    const added = {
      plain: new RecentValues(WHOLE.COUNT),
      untold: new RecentValues(WHOLE.COUNT),
      streams: new Map<number, RecentValues>(),
    };
    this.#pools.set(name, added);
    return added;
  }

  #forgetIdlePools(now: number): void {
    if (now - this.#forgottenAt < FORGET_INTERVAL_MS) return;
    this.#forgottenAt = now;
    for (const [name, {plain, untold, streams}] of this.#pools) {
      for (const [tokenClass, recent] of streams) {
        if (recent.isEmpty(now)) streams.delete(tokenClass);
      }
      const isIdle = streams.size === 0 && plain.isEmpty(now);
      if (isIdle && untold.isEmpty(now)) this.#pools.delete(name);
    }
  }
}

function noteStream(
  {streams}: PoolResponses,
  tokens: number,
  {firstMs, totalMs, events}: ResponseTimes,
  now: number,
): void {
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
  let recent = streams.get(tokenClass);
  if (!recent) {
    recent = new RecentValues(STREAM.COUNT);
    streams.set(tokenClass, recent);
  }
  recent.note(values, now - totalMs, now);
}

function plainBound(recent: RecentValues, now: number): number | undefined {
  const answers = recent.count(now);
  if (answers < RESPONSE_DURATIONS.MIN_ANSWERS) return undefined;
  const usualMs = recent.usual(WHOLE.TOTAL_MS, now);
  const slowestMs = recent.largest(WHOLE.TOTAL_MS, now);
  const boundMs = withMargins(usualMs, slowestMs, answers);
  return isObserved(recent, boundMs, now) ? boundMs : undefined;
}

function untoldBound(recent: RecentValues, now: number): number | undefined {
  const {UNTOLD_MIN_ANSWERS, UNTOLD_FACTOR} = RESPONSE_DURATIONS;
  if (recent.count(now) < UNTOLD_MIN_ANSWERS) return undefined;
  const boundMs = recent.largest(WHOLE.TOTAL_MS, now) * UNTOLD_FACTOR;
  return isObserved(recent, boundMs, now) ? boundMs : undefined;
}

/**
 * @param usualMs most similar responses take no longer
 * @param slowestMs the longest that was seen of similar responses
 * @param answers number of similar responses
 * @returns bound for servers that turn slower, and for what was not seen yet
 */
function withMargins(
  usualMs: number,
  slowestMs: number,
  answers: number,
): number {
  const {SLOWDOWN_FACTOR, SLOWEST_FACTOR, FEW_ANSWERS_FACTOR, MIN_ANSWERS} =
    RESPONSE_DURATIONS;
  const few = (FEW_ANSWERS_FACTOR * MIN_ANSWERS) / answers;
  const slowestBoundMs = slowestMs * (SLOWEST_FACTOR + few);
  return Math.max(usualMs * SLOWDOWN_FACTOR, slowestBoundMs);
}

/** Whether a response of that duration would have been seen. */
function isObserved(
  recent: RecentValues,
  durationMs: number,
  now: number,
): boolean {
  const neededMs = durationMs * RESPONSE_DURATIONS.OBSERVED_FACTOR;
  return now - recent.since >= neededMs;
}

/**
 * The time to the first event, and for each token the most events at the pace.
 * The classes up to that of the request count, and larger ones as far as they
 * are needed for enough responses. Those below the next smaller class say
 * nothing about how long such a stream becomes.
 */
function streamBound(
  streams: ReadonlyMap<number, RecentValues>,
  tokens: number,
  now: number,
): number | undefined {
  const own = classOf(tokens);
  const evidence = evidenceFor(streams, own, now);
  if (!evidence) return undefined;
  const usual = {firstMs: 0, bodyMs: 0};
  const slowest = {firstMs: 0, bodyMs: 0};
  for (const [tokenClass, recent] of streams) {
    const counted =
      tokenClass > evidence.last ? 0 : tokensInClass(tokens, own, tokenClass);
    raise(
      usual,
      recent.usual(STREAM.FIRST_MS, now),
      counted * usualMsPerToken(recent, now),
    );
    raise(
      slowest,
      recent.largest(STREAM.FIRST_MS, now),
      counted * slowestMsPerToken(recent, now),
    );
  }
  return withMargins(
    usual.firstMs + usual.bodyMs,
    slowest.firstMs + slowest.bodyMs,
    evidence.answers,
  );
}

interface StreamTimes {
  firstMs: number;
  bodyMs: number;
}

function raise(times: StreamTimes, firstMs: number, bodyMs: number): void {
  times.firstMs = Math.max(times.firstMs, firstMs);
  times.bodyMs = Math.max(times.bodyMs, bodyMs);
}

/** The streams that show how long one of a class takes. */
interface StreamEvidence {
  /** Largest class that counts. */
  readonly last: number;
  /** Number of streams of about as many tokens or more. */
  readonly answers: number;
}

function evidenceFor(
  streams: ReadonlyMap<number, RecentValues>,
  own: number,
  now: number,
): StreamEvidence | undefined {
  let answers = 0;
  let last: number | undefined;
  for (let tokenClass = own - 1; tokenClass <= MAX_CLASS; tokenClass += 1) {
    const recent = streams.get(tokenClass);
    if (recent) answers += observedStreams(recent, 2 ** tokenClass, now);
    if (answers < RESPONSE_DURATIONS.MIN_ANSWERS) continue;
    last ??= Math.max(own, tokenClass);
  }
  return last === undefined ? undefined : {last, answers};
}

function observedStreams(
  recent: RecentValues,
  tokens: number,
  now: number,
): number {
  const firstMs = recent.largest(STREAM.FIRST_MS, now);
  const longestMs = firstMs + slowestMsPerToken(recent, now) * tokens;
  const boundMs = longestMs * RESPONSE_DURATIONS.SLOWEST_FACTOR;
  return isObserved(recent, boundMs, now) ? recent.count(now) : 0;
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

/** The most events for each token at the slowest pace. */
function slowestMsPerToken(recent: RecentValues, now: number): number {
  const events = recent.largest(STREAM.EVENTS_PER_TOKEN, now);
  const pace = recent.largest(STREAM.MS_PER_EVENT, now);
  return Math.max(recent.largest(STREAM.BODY_MS_PER_TOKEN, now), events * pace);
}

/** The most events for each token at the usual pace. */
function usualMsPerToken(recent: RecentValues, now: number): number {
  const events = recent.largest(STREAM.EVENTS_PER_TOKEN, now);
  const pace = recent.usual(STREAM.MS_PER_EVENT, now);
  return Math.max(recent.usual(STREAM.BODY_MS_PER_TOKEN, now), events * pace);
}
