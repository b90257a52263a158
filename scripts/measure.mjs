// Bundles the measures and runs them: `npm run measure -- [name ...]`.
import {execFileSync} from 'node:child_process';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle_options.mjs';

const BUNDLE = 'dist/measure.cjs';

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['packages/lovagepond-measure/src/measure_main.ts'],
  outfile: BUNDLE,
});
try {
  const args = [BUNDLE, ...process.argv.slice(2)];
  execFileSync(process.execPath, args, {stdio: 'inherit'});
} catch {
  process.exitCode = 1;
}
