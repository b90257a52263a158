import {expect, test} from 'vitest';
import {WarmParts} from '../../gateway_warm_parts.js';

// A prompt that is sent again while the engine has other work would count as not
// yet prefilled, and its context would not be fetched from there.
test('a part that is used again stays prefilled', () => {
  const parts = new WarmParts();
  parts.note(['a'], 100, undefined);
  parts.note(['a'], 500, undefined);
  expect(parts.coldTokens([{id: 'a', tokens: 900}], 200)).toBe(0);
});
