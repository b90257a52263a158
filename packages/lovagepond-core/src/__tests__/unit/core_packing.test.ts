import {describe, expect, it} from 'vitest';
import {packText, unpackText} from '../../core_packing.js';

const routes = Array.from({length: 400}, (_, at) => ({
  name: `r-${at}`,
  match: {host: 'ficu95.example', pathPrefix: `/lohu${at}/`},
  timeoutMs: 12_000,
}));

describe('packText and unpackText', () => {
  it('restores short and long texts', () => {
    for (const text of ['{}', JSON.stringify(routes)]) {
      expect(unpackText(packText(text))).toBe(text);
    }
  });

  // Members of an earlier version wrote their logs uncompressed.
  it('reads uncompressed text', () => {
    const text = JSON.stringify(routes);
    expect(unpackText(new TextEncoder().encode(text))).toBe(text);
  });

  it('reduces a large configuration to less than an eighth', () => {
    const text = JSON.stringify(routes);
    expect(packText(text).length).toBeLessThan(text.length / 8);
  });

  it('rejects a text that exceeds the size limit', () => {
    const packed = packText(JSON.stringify(routes));
    expect(() => unpackText(packed, 1_000)).toThrow();
  });
});
