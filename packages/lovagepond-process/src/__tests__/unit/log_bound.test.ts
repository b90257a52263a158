import {expect, test} from 'vitest';
import {LogBound} from '../../index.js';

const HALF_FULL = 512 * 1024;
const FULL = 1024 * 1024;

test('drops routine lines first, and all once there is no room', () => {
  const bound = new LogBound();
  expect(bound.accepts('info', HALF_FULL - 1)).toBe(true);
  expect(bound.takeDropped()).toBeUndefined();
  expect(bound.accepts('debug', HALF_FULL)).toBe(false);
  expect(bound.accepts('info', HALF_FULL)).toBe(false);
  expect(bound.accepts('warn', HALF_FULL)).toBe(true);
  expect(bound.accepts('error', FULL)).toBe(false);
  expect(bound.takeDropped()).toEqual({debug: 1, info: 1, warn: 0, error: 1});
  expect(bound.takeDropped()).toBeUndefined();
});
