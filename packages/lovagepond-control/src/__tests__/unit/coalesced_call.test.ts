import {expect, test} from 'vitest';
import {CoalescedCall} from '../../coalesced_call.js';
import {ReportedRevisions} from '../../reported_revisions.js';

/** Questions that a test answers. */
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

// Seventy gateways ask a follower whether their configuration is the newest. The
// first question is under way to a leader that may be cut off since: its answer
// must not count for those who asked later, and one more question serves them all.
test('asks once more for all who came meanwhile', async () => {
  const questions = new PendingCalls();
  const shared = new CoalescedCall(questions.call);
  const first = shared.get();
  const later = Array.from({length: 69}, () => shared.get());
  expect(questions.started).toBe(1);
  await questions.answer('old');
  expect(await first).toBe('old');
  expect(questions.started).toBe(2);
  await questions.answer('new');
  expect(new Set(await Promise.all(later))).toEqual(new Set(['new']));
  expect(questions.started).toBe(2);
});

test('goes on after a question that failed', async () => {
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

// Operators see at the leader which revision each gateway holds. It must hear of
// each change, of what got lost on its way and, when it is a new one, of all.
test('tells a leader what it does not know', () => {
  const told = new ReportedRevisions();
  expect(told.needsReport('a', 'g1', 1, 0)).toBe(true);
  expect(told.needsReport('a', 'g1', 1, 100)).toBe(true);
  told.add('a', 'g1', 1, 200);
  expect(told.needsReport('a', 'g1', 1, 500)).toBe(false);
  expect(told.needsReport('a', 'g2', 1, 500)).toBe(true);
  expect(told.needsReport('a', 'g1', 2, 1_000)).toBe(true);
  told.add('a', 'g1', 2, 1_000);
  expect(told.needsReport('b', 'g1', 2, 1_500)).toBe(true);
  told.add('b', 'g1', 2, 1_500);
  expect(told.needsReport('b', 'g1', 2, 50_000)).toBe(false);
  expect(told.needsReport('b', 'g1', 2, 70_000)).toBe(true);
  told.sweep(300_000);
  expect(told.needsReport('b', 'g1', 2, 300_000)).toBe(true);
});
