import {type Role} from '@lovagepond/core';
import {expect, it} from 'vitest';
import {RoleGroup} from '../../role_group.js';

const clock = {now: () => 0, wallTime: () => 0};

function roleWith(unfinished: number): Role {
  return {
    start: () => Promise.resolve(),
    isReady: () => true,
    drain: () => Promise.resolve({unfinished}),
    stop: () => Promise.resolve(),
    dump: () => ({version: 1, role: 'r', state: {}}),
  };
}

it('adds up what the drains of its roles leave unfinished', async () => {
  const layers = [[1, 0], [2]].map(layer =>
    layer.map(unfinished => ({name: 'r', role: roleWith(unfinished)})),
  );
  const group = new RoleGroup(layers, clock);
  expect(await group.drain(100)).toEqual({unfinished: 3});
});
