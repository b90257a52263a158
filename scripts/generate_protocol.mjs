// Regenerates packages/lovagepond-protocol/src/generated from the .proto file.
// The result is committed: neither the build nor the tests run this.
import {execFileSync} from 'node:child_process';
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';

const PROTO = 'packages/lovagepond-protocol/proto/lovagepond.proto';
const OUT = 'packages/lovagepond-protocol/src/generated';
const JS = `${OUT}/lovagepond.js`;

mkdirSync(OUT, {recursive: true});
const flags = ['-t', 'static-module', '-w', 'es6', '--force-number'];
execFileSync(
  'node_modules/.bin/pbjs',
  [
    ...flags,
    '--no-verify',
    '--no-delimited',
    '--no-service',
    '--no-convert',
    '-o',
    JS,
    PROTO,
  ],
  {stdio: 'inherit'},
);
execFileSync('node_modules/.bin/pbts', ['-o', `${OUT}/lovagepond.d.ts`, JS], {
  stdio: 'inherit',
});

// The declarations import the "long" package although no field uses it with
// --force-number. An empty type replaces the import.
const types = `${OUT}/lovagepond.d.ts`;
const text = readFileSync(types, 'utf8');
writeFileSync(
  types,
  text.replace('import Long = require("long");', 'type Long = never;'),
);
