import {
  type Arbitrary,
  assert,
  constantFrom,
  integer,
  property,
  record,
  tuple,
  uniqueArray,
} from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  type Configuration,
  type ConfigurationContent,
  configurationSchema,
} from '../../core_configuration.js';
import {
  applyDelta,
  decodeDelta,
  encodeDelta,
  makeDelta,
  shareObjects,
} from '../../core_configuration_delta.js';

const name = constantFrom('a', 'b', 'c', 'd', 'e');
const weight = integer({min: 1, max: 3});

function listOf<Item extends {name: string}>(
  make: (name: string, weight: number) => Item,
): Arbitrary<Item[]> {
  return uniqueArray(tuple(name, weight), {
    selector: ([one]) => one,
    maxLength: 5,
  }).map(items => items.map(([one, more]) => make(one, more)));
}

const content = record({
  pools: listOf((one, more) => ({name: one, kind: 'engine', loadBound: more})),
  selectors: listOf((one, priority) => ({
    name: one,
    workspaces: ['*'],
    requestKinds: ['*'],
    pools: '',
    priority,
  })),
  workspaces: listOf((one, more) => ({name: one, weight: more})),
  requestKinds: listOf((one, more) => ({
    name: one,
    nonRepeatable: more === 1,
  })),
  documentVersion: integer({min: 0, max: 9}),
}).map(input =>
  configurationSchema.parse({
    ...input,
    pools: input.pools.map(pool => ({
      ...pool,
      loadBound: 1 + pool.loadBound / 4,
    })),
  }),
);

function at(revision: number, made: ConfigurationContent): Configuration {
  return {revision, content: made};
}

describe('a delta between configurations', () => {
  it('makes the later one, or says that it cannot', () => {
    assert(
      property(content, content, (before, after) => {
        const [base, next] = [at(3, before), at(7, after)];
        const delta = makeDelta(base, next);
        if (!delta) return;
        const sent = decodeDelta(encodeDelta(delta));
        expect(sent && applyDelta(base, sent)).toEqual(next);
      }),
    );
  });

  it('can tell what is added, changed and removed in place', () => {
    assert(
      property(content, content, (before, more) => {
        const changed = before.selectors.map((selector, index) =>
          index === 0 ? {...selector, priority: 99} : selector,
        );
        const known = new Set(changed.map(selector => selector.name));
        const added = more.selectors.filter(one => !known.has(one.name));
        const after = {...before, selectors: [...changed.slice(1), ...added]};
        const [base, next] = [at(1, before), at(2, after)];
        const delta = makeDelta(base, next);
        expect(delta && applyDelta(base, delta)).toEqual(next);
      }),
    );
  });

  // A gateway that lacks a change in between would else go on with a
  // configuration that nobody ever accepted.
  it('applies to no other configuration than its base', () => {
    const empty = configurationSchema.parse({});
    const delta = makeDelta(at(2, empty), at(3, empty))!;
    expect(applyDelta(at(1, empty), delta)).toBeUndefined();
    expect(applyDelta(at(3, empty), delta)).toBeUndefined();
  });

  it('is not read from what is none', () => {
    expect(decodeDelta(Buffer.from('{"revision":1}'))).toBeUndefined();
    expect(decodeDelta(Buffer.from('\u001f'))).toBeUndefined();
  });

  it('shares what has not changed, and says the same', () => {
    assert(
      property(content, content, (before, after) => {
        const shared = shareObjects(before, after);
        expect(shared).toEqual(after);
        expect(shareObjects(before, structuredClone(before)).pools).toEqual(
          before.pools,
        );
      }),
    );
  });
});
