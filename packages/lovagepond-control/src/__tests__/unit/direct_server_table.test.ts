import {describe, expect, test} from 'vitest';
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

describe('a server that starts again under its name', () => {
  const instance = (startedAtMs: number): JoiningServer => ({
    ...server('a', 'host:1'),
    name: `a@${startedAtMs}`,
    startedAtMs,
  });
  const namesOf = (table: DirectServerTable): string[] =>
    table.list().map(one => one.server.name);

  // It crashes and starts again at once, under its name and at its address.
  // What routers believe of it belongs to the former life, which has ended.
  test('is another server, at the place that it had', () => {
    const table = new DirectServerTable();
    table.join(instance(1_000), 0);
    table.join(instance(2_000), 30_000);
    expect(placesOf(table)).toEqual({'a@2000': 'a@1000'});
  });

  // A report of the former life was held up by a partition. It arrives after
  // the new life was there, or after that one has ended: callers would be sent
  // to a server that isn't there.
  test('is not put out by a report of a former life', () => {
    const table = new DirectServerTable();
    table.join(instance(1_000), 0);
    table.join(instance(2_000), 30_000);
    table.join(instance(3_000), 60_000);
    table.join(instance(1_000), 60_100);
    table.join(instance(2_000), 60_200);
    expect(namesOf(table)).toEqual(['a@3000']);
    table.end('a@3000', 70_000);
    table.join(instance(2_000), 70_100);
    expect(namesOf(table)).toEqual([]);
    table.join(instance(4_000), 70_200);
    expect(namesOf(table)).toEqual(['a@4000']);
  });

  // The life before was dropped as silent, not ended, and only its report comes
  // late: dropped servers may come back, former lives may not.
  test('is not put out by a life that had gone silent', () => {
    const table = new DirectServerTable();
    table.join(instance(1_000), 0);
    table.drop('a@1000', 20_000);
    table.join(instance(2_000), 30_000);
    table.join(instance(1_000), 30_100);
    expect(namesOf(table)).toEqual(['a@2000']);
  });

  // One without a start can't be the server itself, which always tells it.
  test('is not put out by a report that tells no start', () => {
    const table = new DirectServerTable();
    table.join(instance(1_000), 0);
    table.join(server('a', 'host:1'), 1_000);
    expect(namesOf(table)).toEqual(['a@1000']);
  });

  test('keeps its lives apart after a restart of control', () => {
    const table = new DirectServerTable();
    table.join(instance(1_000), 0);
    table.join(instance(2_000), 1_000);
    table.drop('a@2000', 20_000);
    const restored = new DirectServerTable();
    restored.restore(table.snapshot());
    restored.join(instance(1_000), 21_000);
    expect(namesOf(restored)).toEqual([]);
    restored.join(instance(2_000), 22_000);
    expect(namesOf(restored)).toEqual(['a@2000']);
  });
});
