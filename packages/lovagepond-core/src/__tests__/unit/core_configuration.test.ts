import {describe, expect, it} from 'vitest';
import {
  decodeConfiguration,
  encodeConfiguration,
  configurationSchema,
  needsApiKeys,
} from '../../core_configuration.js';
import {checkConfiguration} from '../../core_configuration_check.js';

describe('checkConfiguration', () => {
  it('reports all faults with their places', () => {
    const check = checkConfiguration({
      pools: [{name: 'p', kind: 'engine', loadBound: 0.5}],
      selectors: [
        {name: 's', workspaces: ['*'], requestKinds: ['*'], pools: '=x'},
      ],
    });
    expect(check.ok).toBe(false);
    const places = check.ok ? [] : check.faults.map(fault => fault.place);
    expect(places).toEqual(['pools[0].loadBound', 'selectors[0].pools']);
  });

  it('rejects duplicate and unknown names', () => {
    const check = checkConfiguration({
      workspaces: [{name: 'a'}, {name: 'a'}],
      selectors: [
        {name: 's', workspaces: ['b'], requestKinds: ['*'], pools: ''},
      ],
    });
    const places = check.ok ? [] : check.faults.map(fault => fault.place);
    expect(places).toEqual(['workspaces[1].name', 'selectors[0].workspaces']);
  });

  it('is unchanged after encoding and decoding', () => {
    const check = checkConfiguration({workspaces: [{name: 'a'}]});
    if (!check.ok) throw new Error('expected a valid configuration');
    const configuration = {revision: 7, content: check.content};
    const decoded = decodeConfiguration(encodeConfiguration(configuration));
    expect(decoded).toEqual(configuration);
    expect(decodeConfiguration(new Uint8Array([1, 2]))).toBeUndefined();
  });

  it('compresses a large configuration and rejects a damaged one', () => {
    const workspaces = Array.from({length: 480}, (_, n) => ({name: `w${n}`}));
    const check = checkConfiguration({workspaces});
    if (!check.ok) throw new Error('expected a valid configuration');
    const configuration = {revision: 7, content: check.content};
    const bytes = encodeConfiguration(configuration);
    expect(bytes.length).toBeLessThan(JSON.stringify(configuration).length / 4);
    expect(decodeConfiguration(bytes)).toEqual(configuration);
    expect(decodeConfiguration(bytes.subarray(0, 99))).toBeUndefined();
  });

  function checkAdmission(admission: unknown): unknown {
    const check = checkConfiguration({
      pools: [{name: 'p', kind: 'engine', admission}],
    });
    return check.ok
      ? check.content.pools[0]?.admission
      : check.faults.map(fault => fault.place);
  }

  it('has no admission control unless a pool asks for it', () => {
    expect(checkAdmission(undefined)).toBeUndefined();
    expect(checkAdmission({})).toEqual({
      maxQueuedRequests: 1_024,
      maxQueuedBytes: 16 * 1024 * 1024,
      serverQueuePart: 0.4,
      lowerPriorityPart: 0.1,
    });
  });

  // Guards against gateways that get limits with which no request, or each
  // request, would be queued.
  it.each([
    ['maxQueuedRequests', [0, -1, 1.5, 100_001, Infinity, NaN, '9', null]],
    ['maxQueuedBytes', [0, -1, 65_535, 65_536.5, Infinity, NaN, '9', null]],
    ['serverQueuePart', [0, -0.4, 0.04, 0.91, Infinity, NaN, '0.4', null]],
    ['lowerPriorityPart', [-0.1, 0.51, Infinity, NaN, '0.1', null]],
  ])('rejects impossible values of admission.%s', (field, values) => {
    for (const value of values) {
      const places = checkAdmission({[field]: value});
      expect(places).toEqual([`pools[0].admission.${field}`]);
    }
  });

  it.each([
    ['maxQueuedRequests', [1, 100_000]],
    ['maxQueuedBytes', [65_536, 2 ** 40]],
    ['serverQueuePart', [0.05, 0.9]],
    ['lowerPriorityPart', [0, 0.5]],
  ])('accepts the bounds of admission.%s', (field, values) => {
    for (const value of values) {
      expect(checkAdmission({[field]: value})).toMatchObject({[field]: value});
    }
  });

  it('names an unknown field of admission', () => {
    const check = checkConfiguration({
      pools: [{name: 'p', kind: 'engine', admission: {queue: 1}}],
    });
    const [fault] = check.ok ? [] : check.faults;
    expect(fault?.place).toBe('pools[0].admission');
    expect(fault?.message).toContain('queue');
  });

  // Guards against shares that can't be computed.
  it.each([0, -1, NaN, Infinity])(
    'rejects a workspace weight of %s',
    weight => {
      const check = checkConfiguration({workspaces: [{name: 'a', weight}]});
      const places = check.ok ? [] : check.faults.map(fault => fault.place);
      expect(places).toEqual(['workspaces[0].weight']);
    },
  );
});

// Guards against requests without a key that run because a list of workspaces is
// empty and not missing.
describe('needsApiKeys', () => {
  const keyless = {workspaces: [{name: 'w'}]};
  const revoked = {workspaces: [{name: 'w', apiKeys: []}]};
  it.each([
    [{}, false],
    [keyless, false],
    [revoked, true],
    [{documentVersion: 7}, true],
    [{documentVersion: 7, ...keyless}, true],
    [{documentVersion: 7, requiresApiKeys: false}, false],
    [{requiresApiKeys: true}, true],
    [{...revoked, requiresApiKeys: false}, false],
  ])('of %j is %s', (input, expected) => {
    expect(needsApiKeys(configurationSchema.parse(input))).toBe(expected);
  });
});
