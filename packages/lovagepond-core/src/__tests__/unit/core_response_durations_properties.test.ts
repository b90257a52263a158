import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RECENT_MS} from '../../core_recent_values.js';
import {
  type ResponseTimes,
  ResponseDurations,
  type ResponseWork,
} from '../../core_response_durations.js';

interface Noted {
  readonly work: ResponseWork;
  readonly times: ResponseTimes;
  readonly at: number;
}

const tokenCounts = fc.oneof(
  fc.integer({min: 0, max: 300}),
  fc.integer({min: 1, max: 200_000}),
  fc.constantFrom(undefined, 0.5, 1e12),
);
const works = fc.record({
  pool: fc.constantFrom('a', 'b'),
  isStream: fc.boolean(),
  outputTokens: tokenCounts,
});
/** Whole nanoseconds, the finest that a clock tells, up to 20 s or 1 ms. */
const durationsMs = fc
  .oneof(fc.integer({min: 0, max: 20e9}), fc.integer({min: 0, max: 1e6}))
  .map(ns => ns / 1e6);

/** Runs of similar responses at increasing times; one of a run may be slow. */
const histories = fc
  .array(
    fc.record({
      work: works,
      count: fc.integer({min: 1, max: 60}),
      firstMs: durationsMs,
      bodyMs: durationsMs,
      events: fc.option(fc.integer({min: 0, max: 500}), {nil: undefined}),
      everyMs: fc.integer({min: 0, max: 3_000}),
      slowOne: fc.integer({min: 0, max: 60}),
      slowness: fc.integer({min: 1, max: 30}),
    }),
    {minLength: 1, maxLength: 12},
  )
  .map(runs => {
    const noted: Noted[] = [];
    let at = 0;
    for (const {work, count, everyMs, events, slowOne, ...run} of runs) {
      for (let one = 0; one < count; one += 1) {
        at += everyMs;
        const factor = one === slowOne ? run.slowness : 1;
        const firstMs = run.firstMs * factor;
        const bodyMs = run.bodyMs * ((one % 7) / 7 + 0.1) * factor;
        const times = {firstMs, totalMs: firstMs + bodyMs, events};
        noted.push({work, times, at});
      }
    }
    return {noted, now: at};
  });

function durationsAfter(noted: readonly Noted[]): ResponseDurations {
  const durations = new ResponseDurations();
  for (const {work, times, at} of noted) {
    durations.noteAnswered(work, times, at);
  }
  return durations;
}

function tokensOf({outputTokens = 0}: ResponseWork): number {
  return outputTokens;
}

/** Whether the response to `other` shows how long one to `work` may take. */
function isSimilar(work: ResponseWork, other: ResponseWork): boolean {
  if (work.pool !== other.pool || work.isStream !== other.isStream) {
    return false;
  }
  if (!work.isStream) return true;
  const isTold = tokensOf(other) > 0;
  if (isTold !== tokensOf(work) > 0) return false;
  return tokensOf(other) <= tokensOf(work);
}

describe('the bounds of any responses', () => {
  it('grow with the output tokens of a stream', () => {
    fc.assert(
      fc.property(
        histories,
        fc.array(fc.integer({min: 1, max: 100_000}), {minLength: 2}),
        ({noted, now}, tokens) => {
          const durations = durationsAfter(noted);
          const bounds = tokens
            .sort((a, b) => a - b)
            .map(outputTokens => {
              const work = {pool: 'a', isStream: true, outputTokens};
              return durations.boundMs(work, now) ?? Infinity;
            });
          expect(bounds).toEqual([...bounds].sort((a, b) => a - b));
        },
      ),
    );
  });

  it('are never below the slowest similar response of the window', () => {
    fc.assert(
      fc.property(
        histories,
        works,
        fc.integer({min: 0, max: 200_000}),
        ({noted, now}, asked, laterMs) => {
          const durations = durationsAfter(noted);
          const all = [asked, ...noted.map(({work}) => work)];
          const askedAt = now + laterMs;
          const recent = noted.filter(({at}) => askedAt - at <= RECENT_MS);
          for (const work of new Set(all)) {
            const bound = durations.boundMs(work, askedAt) ?? Infinity;
            for (const {work: other, times} of recent) {
              if (!isSimilar(work, other)) continue;
              expect(bound).toBeGreaterThanOrEqual(times.totalMs);
            }
          }
        },
      ),
    );
  });

  // Guards against memory that grows with responses or with names of pools.
  it('are kept in bounded memory', () => {
    const durations = new ResponseDurations();
    let most = 0;
    for (let at = 0; at < 40_000; at += 1) {
      const work = {
        pool: `pool${Math.floor(at / 200)}`,
        isStream: at % 3 > 0,
        outputTokens: at % 3 === 1 ? 1.5 ** (at % 90) : undefined,
      };
      const times = {firstMs: 100, totalMs: 140, events: 5};
      durations.noteAnswered(work, times, at * 100);
      most = Math.max(most, durations.recordCount);
    }
    // A pool answers for 20 s. It is kept for the window, a slice of 15 s, and
    // until the next search 30 s later.
    const pools = 2 + (RECENT_MS + 45_000) / 20_000;
    expect(most).toBeLessThanOrEqual(pools * (1 + 2 + 14));
    const work = {pool: 'last', isStream: false, outputTokens: undefined};
    const times = {firstMs: 5, totalMs: 5, events: undefined};
    durations.noteAnswered(work, times, 40_000 * 100 + RECENT_MS * 2);
    expect(durations.recordCount).toBe(2);
  });
});
