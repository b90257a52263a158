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

  // A wrong fourth value must neither hide the first three, which all servers
  // send, nor make a server look fast or slow.
  it.each([
    ['3,1,4,300', 300],
    ['3,1,4,10', 10],
    [' 3, 1, 4, 10000 ', 10_000],
    ['3,1,4', undefined],
    ['3,1,4,', undefined],
    ['3,1,4,9', undefined],
    ['3,1,4,0', undefined],
    ['3,1,4,-300', undefined],
    ['3,1,4,10001', undefined],
    ['3,1,4,1e300', undefined],
    ['3,1,4,Infinity', undefined],
    ['3,1,4,fast', undefined],
    ['3,1,4,300,1', undefined],
  ])('reads the load header %o with the slowdown %o', (value, percent) => {
    const {load} = readServerSignals(200, {[NAMES.serverLoad]: value}, NAMES);
    expect(load).toEqual({
      running: 3,
      waiting: 1,
      slots: 4,
      ...(percent !== undefined && {slowdownPercent: percent}),
    });
  });

  // The header of a proxy that sends it twice arrives as one value. Its fourth
  // number is the second count of running requests.
  it('reads no slowdown from a repeated load header', () => {
    const headers = {[NAMES.serverLoad]: ['20,0,40', '20,0,40']};
    const {load} = readServerSignals(200, headers, NAMES);
    expect(load).toEqual({running: 20, waiting: 0, slots: 40});
  });

  it.each(['', '3', '3,1', '-3,1,4', '3,1,0', 'x,1,4,300', ',,,300'])(
    'ignores the load header %o',
    value => {
      const headers = {[NAMES.serverLoad]: value};
      expect(readServerSignals(200, headers, NAMES).load).toBeUndefined();
    },
  );
});
