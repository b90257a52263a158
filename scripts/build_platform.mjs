// Bundles the program as the platform runs it to target/lovagepond.cjs.
import {mkdirSync} from 'node:fs';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle_options.mjs';

mkdirSync('target', {recursive: true});
await build({
  ...BUNDLE_OPTIONS,
  sourcemap: false,
  minifyWhitespace: true,
  minifySyntax: true,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/lovagepond.cjs',
});
