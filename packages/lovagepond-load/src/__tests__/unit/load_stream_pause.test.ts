import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {pausedStreams} from '../../load_stream_pause.js';

const TARGET_GAP_MS = 400;

function paused(pendingMs: number, prefillMs: number, streams = 10): number {
  return pausedStreams({
    runningStreams: streams,
    pendingMs,
    prefillMs,
    targetGapMs: TARGET_GAP_MS,
  });
}

describe('pausedStreams', () => {
  it('ignores prompts that are short compared with the target', () => {
    expect(paused(0, 60)).toBe(0);
    expect(paused(0, 0)).toBe(0);
    expect(paused(100, 500, 0)).toBe(0);
  });

  // Two prompts that are harmless one by one stall the streams together.
  it('counts the prefill that is already pending', () => {
    expect(paused(200, 200)).toBeGreaterThan(1.5 * paused(0, 200));
  });

  it('never counts more streams than are running', () => {
    const ms = fc.double({min: 0, max: 1e9, noNaN: true});
    fc.assert(
      fc.property(ms, ms, fc.nat(1_000), (pendingMs, prefillMs, streams) => {
        const count = paused(pendingMs, prefillMs, streams);
        expect(count).toBeGreaterThanOrEqual(0);
        expect(count).toBeLessThanOrEqual(streams);
      }),
    );
  });

  it.each([0, -1, NaN])('ignores a target of %d ms', targetGapMs => {
    const inputs = {runningStreams: 5, pendingMs: 9, prefillMs: 9_000};
    expect(pausedStreams({...inputs, targetGapMs})).toBe(0);
  });
});
