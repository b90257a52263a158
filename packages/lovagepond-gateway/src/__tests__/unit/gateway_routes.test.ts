import {configurationSchema} from '@lovagepond/core';
import {
  array,
  assert,
  constantFrom,
  property,
  tuple,
  uniqueArray,
} from 'fast-check';
import {expect, test} from 'vitest';
import {ForwardingRules} from '../../gateway_routes.js';

const forwarding = {
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  maxAttempts: 1,
  priority: 5,
  streaming: false,
  resumable: false,
  sticky: false,
};

function makeRules(prefixes: readonly string[]): ForwardingRules {
  const names = prefixes.map((_, at) => `r${at}`);
  const content = configurationSchema.parse({
    pools: [{name: 'p', kind: 'service'}],
    requestKinds: names.map(name => ({name, forwarding})),
    selectors: names.map((name, at) => ({
      name,
      workspaces: ['*'],
      requestKinds: [name],
      pools: '',
      match: {host: 'Shop.example', pathPrefix: prefixes[at]},
      poolWeights: [{pool: 'p', weight: 1}],
    })),
  });
  return new ForwardingRules({revision: 1, content});
}

const part = constantFrom('a', 'b', 'ab', '');
const prefix = array(part, {maxLength: 4}).map(parts =>
  ['', ...parts, ''].join('/'),
);
const path = tuple(array(part, {maxLength: 6}), constantFrom('', '?x=/a/')).map(
  ([parts, query]) => `/${parts.join('/')}${query}`,
);

test('finds the rule with the longest matching prefix', () => {
  assert(
    property(uniqueArray(prefix, {maxLength: 8}), path, (prefixes, asked) => {
      const plain = asked.split('?')[0] ?? '';
      const longest = prefixes
        .filter(one => plain.startsWith(one))
        .sort((left, right) => right.length - left.length)[0];
      const found = makeRules(prefixes).find('shop.example:80', asked);
      expect(found?.pathPrefix).toBe(longest);
    }),
  );
});

test('finds no rule for another host', () => {
  expect(makeRules(['/']).find('else.example', '/a')).toBeUndefined();
});
