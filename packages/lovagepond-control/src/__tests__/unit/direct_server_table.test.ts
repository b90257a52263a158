import {expect, test} from 'vitest';
import {
  DirectServerTable,
  type JoiningServer,
} from '../../direct_server_table.js';

function server(name: string, address = `${name}:1`): JoiningServer {
  return {
    name,
    incarnation: name,
    pool: 'p',
    labels: {},
    availabilityZone: 'a',
    region: 'r',
    address,
    capacityTokens: 0,
    models: [],
    directSlots: 4,
  };
}

function placesOf(table: DirectServerTable): Record<string, string> {
  const records = table.list();
  return Object.fromEntries(records.map(one => [one.server.name, one.place]));
}

/** A pool of two that has been there for a minute. */
function makeSettledTable(): DirectServerTable {
  const table = new DirectServerTable();
  table.join(server('a'), 0);
  table.join(server('b'), 100);
  return table;
}

// A release starts a new server, then the old one leaves. Prompts whose home is
// the old one must move as a whole to the new one; with homes by name, a third
// of all other prompts would move to it as well and be read anew.
test('a newcomer takes the place of the server that leaves', () => {
  const table = makeSettledTable();
  table.join(server('c'), 60_000);
  expect(placesOf(table)).toEqual({a: 'a', b: 'b', c: ''});
  table.leave('a', 61_000);
  expect(placesOf(table)).toEqual({a: '', b: 'b', c: 'a'});
});

test('a newcomer that nobody makes room for gets a place of its own', () => {
  const table = makeSettledTable();
  table.join(server('c'), 60_000);
  expect(table.hasPlacesToOpen(61_000)).toBe(false);
  expect(table.hasPlacesToOpen(68_000)).toBe(true);
  table.openPlaces(68_000);
  expect(placesOf(table)['c']).toBe('c');
});

test('a place that was vacant for long is not given away any more', () => {
  const table = makeSettledTable();
  table.drop('a', 60_000);
  expect(table.hasPlacesToOpen(69_000)).toBe(true);
  table.openPlaces(69_000);
  table.join(server('c'), 70_000);
  expect(placesOf(table)).toEqual({b: 'b', c: ''});
});

// A server crashes behind a partition, and its successor registers at the same
// address. What the first one sent before still arrives and must not bring it
// back: requests would be sent to a name that nobody has.
test('a server that was succeeded at its address never comes back', () => {
  const table = makeSettledTable();
  table.join(server('c', 'a:1'), 60_000);
  expect(placesOf(table)).toEqual({b: 'b', c: 'a'});
  table.join(server('a'), 61_000);
  expect(Object.keys(placesOf(table))).toEqual(['b', 'c']);
});

// All members restart after a server said that it leaves. It must not be given
// work again by a list that has forgotten it.
test('leaving survives a snapshot', () => {
  const table = makeSettledTable();
  table.leave('a', 1_000);
  table.end('b', 1_000);
  const restored = new DirectServerTable();
  restored.restore(table.snapshot());
  expect(restored.get('a')?.leaving).toBe(true);
  restored.join(server('b'), 2_000);
  expect(restored.get('b')).toBeUndefined();
});
