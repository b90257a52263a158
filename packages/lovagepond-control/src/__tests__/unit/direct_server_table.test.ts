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

/** A pool of two servers that joined when it was new. */
function makeSettledTable(): DirectServerTable {
  const table = new DirectServerTable();
  table.join(server('a'), 0);
  table.join(server('b'), 100);
  return table;
}

// Guards against needless moves of prompts in a rolling update, which starts a
// new server before the old one leaves. The new server must take over exactly the
// old one's prompts. If prompts were assigned by server name, a third of the other
// servers' prompts would move to it as well and be processed again.
test('a new server takes the place of the server that leaves', () => {
  const table = makeSettledTable();
  table.join(server('c'), 60_000);
  expect(placesOf(table)).toEqual({a: 'a', b: 'b', c: ''});
  table.leave('a', 61_000);
  expect(placesOf(table)).toEqual({a: '', b: 'b', c: 'a'});
});

test('a standby gets its own place when no server leaves', () => {
  const table = makeSettledTable();
  table.join(server('c'), 60_000);
  expect(table.hasPlacesToOpen(61_000)).toBe(false);
  expect(table.hasPlacesToOpen(68_000)).toBe(true);
  table.openPlaces(68_000);
  expect(placesOf(table)['c']).toBe('c');
});

test('a place that was vacant for too long is discarded', () => {
  const table = makeSettledTable();
  table.drop('a', 60_000);
  expect(table.hasPlacesToOpen(69_000)).toBe(true);
  table.openPlaces(69_000);
  table.join(server('c'), 70_000);
  expect(placesOf(table)).toEqual({b: 'b', c: ''});
});

// Guards against a delayed announcement that restores a crashed server after
// its successor joined at the same address. Requests would be sent to a server
// that no longer exists.
test('a server that was replaced at its address never joins again', () => {
  const table = makeSettledTable();
  table.join(server('c', 'a:1'), 60_000);
  expect(placesOf(table)).toEqual({b: 'b', c: 'a'});
  table.join(server('a'), 61_000);
  expect(Object.keys(placesOf(table))).toEqual(['b', 'c']);
});

// Guards against a restart of all members of the control group after which a
// leaving server gets new work, or an ended one joins again.
test('leaving and ended servers survive a snapshot', () => {
  const table = makeSettledTable();
  table.leave('a', 1_000);
  table.end('b', 1_000);
  const restored = new DirectServerTable();
  restored.restore(table.snapshot());
  expect(restored.get('a')?.leaving).toBe(true);
  restored.join(server('b'), 2_000);
  expect(restored.get('b')).toBeUndefined();
});

describe('a server that restarts with the same incarnation', () => {
  const instance = (startedAtMs: number): JoiningServer => ({
    ...server('a', 'host:1'),
    name: `a@${startedAtMs}`,
    startedAtMs,
  });
  const namesOf = (table: DirectServerTable): string[] =>
    table.list().map(one => one.server.name);

  // Guards against routers that apply the previous instance's state to a server
  // that crashed and restarted with the same incarnation and address.
  test('counts as another server and keeps its place', () => {
    const table = new DirectServerTable();
    table.join(instance(1_000), 0);
    table.join(instance(2_000), 30_000);
    expect(placesOf(table)).toEqual({'a@2000': 'a@1000'});
  });

  // Guards against a delayed announcement of a previous instance, after a later
  // one joined or ended. Requests would be sent to a server that is gone.
  test('is not replaced by a previous instance', () => {
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

  // The previous instance was dropped when its lease expired, and its
  // announcement arrives late. Dropped servers may join again, but previous
  // instances may not.
  test('is not replaced by a previous instance whose lease expired', () => {
    const table = new DirectServerTable();
    table.join(instance(1_000), 0);
    table.drop('a@1000', 20_000);
    table.join(instance(2_000), 30_000);
    table.join(instance(1_000), 30_100);
    expect(namesOf(table)).toEqual(['a@2000']);
  });

  // The server reports its start time in every announcement, so one without it
  // can't come from the server.
  test('is not replaced by an announcement without a start', () => {
    const table = new DirectServerTable();
    table.join(instance(1_000), 0);
    table.join(server('a', 'host:1'), 1_000);
    expect(namesOf(table)).toEqual(['a@1000']);
  });

  // The start of the latest instance is part of the snapshot. Otherwise a delayed
  // announcement could restore a previous instance after control restarts.
  test('is not replaced by a previous instance after a restart', () => {
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
