// Builds the bundles, runs the unit tests, the scenarios and the crowd tests,
// and prints as its last line "N passed, N failed", counted from the runners'
// JSON reports. Tests listed in KNOWN-RED.txt may fail. A listed test that
// passes fails the run, unless it is a crowd test: these may be unsteady, and
// any number of them may be listed.
import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync, rmSync} from 'node:fs';

const VITEST_REPORT = 'reports/vitest.json';
const CROWD_REPORT = 'reports/crowd.json';
const CUCUMBER_REPORT = 'reports/cucumber.json';
const KNOWN_RED = 'KNOWN-RED.txt';
const MAX_KNOWN_RED = 3;

/** @typedef {{name: string, passed: boolean}} Outcome */

/** @param {string} command @param {string[]} args */
function run(command, args) {
  return spawnSync(command, args, {stdio: 'inherit'}).status ?? 1;
}

/** @param {string} file @returns {Outcome[]} */
function readVitest(file) {
  const report = JSON.parse(readFileSync(file, 'utf8'));
  return report.testResults.flatMap(file => {
    if (file.assertionResults.length === 0 && file.status === 'failed') {
      return [{name: file.name, passed: false}];
    }
    return file.assertionResults.map(test => ({
      name: test.fullName,
      passed: test.status === 'passed',
    }));
  });
}

/** @returns {Outcome[]} */
function readCucumber() {
  const report = JSON.parse(readFileSync(CUCUMBER_REPORT, 'utf8'));
  return report.flatMap(feature =>
    feature.elements.map(scenario => ({
      name: `${feature.name}: ${scenario.name}`,
      passed: scenario.steps.every(step => step.result.status === 'passed'),
    })),
  );
}

/** @returns {string[]} the names of the listed tests; " | " ends a name */
function readKnownRed() {
  if (!existsSync(KNOWN_RED)) return [];
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  return lines.filter(line => line.trim()).map(line => line.split(' | ')[0]);
}

/**
 * @param {string} report file of the report
 * @param {string[]} options
 * @returns {{status: number, outcomes: Outcome[]}}
 */
function runVitest(report, ...options) {
  const status = run('node_modules/.bin/vitest', [
    'run',
    ...options,
    '--reporter=dot',
    '--reporter=json',
    `--outputFile.json=${report}`,
  ]);
  return {status, outcomes: existsSync(report) ? readVitest(report) : []};
}

/** @returns {{status: number, outcomes: Outcome[]}} */
function runScenarios() {
  const status = run('node', ['scripts/run_scenarios.mjs', CUCUMBER_REPORT]);
  return {status, outcomes: existsSync(CUCUMBER_REPORT) ? readCucumber() : []};
}

const REPORTS = [VITEST_REPORT, CUCUMBER_REPORT, CROWD_REPORT];
mkdirSync('reports', {recursive: true});
for (const report of REPORTS) rmSync(report, {force: true});

let incomplete = run('node', ['scripts/build.mjs', '--bundle-only']) !== 0;
incomplete = run('node', ['scripts/build_platform.mjs']) !== 0 || incomplete;
const unit = runVitest(VITEST_REPORT);
const scenarios = runScenarios();
// Each crowd test measures one process, so nothing else runs beside them.
const crowds = runVitest(CROWD_REPORT, '--config', 'vitest.crowd.config.ts');
const stages = [unit, scenarios, crowds];
const outcomes = stages.flatMap(stage => stage.outcomes);
if (REPORTS.some(report => !existsSync(report))) incomplete = true;

const known = readKnownRed();
const crowdNames = new Set(crowds.outcomes.map(({name}) => name));
const steady = known.filter(name => !crowdNames.has(name));
const failed = outcomes.filter(outcome => !outcome.passed);
const unexpected = failed.filter(outcome => !known.includes(outcome.name));
const passing = known.filter(name => !failed.some(test => test.name === name));
const passingKnownRed = passing.filter(name => steady.includes(name));
for (const {name} of failed) {
  console.log(`${known.includes(name) ? 'known red' : 'FAILED'}: ${name}`);
}
for (const name of passing) {
  console.log(`listed in ${KNOWN_RED} but not failing: ${name}`);
}
if (steady.length > MAX_KNOWN_RED)
  console.log(`${KNOWN_RED}: over three lines`);
if (incomplete) console.log('a build failed or a test runner wrote no report');
const runnerFailed =
  stages.some(({status}) => status !== 0) && failed.length === 0;
if (runnerFailed) console.log('a test runner failed although no test did');
const hasFailed =
  incomplete ||
  runnerFailed ||
  unexpected.length > 0 ||
  passingKnownRed.length > 0 ||
  steady.length > MAX_KNOWN_RED;
const passed = outcomes.length - failed.length;
console.log(`${passed} passed, ${unexpected.length} failed`);
process.exit(hasFailed || outcomes.length === 0 ? 1 : 0);
