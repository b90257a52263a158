import {describe, expect, it} from 'vitest';
import {readServerSignals} from '../../gateway_headers.js';
import {NAMES} from './gateway_harness.js';

describe('readServerSignals', () => {
  it.each([
    [503, {'retry-after': '3'}, 3_000],
    [503, {'retry-after': '0.25'}, 250],
    [503, {}, 0],
    [503, {'retry-after': 'soon'}, 0],
    [503, {'retry-after': '-1'}, 0],
    [200, {'retry-after': '3'}, 0],
    [429, {'retry-after': '3'}, 0],
  ])('reads the pause of a %s with %o as %s ms', (status, headers, pauseMs) => {
    const signals = readServerSignals(status, headers, NAMES);
    expect(signals).toEqual({isLeaving: false, pauseMs});
  });

  it.each([
    ['1', true],
    ['0', false],
    ['', false],
  ])('reads the leaving header %o as %s', (value, isLeaving) => {
    const signals = readServerSignals(200, {[NAMES.leaving]: value}, NAMES);
    expect(signals).toEqual({isLeaving, pauseMs: 0});
  });
});
