import {describe, expect, it} from 'vitest';
import {RECENT_MS} from '../../core_recent_values.js';
import {
  type ResponseTimes,
  ResponseDurations,
  type ResponseWork,
} from '../../core_response_durations.js';

/** A request as a gateway sees it; routes are not part of the estimate. */
interface RoutedWork extends ResponseWork {
  readonly route: string;
}

const PLAIN: RoutedWork = {
  pool: 'register',
  route: 'post',
  isStream: false,
  outputTokens: undefined,
};
const UNTOLD: RoutedWork = {
  pool: 'reports',
  route: 'alert',
  isStream: true,
  outputTokens: undefined,
};

function stream(outputTokens: number): RoutedWork {
  return {...UNTOLD, outputTokens};
}

/** Five tokens an event. */
function streamTimes(events: number, msPerEvent: number): ResponseTimes {
  const firstMs = 100;
  return {firstMs, totalMs: firstMs + (events - 1) * msPerEvent, events};
}

function plainTimes(totalMs: number): ResponseTimes {
  return {firstMs: totalMs, totalMs, events: undefined};
}

/** Bound that counts as infinite where the caller takes the deadline. */
function boundOf(
  durations: ResponseDurations,
  work: ResponseWork,
  now: number,
): number {
  return durations.boundMs(work, now) ?? Infinity;
}

/** Answers one after the other; returns the time after the last one. */
function answerMany(
  durations: ResponseDurations,
  work: ResponseWork,
  times: readonly ResponseTimes[],
  {from = 0, everyMs = 500} = {},
): number {
  times.forEach((one, at) => {
    durations.noteAnswered(work, one, from + one.totalMs + at * everyMs);
  });
  return from + times.length * everyMs + (times.at(-1)?.totalMs ?? 0);
}

function repeat(count: number, one: ResponseTimes): ResponseTimes[] {
  return Array.from({length: count}, () => one);
}

/** Paces of 20 to 40 ms an event, in turn. */
const PACES = Array.from({length: 100}, (_, at) => 20 + (at % 21));

