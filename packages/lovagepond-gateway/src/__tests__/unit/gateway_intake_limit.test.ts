import {describe, expect, it} from 'vitest';
import {
  type LoopLoad,
  type LoopSecond,
  playEventLoop,
} from './event_loop_model.js';

const CAPACITY_PER_S = 1_000;
const ORDINARY_SHARE = 0.5;
const BEGINS_AT_MS = 2_000;
const END_MS = 8_000;
/** The last second ends before its requests are answered. */
const LAST = -1;

function play(
  share: number,
  hasLimit: boolean,
  more: Partial<Pick<LoopLoad, 'keptPerS' | 'capacityPerS'>> & {
    readonly endsAtMs?: number;
  } = {},
): readonly LoopSecond[] {
  const {endsAtMs = END_MS, capacityPerS = CAPACITY_PER_S, ...kept} = more;
  return playEventLoop({
    capacityPerS,
    arrivalsPerS: now => {
      const isBeyond = now >= BEGINS_AT_MS && now < endsAtMs;
      return capacityPerS * (isBeyond ? share : ORDINARY_SHARE);
    },
    hasLimit,
    seed: 1,
    endMs: END_MS,
    ...kept,
  });
}

function sum(seconds: readonly LoopSecond[], of: keyof LoopSecond): number {
  return seconds.reduce((total, second) => total + second[of], 0);
}

describe('the pause of new connections', () => {
  it('is what keeps a gateway beyond its capacity from serving nothing', () => {
    const capacityPerS = 250;
    const beyond = play(2, false, {capacityPerS}).slice(4, LAST);
    expect(sum(beyond, 'served')).toBe(0);
    const paused = play(2, true, {capacityPerS}).slice(4, LAST);
    expect(sum(paused, 'served')).toBeGreaterThanOrEqual(
      0.9 * capacityPerS * paused.length,
    );
  });

  // Guards against a gateway that reads more than it can serve in time.
  it.each([1.2, 2, 5])(
    'serves what is read, up to the capacity, at %s times the capacity',
    share => {
      const beyond = play(share, true).slice(2, LAST);
      const read = sum(beyond, 'accepted');
      expect(sum(beyond, 'served') / read).toBeGreaterThanOrEqual(0.9);
      const capacity = CAPACITY_PER_S * beyond.length;
      expect(sum(beyond, 'served') / capacity).toBeGreaterThanOrEqual(0.9);
    },
  );

  it('does not begin below the capacity', () => {
    expect(sum(play(0.85, true), 'unread')).toBe(0);
  });

  it('ends once the load has passed', () => {
    const seconds = play(3, true, {endsAtMs: 4_000});
    expect(sum(seconds.slice(2, 4), 'unread')).toBeGreaterThan(0);
    expect(sum(seconds.slice(6), 'unread')).toBe(0);
  });

  // Guards against serving new connections at the cost of those that are open.
  it('leaves the capacity to requests on open connections first', () => {
    const seconds = play(2, true, {keptPerS: 700}).slice(3, LAST);
    const late = sum(seconds, 'late') / sum(seconds, 'served');
    expect(late).toBeLessThan(0.05);
  });
});
