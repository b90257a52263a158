import {describe, expect, it} from 'vitest';
import {PendingPrefill} from '../../gateway_pending_prefill.js';

describe('PendingPrefill', () => {
  // A first token arrives some time after its prefill is done. Counting all
  // tokens until then made engines look several times as busy as they were.
  it('drains the tokens of a prompt as predicted', () => {
    const pending = new PendingPrefill();
    pending.add(1_000, 100, 200);
    const tokens = [0, 100, 150, 200, 350].map(now => pending.tokensAt(now));
    expect(tokens).toEqual([1_000, 1_000, 500, 0, 0]);
  });

  // An engine that is slower than predicted would look idle.
  it('counts the tokens again while the first token is overdue', () => {
    const pending = new PendingPrefill();
    const remove = pending.add(1_000, 100, 200);
    expect(pending.tokensAt(351)).toBe(1_000);
    remove();
    expect(pending.tokensAt(351)).toBe(0);
  });
});
