import {expect, test} from 'vitest';
import {BodyBudget, type BodyLease} from '../../http_body_budget.js';

/** Takes leases and notes the order in which they give way. */
class Leases {
  readonly gaveWay: string[] = [];
  readonly #budget: BodyBudget;

  constructor(limitBytes: number) {
    this.#budget = new BodyBudget(limitBytes);
  }

  get heldBytes(): number {
    return this.#budget.heldBytes;
  }

  take(name: string, bytes: number): BodyLease {
    const lease = this.#budget.lease(() => {
      this.gaveWay.push(name);
      lease.release();
    });
    expect(lease.grow(bytes)).toBe(true);
    return lease;
  }
}

// Guards against clients that hold all memory and don't finish their bodies.
test('the largest incomplete body gives way to a small one', () => {
  const leases = new Leases(100);
  leases.take('small', 10);
  leases.take('first large', 45);
  leases.take('second large', 45);
  leases.take('newcomer', 20);
  expect(leases.gaveWay).toEqual(['first large']);
  expect(leases.heldBytes).toBe(75);
});

test('a body that would be the largest one does not grow', () => {
  const leases = new Leases(100);
  leases.take('other', 50);
  const large = leases.take('large', 45);
  expect(large.grow(10)).toBe(false);
  expect(leases.gaveWay).toEqual([]);
  expect(leases.heldBytes).toBe(95);
});

test('of equal bodies the one that began first gives way', () => {
  const leases = new Leases(100);
  leases.take('first', 50);
  const second = leases.take('second', 40);
  expect(second.grow(10)).toBe(true);
  leases.take('third', 50);
  expect(leases.gaveWay).toEqual(['first']);
});

test('complete bodies stay until their release', () => {
  const leases = new Leases(100);
  const whole = leases.take('whole', 90);
  whole.complete(80);
  const other = leases.take('other', 20);
  expect(other.grow(1)).toBe(false);
  expect(leases.gaveWay).toEqual([]);
  whole.release();
  whole.release();
  expect(other.grow(80)).toBe(true);
  expect(leases.heldBytes).toBe(100);
});

test('bodies that give way without a release free their bytes', () => {
  const budget = new BodyBudget(100);
  const held = budget.lease(() => undefined);
  expect(held.grow(100)).toBe(true);
  const lease = budget.lease(() => undefined);
  expect(lease.grow(60)).toBe(true);
  expect(budget.heldBytes).toBe(60);
});
