import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {DemandMeter} from '../../load_demand_meter.js';

describe('DemandMeter', () => {
  // Guards against demand that looks lower or higher than it is, so that a
  // workspace gets another gateway's share.
  it('reads a steady demand as it is, at any time', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 50}),
        fc.integer({min: 1, max: 40}),
        fc.integer({min: 0, max: 1e9}),
        (workMs, everyMs, start) => {
          const meter = new DemandMeter();
          let now = start;
          for (; now <= start + 2_000; now += everyMs) {
            meter.noteOffered('w', workMs, now);
            meter.noteSent(workMs, now);
          }
          const {servedMsPerS, offered} = meter.read(now - everyMs);
          const expected = (workMs / everyMs) * 1_000;
          // One request more or less falls into the second.
          const tolerance = 0.05 * expected + 2 * workMs;
          expect(Math.abs(servedMsPerS - expected)).toBeLessThan(tolerance);
          expect(offered.get('w')).toBe(servedMsPerS);
        },
      ),
    );
  });

  it('forgets work after a second, and the workspace with it', () => {
    const meter = new DemandMeter();
    meter.noteOffered('w', 40, 10_050);
    expect(meter.read(10_900).offered.get('w')).toBeGreaterThan(39);
    expect(meter.read(11_100).offered.size).toBe(0);
    expect(meter.size).toBe(0);
  });

  // Callers choose the names on public routes of some deployments.
  it('keeps a bounded number of workspaces, the latest ones', () => {
    const meter = new DemandMeter(4);
    for (let at = 0; at < 10_000; at += 1) {
      meter.noteOffered('steady', 1, at);
      meter.noteOffered(`w-${at}`, 1, at);
    }
    expect(meter.size).toBe(4);
    const names = [...meter.read(9_999).offered.keys()];
    expect(names).toEqual(['w-9997', 'w-9998', 'steady', 'w-9999']);
  });

  it('ignores implausible work', () => {
    const meter = new DemandMeter();
    for (const workMs of [0, -1, NaN, Infinity, -Infinity, 2 ** 32]) {
      meter.noteOffered('w', workMs, 0);
      meter.noteSent(workMs, 0);
    }
    expect(meter.read(0)).toEqual({servedMsPerS: 0, offered: new Map()});
  });

  // The monotonic clock doesn't go back, but a caller may pass a `now` that it
  // read before a later one.
  it('counts work with an earlier time', () => {
    const meter = new DemandMeter();
    meter.noteSent(5, 1_000);
    meter.noteSent(5, 850);
    expect(meter.read(1_000).servedMsPerS).toBeGreaterThan(9);
  });
});
