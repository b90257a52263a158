// Bundles the measures and runs them: `npm run measure -- [name ...]`.
import {execFileSync} from 'node:child_process';
import {build} from 'esbuild';

const BUNDLE = 'dist/measure.cjs';

await build({
  entryPoints: ['packages/lovagepond-measure/src/measure_main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  sourcemap: 'inline',
  sourcesContent: false,
  logLevel: 'warning',
});
try {
  const args = [BUNDLE, ...process.argv.slice(2)];
  execFileSync(process.execPath, args, {stdio: 'inherit'});
} catch {
  process.exitCode = 1;
}
