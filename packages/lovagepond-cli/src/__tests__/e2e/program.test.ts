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

/** Deployment, and its first kind of call that may not be repeated. */
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

  // Every role of a set in one process, on free ports: control with all of its
  // members, the routers, the sidecars, stand-ins behind them. A chat comes
  // back through another router; a call that may not be repeated is sent twice
  // through two routers and must run once.
  it.each(SETS)('starts the set %s and serves', async (name, once) => {
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

  // An operator writes two faults into a router's file. Nothing may start, not
  // even the platform's address; both faults come in one report.
  it('starts nothing with faulty settings and names each fault', async () => {
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

  it('tells a command line that it can not read by its exit code', async () => {
    expect((await run('routr')).code).toBe(2);
    expect(await run('version')).toEqual({code: 0, output: '0.1.0\n'});
  });
});
