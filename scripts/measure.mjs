// Bundles the measurements and runs them: `npm run measure -- [name ...]`.
import {execFileSync} from 'node:child_process';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle_options.mjs';

const PRODUCT = 'packages/lovagepond-measure/src/measure_main.ts';

/** Measurements of the bundle that the platform runs; name to entry point. */
const PLATFORM = {
  start: 'platform/src/start_measure.ts',
  skew: 'platform/src/skew_measure.ts',
};

/** @param {string} entry @param {readonly string[]} args */
async function run(entry, args) {
  const outfile = 'dist/measure.cjs';
  await build({...BUNDLE_OPTIONS, entryPoints: [entry], outfile});
  try {
    execFileSync(process.execPath, [outfile, ...args], {stdio: 'inherit'});
  } catch {
    process.exitCode = 1;
  }
}

const names = process.argv.slice(2);
const productNames = names.filter(name => !Object.hasOwn(PLATFORM, name));
if (names.length === 0 || productNames.length > 0)
  await run(PRODUCT, productNames);
for (const [name, entry] of Object.entries(PLATFORM)) {
  if (names.length === 0 || names.includes(name)) await run(entry, []);
}
