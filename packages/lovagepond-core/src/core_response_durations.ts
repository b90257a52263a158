/**
 * How long responses take at most, by the recent responses of each pool.
 *
 * Requests of one route may differ in length by orders of magnitude, and routes
 * are renamed. So responses are compared by pool, and streams by the output
 * tokens that their requests allow. Responses may end long before their last
 * token, or never do so: recent streams show how many events a token allows.
 */
import {
  DURATION_MARGINS,
  isObserved,
  withMargins,
} from './core_duration_margins.js';
import {RecentValues} from './core_recent_values.js';
import {type ResponseTimes, StreamDurations} from './core_stream_durations.js';

export {type ResponseTimes} from './core_stream_durations.js';

/** Time between two searches for pools without recent responses, ms. */
const FORGET_INTERVAL_MS = 30_000;

/** The field of responses that are compared by their whole duration. */
const WHOLE = Object.freeze({TOTAL_MS: 0, COUNT: 1});

/** What a request says about the length of its response. */
export interface ResponseWork {
  /** Name of the pool that serves it. */
  readonly pool: string;
  readonly isStream: boolean;
  /** Most output tokens the request allows; undefined or 0 if not told. */
  readonly outputTokens: number | undefined;
}

/** Recent responses of one pool. */
class PoolDurations {
  /** Responses that are not streams; absent without any. */
  plain: RecentValues | undefined;
  /** Streams whose requests don't tell their output tokens. */
  untold: RecentValues | undefined;
  readonly streams = new StreamDurations();

  get recordCount(): number {
    const whole = Number(!!this.plain) + Number(!!this.untold);
    return whole + this.streams.recordCount;
  }

  forgetOld(now: number): void {
    if (this.plain?.isEmpty(now)) this.plain = undefined;
    if (this.untold?.isEmpty(now)) this.untold = undefined;
    this.streams.forgetOld(now);
  }
}

function isDuration(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

/** Estimates upper bounds of the durations of responses. */
export class ResponseDurations {
  readonly #pools = new Map<string, PoolDurations>();
  #forgottenAt = -Infinity;

  /** Pools and their records in memory, each of a fixed size below 1 kB. */
  get recordCount(): number {
    let count = this.#pools.size;
    for (const {recordCount} of this.#pools.values()) count += recordCount;
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
    const {firstMs, totalMs} = answer;
    if (!isDuration(firstMs) || !isDuration(totalMs)) return;
    this.#forgetOld(now);
    const pool = this.#poolOf(work.pool);
    const {isStream, outputTokens = 0} = work;
    if (isStream && outputTokens > 0) {
      pool.streams.note(outputTokens, answer, now);
      return;
    }
    const recent = isStream
      ? (pool.untold ??= new RecentValues(WHOLE.COUNT))
      : (pool.plain ??= new RecentValues(WHOLE.COUNT));
    recent.note([totalMs], now - totalMs, now);
  }

  /**
   * Never shorter for a stream of more output tokens; no bound counts as longer
   * than any.
   *
   * @param work what the request says about its length
   * @param now current time, monotonic milliseconds
   * @returns upper bound of the time from the send until the server's last byte,
   *     milliseconds; undefined if too few similar responses were seen recently
   */
  boundMs(work: ResponseWork, now: number): number | undefined {
    const pool = this.#pools.get(work.pool);
    const {isStream, outputTokens = 0} = work;
    if (!isStream) return pool?.plain && plainBound(pool.plain, now);
    if (outputTokens > 0) return pool?.streams.boundMs(outputTokens, now);
    return pool?.untold && untoldBound(pool.untold, now);
  }

  #poolOf(name: string): PoolDurations {
    const known = this.#pools.get(name);
    if (known) return known;
    const added = new PoolDurations();
    this.#pools.set(name, added);
    return added;
  }

  #forgetOld(now: number): void {
    if (now - this.#forgottenAt < FORGET_INTERVAL_MS) return;
    this.#forgottenAt = now;
    for (const [name, pool] of this.#pools) {
      pool.forgetOld(now);
      if (pool.recordCount === 0) this.#pools.delete(name);
    }
  }
}

function plainBound(recent: RecentValues, now: number): number | undefined {
  const answers = recent.count(now);
  if (answers < DURATION_MARGINS.MIN_ANSWERS) return undefined;
  const {usual, largest} = recent.field(WHOLE.TOTAL_MS, now);
  const boundMs = withMargins(usual, largest, answers);
  return isObserved(recent, boundMs, now) ? boundMs : undefined;
}

function untoldBound(recent: RecentValues, now: number): number | undefined {
  const {UNTOLD_MIN_ANSWERS, UNTOLD_FACTOR, UNTOLD_OBSERVED_MS} =
    DURATION_MARGINS;
  if (recent.count(now) < UNTOLD_MIN_ANSWERS) return undefined;
  if (now - recent.since < UNTOLD_OBSERVED_MS) return undefined;
  const boundMs = recent.field(WHOLE.TOTAL_MS, now).largest * UNTOLD_FACTOR;
  return isObserved(recent, boundMs, now) ? boundMs : undefined;
}
