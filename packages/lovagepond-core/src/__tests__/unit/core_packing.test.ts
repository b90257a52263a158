import {describe, expect, it} from 'vitest';
import {packText, unpackText} from '../../core_packing.js';

const routes = Array.from({length: 400}, (_, at) => ({
  name: `r-${at}`,
  match: {host: 'ficu95.example', pathPrefix: `/lohu${at}/`},
  timeoutMs: 12_000,
}));

describe('packed text', () => {
  it('is the same again, long or short', () => {
    for (const text of ['{}', JSON.stringify(routes)]) {
      expect(unpackText(packText(text))).toBe(text);
    }
  });

  // Members of an earlier version wrote their logs unpacked.
  it('may be plain', () => {
    const text = JSON.stringify(routes);
    expect(unpackText(new TextEncoder().encode(text))).toBe(text);
  });

  it('is an eighth of a large configuration or less', () => {
    const text = JSON.stringify(routes);
    expect(packText(text).length).toBeLessThan(text.length / 8);
  });

  it('is refused when it would unpack to more than allowed', () => {
    const packed = packText(JSON.stringify(routes));
    expect(() => unpackText(packed, 1_000)).toThrow();
  });
});
