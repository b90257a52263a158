import {describe, expect, it} from 'vitest';
import {matchesLabels, parseLabelExpression} from '../../core_labels.js';

function matches(text: string, labels: Record<string, string>): boolean {
  const parsed = parseLabelExpression(text);
  if (!parsed.ok) throw new Error(parsed.message);
  return matchesLabels(parsed.terms, labels);
}

describe('label expressions', () => {
  it.each([
    ['', {}, true],
    ['tier=gold', {tier: 'gold'}, true],
    ['tier=gold', {tier: 'silver'}, false],
    ['tier!=gold', {}, true],
    ['tier', {tier: 'x'}, true],
    ['!tier', {tier: 'x'}, false],
    ['zone in (a|b), tier=gold', {zone: 'b', tier: 'gold'}, true],
    ['zone not in (a|b)', {zone: 'a'}, false],
  ])('"%s" on %o is %s', (text, labels, expected) => {
    expect(matches(text, labels as Record<string, string>)).toBe(expected);
  });

  it('quotes the invalid term', () => {
    expect(parseLabelExpression('tier=gold, =x')).toEqual({
      ok: false,
      message: 'not a label term: "=x"',
    });
  });
});
