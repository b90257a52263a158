import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, describe, expect, it} from 'vitest';

interface Run {
  readonly code: number;
  readonly output: string;
}

/** Deployments, each with its first kind of non-repeatable call. */
const SETS = [
  ['bayern-sued', 'redemption-check'],
  ['hofudborg', 'spill-notice'],
] as const;

async function run(...args: readonly string[]): Promise<Run> {
  const child = spawn(process.execPath, ['dist/lovagepond.cjs', ...args]);
  let output = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', data => {
      output += String(data);
    });
  }
  const [code] = (await once(child, 'close')) as [number];
  return {code, output};
}

describe('the program', () => {
  const folder = mkdtempSync(join(tmpdir(), 'lovagepond-program-'));

  afterAll(() => {
    rmSync(folder, {recursive: true});
  });

  // One process runs every role of a set on free ports: all control members,
  // the routers, and the sidecars with fake backend servers. A chat returns
  // through another router; a non-repeatable call is sent through two routers
  // and must run once.
  it.each(SETS)('passes the self-check of %s', async (name, once) => {
    const set = join('examples', name);
    const {code, output} = await run(
      'standalone',
      '--self-check',
      '--set',
      set,
    );
    expect(output).toMatch(
      /chat: came back .* [1-9]\d* prompt tokens from the/,
    );
    expect(output).toContain(`${once}: sent twice under one key, ran once`);
    expect(code).toBe(0);
  });

  // A router's settings file has two faults. The process must not listen on any
  // address, not even the platform address, and must report both faults.
  it('starts nothing with invalid settings and names each fault', async () => {
    const file = join(folder, 'router.ini');
    const text = readFileSync('examples/loopback/router-1.ini', 'utf8')
      .replace(/availabilityZone.*\n/, '')
      .concat('colour = red\n');
    writeFileSync(file, text);
    const {code, output} = await run('router', '-c', file);
    expect(code).toBe(3);
    expect(output).toContain(`${file}: [process] availabilityZone: is missing`);
    expect(output).toContain(`${file}: [callers] colour: unknown key`);
    expect(await run('sidecar', '-c', file)).toMatchObject({
      code: 3,
      output: expect.stringContaining('run: lovagepond router') as string,
    });
  });

  it('exits with a usage code for an unknown command', async () => {
    expect((await run('routr')).code).toBe(2);
    expect(await run('version')).toEqual({code: 0, output: '0.1.0\n'});
  });
});
