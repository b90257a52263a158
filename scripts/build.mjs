// Bundles the program to dist/lovagepond.cjs and, unless --bundle-only is
// given, builds the single executable application dist/lovagepond from it and
// checks it with one chat.
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

const BUNDLE = 'dist/lovagepond.cjs';
const BINARY = 'dist/lovagepond';
const SEA_CONFIG = 'dist/sea-config.json';
const SEA_BLOB = 'dist/lovagepond.blob';
const CHECK_LIMIT_MS = 60_000;
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/** @param {string} entry @param {string} outfile */
async function bundle(entry, outfile) {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    sourcemap: 'linked',
    sourcesContent: false,
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: 'linked',
    logLevel: 'warning',
  });
}

/** Builds the single executable from the bundle and the running node. */
function makeBinary() {
  const config = {
    main: BUNDLE,
    output: SEA_BLOB,
    disableExperimentalSEAWarning: true,
  };
  writeFileSync(SEA_CONFIG, JSON.stringify(config));
  execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIG], {
    stdio: 'ignore',
  });
  copyFileSync(process.execPath, BINARY);
  chmodSync(BINARY, 0o755);
  execFileSync(
    'node_modules/.bin/postject',
    [BINARY, 'NODE_SEA_BLOB', SEA_BLOB, '--sentinel-fuse', SEA_FUSE],
    {stdio: 'ignore'},
  );
}

/** Runs the binary's self-check with one chat; a failure fails the build. */
function checkBinary() {
  execFileSync(BINARY, ['standalone', '--self-check'], {
    stdio: 'inherit',
    timeout: CHECK_LIMIT_MS,
  });
}

mkdirSync('dist', {recursive: true});
await bundle('packages/lovagepond-cli/src/main.ts', BUNDLE);
if (!process.argv.includes('--bundle-only')) {
  makeBinary();
  checkBinary();
}
