// Bundles the program as the platform runs it: target/lovagepond.cjs.
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle_options.mjs';
import {writeProgram} from './platform_program.mjs';

const {outputFiles} = await build({
  ...BUNDLE_OPTIONS,
  sourcemap: false,
  minifyWhitespace: true,
  minifySyntax: true,
  entryPoints: ['platform/src/main.ts'],
  write: false,
});
writeProgram({
  folder: 'target',
  loader: 'lovagepond.cjs',
  text: outputFiles[0].text,
  roles: ['control', 'gateway'],
  // The flags of every role in deploy/system.toml.
  flags: ['--max-old-space-size=160'],
});
