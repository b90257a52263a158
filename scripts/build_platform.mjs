// Bundles the program that the platform runs: target/lovagepond.cjs.
import {execFileSync} from 'node:child_process';
import {rmSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle_options.mjs';
import {writeProgram} from './platform_program.mjs';

const REHEARSAL = 'target/rehearsal.cjs';
const REHEARSAL_LIMIT_MS = 60_000;

/**
 * Runs the processes once to fill their code caches. A failed rehearsal, for
 * example on a host without free ports, only makes the program start slower.
 *
 * @param {readonly string[]} args arguments for the rehearsed processes
 */
function rehearse(args) {
  try {
    execFileSync(process.execPath, [REHEARSAL, ...args], {
      stdio: ['ignore', 'ignore', 'inherit'],
      timeout: REHEARSAL_LIMIT_MS,
    });
  } catch (err) {
    console.error(`rehearsal failed: ${err.message}`);
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
  // Kept out of the program text, which must be ASCII.
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
