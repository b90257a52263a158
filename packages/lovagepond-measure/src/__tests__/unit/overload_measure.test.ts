import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {build} from 'esbuild';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {summarize} from '../../overload_report.js';
import {runOverload} from '../../overload_run.js';
import {OVERLOAD_SCENARIOS} from '../../overload_scenarios.js';
import {OUTCOME, type OverloadScenario} from '../../overload_types.js';

const BUILD_LIMIT_MS = 30_000;
const folder = mkdtempSync(join(tmpdir(), 'lovagepond-overload-'));
const product = join(folder, 'product.cjs');
const program = join(folder, 'measure.cjs');

async function bundle(entry: string, outfile: string): Promise<void> {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
  });
}

beforeAll(async () => {
  await bundle('packages/lovagepond-cli/src/main.ts', product);
  await bundle('packages/lovagepond-measure/src/measure_main.ts', program);
}, BUILD_LIMIT_MS);

afterAll(() => {
  rmSync(folder, {recursive: true});
});

/** Three times the capacity of 100 calls a second, for about a second. */
const SCENARIO: OverloadScenario = {
  ...OVERLOAD_SCENARIOS[0]!,
  backends: {...OVERLOAD_SCENARIOS[0]!.backends, count: 2, slots: 2, queue: 4},
  groups: [{workspace: 'w', kind: 'call', load: 3}],
  windows: [{name: 'all', fromMs: 0, toMs: 800}],
};

// Guards against a request that is answered twice or never, and against a
// refusal "not run" of a request that a server has run.
test('under overload each caller gets exactly one true answer', async () => {
  const run = await runOverload(SCENARIO, {
    admission: false,
    seed: 3,
    warmUpMs: 200,
    followsRetryAfter: false,
    product,
    program,
  });
  const {records, counts} = run;
  const idsOf = (outcome: string): string[] =>
    records.filter(one => one.outcome === outcome).map(({id}) => id);
  expect(new Set(records.map(({id}) => id)).size).toBe(run.sent);
  expect(records.length).toBe(run.sent);
  expect(records.length).toBeGreaterThan(100);
  const served = idsOf(OUTCOME.SERVED);
  const refused = idsOf(OUTCOME.REFUSED);
  expect(served.length).toBeGreaterThan(0);
  expect(refused.length).toBeGreaterThan(0);
  const started = new Set(counts.startedIds);
  expect(served.filter(id => !started.has(id))).toEqual([]);
  expect(refused.filter(id => started.has(id))).toEqual([]);
  expect(run.untrueRefusals).toBe(0);
  const [row] = summarize(run).rows;
  const {within = 0, late = 0, refused: part = 0, failed = 0} = row ?? {};
  expect(within + late + part + failed).toBeCloseTo(1, 2);
});
