import {type Socket} from 'node:net';
import {expect, test} from 'vitest';
import {HeadBudget} from '../../http_head_budget.js';

const [first, second, third] = [{}, {}, {}] as [Socket, Socket, Socket];

test('the largest incomplete head gives way above the limit', () => {
  const budget = new HeadBudget(100);
  expect(budget.add(first, 40)).toBe(40);
  expect(budget.add(second, 30)).toBe(30);
  expect(budget.add(second, 20)).toBe(50);
  expect(budget.findExcess()).toBeUndefined();
  budget.add(third, 11);
  expect(budget.findExcess()).toBe(second);
  budget.clear(second);
  expect(budget.findExcess()).toBeUndefined();
});

test('complete heads take no memory', () => {
  const budget = new HeadBudget(100);
  budget.add(first, 90);
  budget.clear(first);
  budget.clear(first);
  budget.add(second, 100);
  expect(budget.findExcess()).toBeUndefined();
  budget.add(second, 1);
  expect(budget.findExcess()).toBe(second);
});