describe('the bound of a response', () => {
  // Guards against a process that has just started and takes requests by a part
  // of the first duration.
  it('is not shorter than the first response', () => {
    const durations = new ResponseDurations();
    const now = answerMany(durations, PLAIN, [plainTimes(6_000)]);
    expect(boundOf(durations, PLAIN, now)).toBeGreaterThanOrEqual(6_000);
  });

  // Of streams that began with the process, only the short ones have ended.
  it('is unknown until long responses would have been seen', () => {
    const durations = new ResponseDurations();
    const paces = Array.from({length: 60}, () => streamTimes(4, 100));
    const early = answerMany(durations, stream(280), paces, {everyMs: 10});
    expect(boundOf(durations, stream(280), early)).toBeGreaterThan(6_000);
  });

  // A few streams of untold length are long, and none of these has ended yet.
  it('is unknown while few long streams of untold length have ended', () => {
    const durations = new ResponseDurations();
    const short = repeat(150, streamTimes(8, 30));
    const early = answerMany(durations, UNTOLD, short, {everyMs: 100});
    expect(boundOf(durations, UNTOLD, early)).toBe(Infinity);
  });

  // Guards against many quick responses that hide a slow one within seconds.
  it('does not fall with the number of short responses', () => {
    const durations = new ResponseDurations();
    const from = answerMany(durations, PLAIN, repeat(30, plainTimes(2_000)));
    const short = repeat(1_000, plainTimes(20));
    const now = answerMany(durations, PLAIN, short, {from, everyMs: 10});
    expect(boundOf(durations, PLAIN, now)).toBeGreaterThanOrEqual(2_000);
  });

  // Guards against a configuration that renames the routes of a pool.
  it('stays known under another name of the route', () => {
    const durations = new ResponseDurations();
    const now = answerMany(durations, PLAIN, repeat(100, plainTimes(50)));
    const renamed = {...PLAIN, route: 'entries'};
    expect(boundOf(durations, renamed, now)).toBeLessThan(500);
  });

  // Guards against long streams that are taken by the duration of short ones.
  it.each([
    ['after short ones only', 280, 0],
    ['after a few long ones', 280, 10],
    ['after a few of medium length', 2_000, 10],
  ])('of a long stream is not that of short ones: %s', (_, tokens, longer) => {
    const durations = new ResponseDurations();
    const medium = repeat(longer, streamTimes(56, 40));
    answerMany(durations, stream(280), medium);
    const now = answerMany(
      durations,
      stream(25),
      repeat(60, streamTimes(5, 40)),
    );
    const slowest = streamTimes(tokens / 5, 40).totalMs;
    expect(boundOf(durations, stream(tokens), now)).toBeGreaterThan(slowest);
    expect(boundOf(durations, stream(25), now)).toBeLessThan(2_000);
  });

  // Guards against streams that are cut because servers turned slower.
  it.each([
    ['a stream', stream(280), streamTimes(56, 20)],
    ['a stream of untold length', UNTOLD, streamTimes(56, 20)],
    ['a plain response', PLAIN, plainTimes(1_000)],
  ])('covers servers that turn half as fast: %s', (_, work, usual) => {
    const durations = new ResponseDurations();
    const now = answerMany(durations, work, repeat(60, usual));
    const slowMs = 2 * usual.totalMs;
    expect(boundOf(durations, work, now)).toBeGreaterThanOrEqual(slowMs);
  });

  // Guards against streams at a slow server that are cut when all turn slower.
  it('covers the slower of uneven servers that turn half as fast', () => {
    const durations = new ResponseDurations();
    const times = PACES.map(pace => streamTimes(56, pace));
    const now = answerMany(durations, stream(280), times);
    const slowMs = 2 * streamTimes(56, 38).totalMs;
    expect(boundOf(durations, stream(280), now)).toBeGreaterThan(slowMs);
  });

  // Guards against a margin that fits many responses, taken from few.
  it('has a larger margin after few responses', () => {
    const [few, many] = [20, 400].map(count => {
      const durations = new ResponseDurations();
      const times = PACES.map((_, at) => plainTimes(at % 20 ? 20 : 2_000));
      const list = Array.from({length: count}, (_, at) => times[at % 100]!);
      const now = answerMany(durations, PLAIN, list, {everyMs: 100});
      return boundOf(durations, PLAIN, now + 10_000);
    });
    expect(few).toBeGreaterThanOrEqual(4_000);
    expect(many).toBeLessThan(3_000);
  });

  // Most responses end long before their last token, and a few use them all, at
  // a quick server.
  it('covers streams that use all their tokens', () => {
    const durations = new ResponseDurations();
    const times = PACES.map((pace, at) =>
      at % 50 === 49 ? streamTimes(56, 20) : streamTimes(10, pace),
    );
    const now = answerMany(durations, stream(280), times);
    const slowest = streamTimes(56, 40).totalMs;
    expect(boundOf(durations, stream(280), now)).toBeGreaterThan(slowest);
  });

  // Guards against bounds so long that a draining gateway serves nothing.
  it('lets a stream in that has six seconds left', () => {
    const durations = new ResponseDurations();
    const times = PACES.map(pace => streamTimes(56, pace));
    const now = answerMany(durations, stream(280), times);
    expect(boundOf(durations, stream(280), now)).toBeLessThan(5_700);
  });

  // Guards against a single slow response that counts for ever.
  it('forgets a slow response after the window', () => {
    const durations = new ResponseDurations();
    const from = answerMany(durations, PLAIN, [plainTimes(9_000)]);
    const count = (2 * RECENT_MS) / 500;
    const now = answerMany(durations, PLAIN, repeat(count, plainTimes(50)), {
      from,
    });
    expect(boundOf(durations, PLAIN, now)).toBeLessThan(500);
    expect(boundOf(durations, PLAIN, now + 2 * RECENT_MS)).toBe(Infinity);
  });

  it('is unknown with few responses of the kind', () => {
    const durations = new ResponseDurations();
    answerMany(durations, stream(280), repeat(60, streamTimes(56, 20)));
    const now = answerMany(durations, UNTOLD, repeat(19, streamTimes(9, 20)));
    expect(durations.boundMs(UNTOLD, now)).toBeUndefined();
    expect(durations.boundMs({...PLAIN, pool: 'reports'}, now)).toBeUndefined();
    expect(durations.boundMs(stream(280), now)).toBeDefined();
    expect(
      durations.boundMs({...stream(280), pool: 'other'}, now),
    ).toBeUndefined();
  });

  it('ignores times that are not durations', () => {
    const durations = new ResponseDurations();
    for (const totalMs of [NaN, Infinity, -1]) {
      durations.noteAnswered(PLAIN, plainTimes(totalMs), 1_000);
    }
    expect(durations.recordCount).toBe(0);
  });
});
