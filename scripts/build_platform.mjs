// Bundles the program as the platform runs it: target/lovagepond.cjs.
import {execFileSync} from 'node:child_process';
import {rmSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle_options.mjs';
import {writeProgram} from './platform_program.mjs';

const REHEARSAL = 'target/rehearsal.cjs';
const REHEARSAL_LIMIT_MS = 60_000;

/**
 * Without a rehearsal, on a host without free ports, the program still runs: it
 * starts more slowly.
 *
 * @param {readonly string[]} args arguments of the processes to be rehearsed
 */
function rehearse(args) {
  try {
    execFileSync(process.execPath, [REHEARSAL, ...args], {
      stdio: ['ignore', 'ignore', 'inherit'],
      timeout: REHEARSAL_LIMIT_MS,
    });
  } catch (err) {
    console.error(`no rehearsal: ${err.message}`);
  }
}

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['platform/src/rehearsal.ts'],
  outfile: REHEARSAL,
});
const {outputFiles} = await build({
  ...BUNDLE_OPTIONS,
  sourcemap: false,
  // Not in the text, which must be ASCII.
  legalComments: 'external',
  outfile: 'target/lovagepond.cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  entryPoints: ['platform/src/main.ts'],
  write: false,
});
const [legal, program] = outputFiles;
writeProgram({
  folder: 'target',
  loader: 'lovagepond.cjs',
  text: program.text,
  roles: ['control', 'gateway'],
  rehearse,
});
writeFileSync(legal.path, legal.text);
rmSync(REHEARSAL);
