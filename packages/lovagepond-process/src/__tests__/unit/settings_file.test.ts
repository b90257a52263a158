import {describe, expect, it} from 'vitest';
import {z} from '@lovagepond/core';
import {
  checkSettings,
  compareSettings,
  duration,
  findOverlaps,
  formatFault,
  hostPort,
  list,
  nameText,
  parseSettings,
  percentage,
  size,
  withTraits,
} from '../../index.js';

const SCHEMA = {
  process: z.strictObject({zone: nameText(), labels: list(nameText())}),
  net: z.strictObject({
    listen: withTraits(hostPort(), {listens: true}),
    admin: withTraits(hostPort(), {listens: true}),
    limit: withTraits(duration().prefault('4s'), {reloadable: true}),
    buffer: size().prefault('16kB'),
    budget: percentage().prefault('20%'),
  }),
};

const GOOD = `[process]
zone = muc-riem
labels = a, b
[net]
listen = 127.0.0.1:7000
admin = [::1]:7001
limit = 250ms
`;

function faultsOf(text: string): string[] {
  const check = checkSettings(parseSettings('r.ini', text), SCHEMA);
  return check.ok ? [] : check.faults.map(formatFault);
}

describe('settings', () => {
  it('parses values with units and fills in defaults', () => {
    const check = checkSettings(parseSettings('r.ini', GOOD), SCHEMA);
    expect(check).toMatchObject({
      ok: true,
      values: {
        process: {zone: 'muc-riem', labels: ['a', 'b']},
        net: {
          listen: {host: '127.0.0.1', port: 7000},
          admin: {host: '::1', port: 7001},
          limit: 250,
          buffer: 16_384,
          budget: 0.2,
        },
      },
    });
  });

  it('reports several faults at once by file, section and key', () => {
    const text = `stray = 1
[process]
labels =
[net]
listen = 127.0.0.1:7000
admin = 0.0.0.0:7000
limit = 4
buffer = 16kb
buffer = 16kB
budget = 120%
colour = red
[nett]
x = 1
`;
    const faults = faultsOf(text).join('\n');
    expect(faults).toContain('r.ini: stray: is outside of any section');
    expect(faults).toMatch(/r\.ini: \[process\] zone: is missing; a name of/);
    expect(faults).toMatch(/\[net\] limit: "4" is not a duration .* 250ms/);
    expect(faults).toContain('r.ini: [net] buffer: is set twice; keep one');
    expect(faults).toMatch(/\[net\] budget: "120%" is not a percentage/);
    expect(faults).toMatch(/\[net\] colour: unknown key; known: listen, admin/);
    expect(faults).toMatch(/\[nett\]: unknown section; known: process, net/);
  });

  it('finds overlapping addresses, also across files', () => {
    const text = GOOD.replace('[::1]:7001', '0.0.0.0:7000');
    expect(faultsOf(text)).toEqual([
      'r.ini: [net] admin: 0.0.0.0:7000 is taken by [net] listen of r.ini; choose another port',
    ]);
    const one = checkSettings(parseSettings('a.ini', GOOD), SCHEMA);
    const other = checkSettings(parseSettings('b.ini', GOOD), SCHEMA);
    if (!one.ok || !other.ok) throw new Error('both files must be valid');
    const faults = findOverlaps([...one.listens, ...other.listens]);
    expect(faults.map(({file, key}) => `${file} ${key}`)).toEqual([
      'b.ini listen',
      'b.ini admin',
    ]);
  });

  it('distinguishes reloadable changes from those that need a restart', () => {
    const text = GOOD.replace('250ms', '1s').replace('muc-riem', 'muc-ost');
    const before = checkSettings(parseSettings('r.ini', GOOD), SCHEMA);
    const after = checkSettings(parseSettings('r.ini', text), SCHEMA);
    if (!before.ok || !after.ok) throw new Error('both files must be valid');
    expect(compareSettings(SCHEMA, before.values, after.values)).toEqual([
      {section: 'process', key: 'zone', reloadable: false},
      {section: 'net', key: 'limit', reloadable: true},
    ]);
  });
});
