// Bundles the program as the platform runs it: target/lovagepond.cjs loads
// target/program.cjs with the code that V8 compiled from it at build time.
// Compiling it anew is a third of a start: 90 of 310 ms on a whole core.
import {execFileSync} from 'node:child_process';
import {mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle_options.mjs';

// V8 takes compiled code only under the flags that it was compiled under, so
// these are the flags of every role in deploy/system.toml.
const NODE_FLAGS = ['--max-old-space-size=160'];

/** How the program ends when it isn't told its settings file. */
const USAGE_EXIT_CODE = 2;

const PROGRAM = 'target/program.cjs';
const LOADER = 'target/lovagepond.cjs';

// Code is kept for each role apart. It is written by a run without settings,
// which loads the role's code, prints the usage and ends.
const ROLES = ['control', 'gateway'];
const LOADER_SOURCE = `'use strict';
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {Script} = require('node:vm');
const {wrap} = require('node:module');
const filename = __dirname + '/program.cjs';
const cache = __dirname + '/' + process.argv[2] + '.cache';
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
const source = wrap(readFileSync(filename, 'utf8'));
const script = new Script(source, {filename, cachedData});
script.runInThisContext()(exports, require, module, filename, __dirname);
if (process.argv[3] === '--write-cache') {
  process.on('exit', () => writeFileSync(cache, script.createCachedData()));
}
`;

mkdirSync('target', {recursive: true});
await build({
  ...BUNDLE_OPTIONS,
  sourcemap: false,
  minifyWhitespace: true,
  minifySyntax: true,
  entryPoints: ['platform/src/main.ts'],
  outfile: PROGRAM,
});
writeFileSync(LOADER, LOADER_SOURCE);
for (const role of ROLES) {
  try {
    const args = [...NODE_FLAGS, LOADER, role, '--write-cache'];
    execFileSync(process.execPath, args, {stdio: 'ignore', env: {}});
  } catch (err) {
    if (err.status !== USAGE_EXIT_CODE) throw err;
  }
}
