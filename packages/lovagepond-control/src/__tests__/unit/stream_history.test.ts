import {configurationSchema, type ConfigurationContent} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {type DirectServerRecord} from '../../direct_server_table.js';
import {StreamHistory} from '../../stream_history.js';

const HOUR_MS = 3_600_000;

function records(...versions: readonly string[]): DirectServerRecord[] {
  return versions.map((version, at) => ({
    server: {name: `s-${at}`, pool: 'p', labels: {version}},
    leaving: false,
    place: '',
    joinedAtMs: 0,
  })) as unknown as DirectServerRecord[];
}

function selectors(
  pools: Readonly<Record<string, string>>,
): ConfigurationContent['selectors'] {
  return configurationSchema.parse({
    selectors: Object.entries(pools).map(([pathPrefix, pool], nth) => ({
      name: `s-${nth}`,
      workspaces: ['*'],
      requestKinds: ['k'],
      pools: '',
      match: {host: 'shop.example', pathPrefix},
      poolWeights: [
        {pool, weight: 1},
        {pool: 'unused', weight: 0},
      ],
    })),
  }).selectors;
}

function versionsIn(history: StreamHistory, timeMs: number): string[] {
  const {versions} = history.describe(timeMs);
  return versions.map(({version, goneForMs}) => `${version} ${goneForMs}`);
}

function changesIn(history: StreamHistory, timeMs: number): string[] {
  const {changes} = history.describe(timeMs);
  return changes.map(({pathPrefix, ageMs}) => `${pathPrefix} ${ageMs}`);
}

// Guards against a version that is forgotten as soon as its servers have gone.
describe('the versions of a pool', () => {
  it('are known after their last server has gone', () => {
    const history = new StreamHistory();
    history.noteServers(records('v1', 'v1', 'v2'), 1_000);
    history.noteServers(records('v1', 'v2'), 2_000);
    expect(versionsIn(history, 2_500)).toEqual(['v1 0', 'v2 0']);
    history.noteServers(records('v2'), 3_000);
    expect(versionsIn(history, 3_000)).toEqual(['v2 0', 'v1 1']);
    expect(versionsIn(history, 3_500)).toEqual(['v2 0', 'v1 500']);
    history.noteServers(records('v2', 'v1'), 4_000);
    expect(versionsIn(history, 4_000)).toEqual(['v2 0', 'v1 0']);
  });

  it('are dropped after an hour, for which the history is complete', () => {
    const history = new StreamHistory();
    history.noteServers(records('v1'), 0);
    history.noteServers(records('v2'), 1);
    history.noteServers(records('v2'), HOUR_MS + 1);
    expect(versionsIn(history, HOUR_MS + 1)).toHaveLength(2);
    history.noteServers(records('v2'), HOUR_MS + 2);
    expect(versionsIn(history, HOUR_MS + 2)).toEqual(['v2 0']);
    expect(history.describe(HOUR_MS + 2).completeForMs).toBe(HOUR_MS);
  });

  it('are limited in number, after which the history is less complete', () => {
    const history = new StreamHistory();
    for (let nth = 0; nth <= 300; nth += 1) {
      history.noteServers(records(`v${nth}`), nth);
    }
    const {versions, completeForMs} = history.describe(300);
    expect(versions).toHaveLength(257);
    // Of v0 to v43, which are dropped, the last one went at 44.
    expect(completeForMs).toBe(256);
  });
});

// Guards against a stream that goes on in another pool than it began in.
describe('the selectors', () => {
  it('that send requests to other pools have changed', () => {
    const history = new StreamHistory();
    const first = selectors({'/a/': 'p', '/b/': 'p', '/c/': 'p'});
    history.noteSelectors([], first, 1_000);
    expect(changesIn(history, 1_000)).toEqual([]);
    const second = selectors({'/a/': 'p', '/b/': 'q', '/b/c/': 'q'});
    history.noteSelectors(first, second, 2_000);
    expect(changesIn(history, 2_500)).toEqual([
      '/b/ 500',
      '/c/ 500',
      '/b/c/ 500',
    ]);
    history.noteSelectors(second, selectors({'/a/': 'r'}), 3_000);
    expect(changesIn(history, 3_000)).toContain('/a/ 0');
    expect(history.describe(3_000).completeForMs).toBe(HOUR_MS);
  });

  it('are limited in number, after which the history is less complete', () => {
    const history = new StreamHistory();
    const many = Object.fromEntries(
      Array.from({length: 1_100}, (_, nth) => [`/${nth}/`, 'p']),
    );
    history.noteSelectors(selectors({'/a/': 'p'}), selectors(many), 5_000);
    expect(history.describe(5_700).completeForMs).toBe(700);
  });
});

describe('a snapshot', () => {
  it('holds the history', () => {
    const history = new StreamHistory();
    history.noteServers(records('v1', 'v2'), 1_000);
    history.noteServers(records('v2'), 2_000);
    const before = selectors({'/a/': 'p'});
    history.noteSelectors(before, selectors({'/a/': 'q'}), 2_500);
    const text = JSON.stringify(history.snapshot());
    const restored = new StreamHistory();
    restored.restore(JSON.parse(text) as never, records('v2'), 3_000);
    expect(restored.describe(3_000)).toEqual(history.describe(3_000));
  });

  // Guards against a release before that has kept no history.
  it('without it is complete from then on', () => {
    const history = new StreamHistory();
    history.noteServers(records('v0'), 1);
    history.restore(undefined, records('v1'), 7_000);
    expect(versionsIn(history, 7_500)).toEqual(['v1 0']);
    expect(history.describe(7_500).completeForMs).toBe(500);
  });
});
