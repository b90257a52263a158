import {describe, expect, it} from 'vitest';
import {RecentReadings} from '../../gateway_recent_readings.js';

const SECOND_MS = 1_000;

function reading(prefix: string): {
  backendServer: string;
  prefix: string;
  tokens: number;
} {
  return {backendServer: 's', prefix, tokens: 900};
}

describe('RecentReadings', () => {
  // A report that is lost while control has no leader would never be repeated,
  // and other gateways would have the prompt computed again.
  it('repeats each reading twice, without its tokens', () => {
    const recent = new RecentReadings();
    recent.note(reading('/a'), 0);
    const repeats: number[] = [];
    for (let now = 0; now < 60 * SECOND_MS; now += SECOND_MS / 10) {
      for (const {prefix, tokens} of recent.takeDue(now)) {
        expect({prefix, tokens}).toEqual({prefix: '/a', tokens: 0});
        repeats.push(now);
      }
    }
    expect(repeats).toHaveLength(2);
  });

  it('starts again when the prompt is computed again', () => {
    const recent = new RecentReadings();
    recent.note(reading('/a'), 0);
    recent.note(reading('/a'), 2 * SECOND_MS);
    expect(recent.takeDue(4 * SECOND_MS)).toEqual([]);
    expect(recent.takeDue(6 * SECOND_MS)).toHaveLength(1);
  });

  it('keeps a bounded number of readings', () => {
    const recent = new RecentReadings();
    for (let at = 0; at < 5_000; at += 1) recent.note(reading(`/${at}`), 0);
    expect(recent.takeDue(60 * SECOND_MS)).toHaveLength(1_024);
  });
});
