import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decodeLoad, encodeLoad} from '../../core_load_digest.js';

const SEED = 20_261_202;
const STEP = 2 ** (1 / 12.5);

describe('load digest', () => {
  it('keeps a load within one step and never reorders loads', () => {
    const tokens = fc.integer({min: 64, max: 40_000_000});
    fc.assert(
      fc.property(tokens, tokens, (first, second) => {
        const decoded = decodeLoad(encodeLoad(first));
        expect(decoded / first).toBeLessThan(STEP);
        expect(first / decoded).toBeLessThan(STEP);
        if (first <= second) {
          expect(encodeLoad(first)).toBeLessThanOrEqual(encodeLoad(second));
        }
      }),
      {seed: SEED},
    );
  });

  it('distinguishes an idle server from a busy one', () => {
    expect(encodeLoad(0)).toBe(0);
    expect(decodeLoad(0)).toBe(0);
    expect(encodeLoad(64)).toBeGreaterThan(0);
  });
});
