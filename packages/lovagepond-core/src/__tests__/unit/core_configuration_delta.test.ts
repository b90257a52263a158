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
    selector: ([itemName]) => itemName,
    maxLength: 5,
  }).map(items => items.map(([itemName, value]) => make(itemName, value)));
}

const content = record({
  pools: listOf((itemName, value) => ({
    name: itemName,
    kind: 'engine',
    loadBound: value,
  })),
  selectors: listOf((itemName, priority) => ({
    name: itemName,
    workspaces: ['*'],
    requestKinds: ['*'],
    pools: '',
    priority,
  })),
  workspaces: listOf((itemName, value) => ({name: itemName, weight: value})),
  requestKinds: listOf((itemName, value) => ({
    name: itemName,
    nonRepeatable: value === 1,
  })),
  documentVersion: integer({min: 0, max: 9}),
  requiresApiKeys: constantFrom(true, false, undefined),
}).map(input =>
  configurationSchema.parse({
    ...input,
    pools: input.pools.map(pool => ({
      ...pool,
      loadBound: 1 + pool.loadBound / 4,
    })),
  }),
);

function at(revision: number, parsed: ConfigurationContent): Configuration {
  return {revision, content: parsed};
}

describe('configuration delta', () => {
  it('produces the later configuration when it can be expressed', () => {
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

  it('expresses added, changed and removed objects', () => {
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

  // Guards against a gateway that missed a change and would combine the delta
  // with its older configuration into one that was never accepted.
  it('applies only to its base revision', () => {
    const empty = configurationSchema.parse({});
    const delta = makeDelta(at(2, empty), at(3, empty))!;
    expect(applyDelta(at(1, empty), delta)).toBeUndefined();
    expect(applyDelta(at(3, empty), delta)).toBeUndefined();
  });

  it('rejects bytes that are not an encoded delta', () => {
    expect(decodeDelta(Buffer.from('{"revision":1}'))).toBeUndefined();
    expect(decodeDelta(Buffer.from('\u001f'))).toBeUndefined();
  });

  it('shares unchanged objects without changing the content', () => {
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
