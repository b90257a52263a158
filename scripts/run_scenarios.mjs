// Bundles the steps and runs the scenarios. Cucumber writes a JSON report to the
// first argument, if any, and receives the other arguments as options:
// run_scenarios.mjs [REPORT.json [--name TEXT | --tags EXPRESSION]]
import {spawnSync} from 'node:child_process';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle_options.mjs';

const STEPS = 'packages/lovagepond-scenarios/src/index.ts';
const BUNDLE = 'dist/scenarios.cjs';

const [report, ...cucumberOptions] = process.argv.slice(2);

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: [STEPS],
  outfile: BUNDLE,
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
    ...cucumberOptions,
  ],
  {stdio: 'inherit'},
);
process.exit(status ?? 1);
