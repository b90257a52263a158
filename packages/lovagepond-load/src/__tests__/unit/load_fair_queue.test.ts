import {describe, expect, it} from 'vitest';
import {FairQueue, type FairQueueItem} from '../../index.js';

function makeItem(
  id: string,
  workspace: string,
  fields: Partial<FairQueueItem> = {},
): FairQueueItem {
  return {id, workspace, priority: 5, cost: 10, ...fields};
}

describe('the fair queue', () => {
  // Guards against requests that become late behind younger ones of their own
  // workspace.
  it('serves the items of a workspace in the order of their due times', () => {
    const queue = new FairQueue(1);
    queue.push(makeItem('late', 'a', {dueAt: 30}));
    queue.push(makeItem('early', 'a', {dueAt: 10}));
    queue.push(makeItem('middle', 'a', {dueAt: 20}));
    queue.push(makeItem('middle2', 'a', {dueAt: 20}));
    const ids = Array.from({length: 4}, () => queue.pop()?.id);
    expect(ids).toEqual(['early', 'middle', 'middle2', 'late']);
    expect(queue.pop()).toBeUndefined();
  });

  // Guards against costs that stay counted after a removal.
  it('removes due items of all workspaces', () => {
    const queue = new FairQueue(1);
    for (const [index, workspace] of ['a', 'b', 'a', 'b'].entries()) {
      queue.push(makeItem(`i${index}`, workspace, {dueAt: index}));
    }
    expect(queue.nextDueAt()).toBe(0);
    const due = queue.removeDue(2).map(({id}) => id);
    expect(due.sort()).toEqual(['i0', 'i1', 'i2']);
    expect(queue.cost).toBe(10);
    expect(queue.costOf('a')).toBe(0);
    expect(queue.nextDueAt()).toBe(3);
  });

  // Guards against a workspace with large requests that gets more work done
  // than one with small requests.
  it('shares by cost, not by number', () => {
    const queue = new FairQueue(1);
    const served = {a: 0, b: 0};
    for (let index = 0; index < 1_000; index += 1) {
      queue.push(makeItem(`a${index}`, 'a', {cost: 5}));
      queue.push(makeItem(`b${index}`, 'b', {cost: 50}));
    }
    for (let count = 0; count < 500; count += 1) {
      const {workspace, cost} = queue.pop()!;
      served[workspace as 'a' | 'b'] += cost;
    }
    expect(served.a / served.b).toBeGreaterThan(0.9);
    expect(served.a / served.b).toBeLessThan(1.1);
  });

  // Guards against a head that hides the rest of the queue.
  it('offers the heads of all workspaces, and their last items', () => {
    const queue = new FairQueue(1);
    queue.push(makeItem('a1', 'a'));
    queue.push(makeItem('a2', 'a'));
    queue.push(makeItem('b1', 'b'));
    const ids = [...queue.candidates()].map(({id}) => id);
    expect(ids).toHaveLength(3);
    expect(new Set(ids.slice(0, 2))).toEqual(new Set(['a1', 'b1']));
    expect(ids[2]).toBe('a2');
  });
});
