// Runs property tests with a fresh seed, which it prints; tests that name a
// seed of their own keep it.
// Usage: node scripts/test_properties.mjs [--seed N] [--runs N] [FILE...]
import {spawnSync} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {parseArgs} from 'node:util';

const MAX_SEED = 2 ** 31;

const {values, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    seed: {type: 'string'},
    runs: {type: 'string', default: '1000'},
  },
});
const seed = values.seed ?? String(randomInt(MAX_SEED));
console.log(`seed ${seed}, ${values.runs} runs of each property`);
const env = {
  ...process.env,
  PROPERTY_SEED: seed,
  PROPERTY_RUNS: values.runs,
};
const args = ['run', ...positionals, '--testTimeout=600000'];
const {status} = spawnSync('node_modules/.bin/vitest', args, {
  env,
  stdio: 'inherit',
});
process.exit(status ?? 1);
