import {describe, expect, it} from 'vitest';
import {formatSection} from '../../measure_print.js';
import {Distribution} from '../../measure_statistics.js';

describe('Distribution', () => {
  it('returns percentiles within its resolution and the exact maximum', () => {
    const values = new Distribution(0.01);
    for (let value = 1; value <= 1000; value++) values.record(value / 100);
    expect(values.percentile(50)).toBeCloseTo(5, 1);
    expect(values.percentile(99)).toBeCloseTo(9.9, 1);
    expect(values.max).toBe(10);
    expect(new Distribution(1).percentile(99)).toBe(0);
  });
});

describe('formatSection', () => {
  it('aligns columns as a Markdown table, followed by the notes', () => {
    const text = formatSection({
      title: 'T',
      columns: ['policy', 'x'],
      rows: [['a', 10]],
      notes: ['seed 1'],
    });
    expect(text).toBe(
      '### T\n\n| policy |  x |\n| ------ | -- |\n| a      | 10 |\n\n- seed 1\n',
    );
  });
});
