import {expect, test} from 'vitest';
import {LogLimiter} from '../../index.js';

const HALF_FULL = 512 * 1024;
const FULL = 1024 * 1024;

test('drops routine lines first, and all lines once the buffer is full', () => {
  const limiter = new LogLimiter();
  expect(limiter.accepts('info', HALF_FULL - 1)).toBe(true);
  expect(limiter.takeDropped()).toBeUndefined();
  expect(limiter.accepts('debug', HALF_FULL)).toBe(false);
  expect(limiter.accepts('info', HALF_FULL)).toBe(false);
  expect(limiter.accepts('warn', HALF_FULL)).toBe(true);
  expect(limiter.accepts('error', FULL)).toBe(false);
  expect(limiter.takeDropped()).toEqual({debug: 1, info: 1, warn: 0, error: 1});
  expect(limiter.takeDropped()).toBeUndefined();
});
