import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {checkConfiguration} from '@lovagepond/core';
import {formatFault, parseSettings, readSettings} from '@lovagepond/process';
import {describe, expect, it} from 'vitest';
import {z} from 'zod';
import {
  checkParsedSettings,
  checkSettingsFiles,
} from '../../check_settings_files.js';
import {ROLE_NAMES} from '../../cli_constants.js';
import {roleOf} from '../../role_of_settings.js';
import {ROLE_SCHEMAS} from '../../role_schemas.js';

const EXAMPLES = 'examples';

interface DeploymentSet {
  readonly name: string;
  readonly zones: number;
  readonly sidecars: Readonly<Record<string, number>>;
  readonly workspaces: number;
}

const SETS: readonly DeploymentSet[] = [
  {name: 'loopback', zones: 1, sidecars: {'chat-models': 3}, workspaces: 1},
  {
    name: 'bayern-sued',
    zones: 4,
    sidecars: {'offer-models': 6, redemption: 4},
    workspaces: 10,
  },
  {
    name: 'hofudborg',
    zones: 3,
    sidecars: {'drafting-models': 6, register: 3},
    workspaces: 10,
  },
];

function listFiles(set: string): string[] {
  const names = readdirSync(join(EXAMPLES, set));
  return names
    .filter(name => name.endsWith('.ini'))
    .map(name => join(EXAMPLES, set, name));
}

function countBy(items: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const item of items) counts[item] = (counts[item] ?? 0) + 1;
  return counts;
}

describe('examples', () => {
  it.each(SETS)('of $name are valid alone and together', set => {
    const files = listFiles(set.name);
    expect(checkSettingsFiles(files).faults.map(formatFault)).toEqual([]);
    const all = files.map(file => readSettings(file));
    const zones = all.map(one => one.sections['process']?.['availabilityZone']);
    expect(new Set(zones).size).toBe(set.zones);
    const sidecars = all.filter(one => roleOf(one) === 'sidecar');
    const pools = sidecars.map(one => one.sections['sidecar']?.['pool'] ?? '');
    expect(countBy(pools)).toEqual(set.sidecars);
    const path = join(EXAMPLES, set.name, 'configuration.json');
    const check = checkConfiguration(JSON.parse(readFileSync(path, 'utf8')));
    if (!check.ok) throw new Error(JSON.stringify(check.faults));
    expect(check.content.workspaces).toHaveLength(set.workspaces);
    const names = check.content.pools.map(pool => pool.name);
    expect(names).toEqual(expect.arrayContaining(Object.keys(set.sidecars)));
  });

  it.each(ROLE_NAMES)('of a %s show every key of its schema', role => {
    const file = join(EXAMPLES, 'roles', `${role}.ini`);
    expect(checkSettingsFiles([file]).faults.map(formatFault)).toEqual([]);
    const shown = readFileSync(file, 'utf8').replace(/^;(\w+ = )/gm, '$1');
    const {sections, faults} = parseSettings(file, shown);
    expect(faults).toEqual([]);
    for (const [name, schema] of Object.entries(ROLE_SCHEMAS[role])) {
      if (!(schema instanceof z.ZodObject)) continue;
      const missing = Object.keys(schema.shape).filter(
        key => sections[name]?.[key] === undefined,
      );
      expect([name, missing]).toEqual([name, []]);
      expect(schema.safeParse(sections[name]).success).toBe(true);
    }
  });

  it('are refused when two processes use one address or folder', () => {
    const [file = ''] = listFiles('loopback');
    const copy = {...readSettings(file), file: 'copy.ini'};
    const {faults} = checkParsedSettings([readSettings(file), copy]);
    expect(faults.map(fault => `${fault.file} ${fault.key}`)).toEqual([
      'copy.ini address',
      'copy.ini listen',
      'copy.ini listen',
      'copy.ini dataFolder',
    ]);
  });

  it('of two deployments favour low skew and context reuse', () => {
    const [skewFirst, reuseFirst] = ['bayern-sued', 'hofudborg'].map(set => {
      const path = join(EXAMPLES, set, 'configuration.json');
      const check = checkConfiguration(JSON.parse(readFileSync(path, 'utf8')));
      return check.ok ? check.content.pools[0] : undefined;
    });
    expect(skewFirst!.loadBound).toBeLessThan(reuseFirst!.loadBound);
    expect(skewFirst!.reuseWeight).toBeLessThan(reuseFirst!.reuseWeight);
  });
});
