import {expect, test} from 'vitest';
import {CoalescedCall} from '../../coalesced_call.js';
import {ReportedRevisions} from '../../reported_revisions.js';

/** Calls whose results a test provides. */
class PendingCalls {
  readonly open: ((answer: string) => void)[] = [];
  started = 0;

  call = (): Promise<string> => {
    this.started += 1;
    return new Promise(resolve => this.open.push(resolve));
  };

  answer(text: string): Promise<void> {
    this.open.shift()?.(text);
    return new Promise(resolve => setImmediate(resolve));
  }
}

// Seventy gateways ask a follower whether their configuration is the newest.
// The first call may be answered by a leader that has been partitioned since.
// Its result must not be used for later callers, which all share one more call.
test('coalesces all callers during a call into the next one', async () => {
  const calls = new PendingCalls();
  const shared = new CoalescedCall(calls.call);
  const first = shared.get();
  const later = Array.from({length: 69}, () => shared.get());
  expect(calls.started).toBe(1);
  await calls.answer('old');
  expect(await first).toBe('old');
  expect(calls.started).toBe(2);
  await calls.answer('new');
  expect(new Set(await Promise.all(later))).toEqual(new Set(['new']));
  expect(calls.started).toBe(2);
});

test('starts the next call after a failed one', async () => {
  let fails = true;
  const shared = new CoalescedCall(() =>
    fails ? Promise.reject(new Error('no leader')) : Promise.resolve('yes'),
  );
  const [first, second] = [shared.get(), shared.get()];
  fails = false;
  await expect(first).rejects.toThrow('no leader');
  expect(await second).toBe('yes');
  expect(await shared.get()).toBe('yes');
});

// The leader shows operators which revision each gateway holds. It needs each
// change, a retry of each lost report and, after its election, all revisions.
test('reports revisions that the leader does not have', () => {
  const reports = new ReportedRevisions();
  expect(reports.needsReport('a', 'g1', 1, 0)).toBe(true);
  expect(reports.needsReport('a', 'g1', 1, 100)).toBe(true);
  reports.add('a', 'g1', 1, 200);
  expect(reports.needsReport('a', 'g1', 1, 500)).toBe(false);
  expect(reports.needsReport('a', 'g2', 1, 500)).toBe(true);
  expect(reports.needsReport('a', 'g1', 2, 1_000)).toBe(true);
  reports.add('a', 'g1', 2, 1_000);
  expect(reports.needsReport('b', 'g1', 2, 1_500)).toBe(true);
  reports.add('b', 'g1', 2, 1_500);
  expect(reports.needsReport('b', 'g1', 2, 50_000)).toBe(false);
  expect(reports.needsReport('b', 'g1', 2, 70_000)).toBe(true);
  reports.sweep(300_000);
  expect(reports.needsReport('b', 'g1', 2, 300_000)).toBe(true);
});
