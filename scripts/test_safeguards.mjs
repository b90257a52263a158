// Mutation check. Each entry of the lists has edits that remove one safeguard,
// and names a scenario or unit test. In a scratch copy, this test must pass
// without the edits; with them, only this test runs, and it must fail. Arguments
// select entries whose test name contains one of them.
import {spawnSync} from 'node:child_process';
import {
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

const LISTS = [
  'scripts/safeguards.json',
  'scripts/safeguards_addresses.json',
  'scripts/safeguards_clients.json',
  'scripts/safeguards_control.json',
  'scripts/safeguards_durations.json',
  'scripts/safeguards_quarantine.json',
  'scripts/safeguards_retries.json',
  'scripts/safeguards_scenarios.json',
  'scripts/safeguards_stop.json',
  'scripts/safeguards_streams.json',
  'scripts/safeguards_warm_up.json',
];
const REPORT = 'reports/safeguard.json';
const NOT_COPIED = new Set(['.git', 'node_modules', 'dist', 'reports']);
const SCOPE = '@lovagepond';

/** @typedef {{file: string, find: string, replace: string}} Edit */

/**
 * An entry names either `scenario`, or `test` with its `testFile`. Its edits
 * are applied together, as some safeguards are in two places.
 *
 * @typedef {{edits: Edit[], scenario?: string, test?: string,
 *   testFile?: string}} Safeguard
 */

/** Links the installed dependencies, and the copies of the packages. */
function linkModules(copy) {
  const modules = join(copy, 'node_modules');
  mkdirSync(join(modules, SCOPE), {recursive: true});
  for (const name of readdirSync('node_modules')) {
    if (name === SCOPE) continue;
    symlinkSync(resolve('node_modules', name), join(modules, name));
  }
  for (const folder of readdirSync(join(copy, 'packages'))) {
    const name = folder.replace('lovagepond-', '');
    const target = join(copy, 'packages', folder);
    symlinkSync(target, join(modules, SCOPE, name));
  }
}

/** @returns {string} the folder of a scratch copy of the working tree */
function makeCopy() {
  const copy = mkdtempSync(join(tmpdir(), 'safeguards-'));
  for (const name of readdirSync('.')) {
    if (NOT_COPIED.has(name)) continue;
    const filter = source => !source.includes('node_modules');
    cpSync(name, join(copy, name), {recursive: true, filter});
  }
  linkModules(copy);
  mkdirSync(join(copy, 'dist'));
  mkdirSync(join(copy, 'reports'));
  return copy;
}

/** @param {string} text @returns {string} a pattern for exactly this text */
function makeExactPattern(text) {
  return `^${text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')}$`;
}

/** @typedef {{name: string, passed: boolean}} Outcome */

/** @param {string[]} args @returns {Outcome[]} the scenarios that ran */
function runScenarios(copy, args) {
  rmSync(join(copy, REPORT), {force: true});
  const command = ['scripts/run_scenarios.mjs', REPORT, ...args];
  spawnSync(process.execPath, command, {cwd: copy, stdio: 'ignore'});
  if (!existsSync(join(copy, REPORT))) return [];
  const features = JSON.parse(readFileSync(join(copy, REPORT), 'utf8'));
  return features
    .flatMap(feature => feature.elements)
    .map(({name, steps}) => ({
      name,
      passed: steps.every(step => step.result.status === 'passed'),
    }));
}

/** @returns {boolean[]} for each scenario with the name, whether it passed */
function runScenario(copy, name) {
  return runScenarios(copy, ['--name', makeExactPattern(name)]).map(
    scenario => scenario.passed,
  );
}

/** @returns {boolean[]} for each unit test with the name, whether it passed */
function runUnitTest(copy, file, name) {
  const args = ['run', file, '-t', name, '--reporter=json'];
  const vitest = join(copy, 'node_modules/.bin/vitest');
  spawnSync(vitest, [...args, `--outputFile.json=${REPORT}`], {
    cwd: copy,
    stdio: 'ignore',
  });
  if (!existsSync(join(copy, REPORT))) return [];
  const report = JSON.parse(readFileSync(join(copy, REPORT), 'utf8'));
  return report.testResults
    .flatMap(result => result.assertionResults)
    .filter(test => test.status !== 'skipped' && test.status !== 'pending')
    .map(test => test.status === 'passed');
}

/** @param {Safeguard} entry @returns {boolean[]} */
function runTest(copy, entry) {
  rmSync(join(copy, REPORT), {force: true});
  if (entry.scenario) return runScenario(copy, entry.scenario);
  return runUnitTest(copy, entry.testFile, entry.test);
}

/** @param {Edit} edit @returns {boolean} whether its text occurs once */
function applyEdit(copy, {file, find, replace}) {
  const path = join(copy, file);
  const source = readFileSync(path, 'utf8');
  if (source.split(find).length !== 2) return false;
  writeFileSync(
    path,
    source.replace(find, () => replace),
  );
  return true;
}

/**
 * @param {Safeguard} entry
 * @param {Outcome[]} scenarios results of all scenarios without edits
 * @returns {boolean[]} for each test with the name, whether it passes
 */
function findBaseline(copy, entry, scenarios) {
  if (!entry.scenario) return runTest(copy, entry);
  return scenarios
    .filter(({name}) => name === entry.scenario)
    .map(({passed}) => passed);
}

/**
 * @param {Safeguard} entry
 * @param {Outcome[]} scenarios results of all scenarios without edits
 * @returns {string} the problem; empty if the test detects the mutation
 */
function checkEntry(copy, entry, scenarios) {
  const baseline = findBaseline(copy, entry, scenarios);
  if (baseline.length !== 1) return `${baseline.length} tests have this name`;
  if (!baseline[0]) return 'fails with its safeguard in place';
  const applied = entry.edits.every(edit => applyEdit(copy, edit));
  const mutated = applied ? runTest(copy, entry) : [];
  for (const {file} of entry.edits) cpSync(file, join(copy, file));
  if (!applied) return 'the text to replace does not occur exactly once';
  if (mutated.length !== 1) return 'did not run without its safeguard';
  return mutated[0] ? 'passes without its safeguard' : '';
}

/** @type {Safeguard[]} */
const safeguards = LISTS.flatMap(list =>
  JSON.parse(readFileSync(list, 'utf8')),
);
const filters = process.argv.slice(2);
const entries = safeguards.filter(entry => {
  const name = entry.scenario ?? entry.test ?? '';
  return filters.length === 0 || filters.some(filter => name.includes(filter));
});
const copy = makeCopy();
let failed = 0;
try {
  const scenarios = runScenarios(copy, ['--tags', 'not @processes']);
  for (const entry of entries) {
    const problem = checkEntry(copy, entry, scenarios);
    if (problem) failed += 1;
    const verdict = problem ? `FAILED (${problem})` : 'fails as it must';
    console.log(`${entry.scenario ?? entry.test}`);
    for (const {file, find} of entry.edits) {
      console.log(`  without: ${file}: ${find.trim().split('\n')[0]}`);
    }
    console.log(`  ${verdict}`);
  }
} finally {
  rmSync(copy, {recursive: true, force: true});
}
console.log(`${entries.length - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
