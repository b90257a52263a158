import {build, type Metafile} from 'esbuild';
import {beforeAll, describe, expect, it} from 'vitest';

const SOURCE = 'packages/lovagepond-cli/src';
const COMMON_ENTRIES = [`${SOURCE}/main.ts`, `${SOURCE}/command_role.ts`];

/** Files that are evaluated with the entries: all but dynamic imports. */
function listLoaded(
  {inputs}: Metafile,
  entries: readonly string[],
): ReadonlySet<string> {
  const loaded = new Set<string>();
  const pending = [...entries];
  for (let file = pending.pop(); file !== undefined; file = pending.pop()) {
    if (loaded.has(file)) continue;
    loaded.add(file);
    for (const {path, kind} of inputs[file]?.imports ?? []) {
      if (kind !== 'dynamic-import') pending.push(path);
    }
  }
  return loaded;
}

// Every process holds all evaluated modules in memory. One static import of a
// value is enough to load control, consensus and undici into every router.
describe('a role', () => {
  let metafile: Metafile;

  beforeAll(async () => {
    const result = await build({
      entryPoints: [`${SOURCE}/main.ts`],
      bundle: true,
      platform: 'node',
      write: false,
      metafile: true,
      logLevel: 'error',
    });
    metafile = result.metafile;
  });

  it.each([
    ['router', ['undici', 'control', 'consensus', 'operator', 'sidecar']],
    ['control', ['undici', 'router', 'sidecar', 'caller', 'backend']],
    ['sidecar', ['control', 'consensus', 'operator', 'caller']],
    ['gateway', ['control', 'consensus', 'sidecar', 'caller', 'prom-client']],
  ])('%s loads nothing of %j', (role, forbidden) => {
    const entries = [...COMMON_ENTRIES, `${SOURCE}/role_${role}.ts`];
    const loaded = [...listLoaded(metafile, entries)];
    expect(loaded.some(file => file.includes(`lovagepond-${role}/`))).toBe(
      true,
    );
    const found = forbidden.filter(name =>
      loaded.some(file =>
        new RegExp(`(^packages/lovagepond-|node_modules/)${name}/`).test(file),
      ),
    );
    expect(found).toEqual([]);
  });
});
