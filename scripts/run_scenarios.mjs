// Bundles the steps and runs the scenarios, with a JSON report when asked:
// run_scenarios.mjs [REPORT.json] [--name TEXT]
import {spawnSync} from 'node:child_process';
import {build} from 'esbuild';

const STEPS = 'packages/lovagepond-scenarios/src/index.ts';
const BUNDLE = 'dist/scenarios.cjs';

const [report, ...rest] = process.argv.slice(2);

await build({
  entryPoints: [STEPS],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  sourcemap: 'inline',
  sourcesContent: false,
  logLevel: 'warning',
  external: ['@cucumber/cucumber'],
});

const formats = ['--format', 'progress'];
if (report) formats.push('--format', `json:${report}`);
const {status} = spawnSync(
  process.execPath,
  [
    '--enable-source-maps',
    'node_modules/@cucumber/cucumber/bin/cucumber.js',
    ...formats,
    ...rest,
  ],
  {stdio: 'inherit'},
);
process.exit(status ?? 1);
