import {expect, it} from 'vitest';
import {LedgerIncarnations} from '../../ledger_incarnations.js';

const DAY_MS = 24 * 3_600_000;

// Guards against members that answer a late announcement differently: a sidecar
// has a claim open when its registration expires, and one member is restored
// from a snapshot meanwhile.
it('expires the same registrations at a restored member', () => {
  const running = new LedgerIncarnations();
  running.register('s', 'i1', 0);
  running.register('s', 'i2', 0);
  running.expire(8 * DAY_MS, () => true);
  const restored = new LedgerIncarnations();
  restored.restore(running.snapshot());
  for (const member of [running, restored]) {
    member.expire(9 * DAY_MS, () => false);
    expect(member.register('s', 'i1', 9 * DAY_MS)).toBe(true);
  }
});

it('keeps a sidecar that registered again', () => {
  const incarnations = new LedgerIncarnations();
  incarnations.register('s', 'i1', 0);
  incarnations.expire(8 * DAY_MS, () => true);
  incarnations.register('s', 'i2', 8 * DAY_MS);
  incarnations.expire(9 * DAY_MS, () => false);
  expect(incarnations.current('s')?.incarnation).toBe('i2');
});
