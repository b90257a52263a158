import {describe, expect, it} from 'vitest';
import {
  checkConfiguration,
  decodeConfiguration,
  encodeConfiguration,
} from '../../core_configuration.js';

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
});
