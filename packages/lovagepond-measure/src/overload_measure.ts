/**
 * `npm run measure -- overload [options]`: goodput, fairness and the time until
 * callers are told under overload, with real control members and gateways.
 */
import {execFileSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {runBackendProcess} from './overload_backends.js';
import {runControlProcess} from './overload_control.js';
import {type MeasureSection} from './measure_types.js';
import {type OverloadSummary, summarize, toSection} from './overload_report.js';
import {runOverload} from './overload_run.js';
import {OVERLOAD_SCENARIOS} from './overload_scenarios.js';
import {plotGoodput} from './overload_svg.js';

const DEFAULT_SEED = '11';

/** Entry points of the processes that the measurement starts, by argument. */
export const OVERLOAD_PROCESSES: Readonly<Record<string, () => void>> = {
  'overload-backends': runBackendProcess,
  'overload-control': runControlProcess,
};

const OPTIONS = {
  /** Runs the scenarios whose name contains this text; repeatable. */
  only: {type: 'string', multiple: true},
  /** `off`, `on` or `both`. */
  admission: {type: 'string', default: 'both'},
  seed: {type: 'string', default: DEFAULT_SEED},
  /** Callers resend once after the time in Retry-After. */
  'retry-after': {type: 'boolean', default: false},
  /** Milliseconds before the first window. */
  'warm-up': {type: 'string', default: '2000'},
  json: {type: 'string'},
  svg: {type: 'string'},
} as const;

/**
 * @param args options of the command line
 * @returns one table per scenario
 */
export async function measureOverload(
  args: readonly string[],
): Promise<readonly MeasureSection[]> {
  const {values} = parseArgs({args: [...args], options: OPTIONS});
  const variants = [false, true].filter(
    on =>
      values.admission === 'both' || values.admission === (on ? 'on' : 'off'),
  );
  const scenarios = OVERLOAD_SCENARIOS.filter(({name}) =>
    (values.only ?? ['']).some(text => name.includes(text)),
  );
  if (variants.length === 0 || scenarios.length === 0) {
    throw new Error(`no scenario is selected by: ${args.join(' ')}`);
  }
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(1));
  }
  execFileSync(process.execPath, ['scripts/build.mjs', '--bundle-only']);
  const summaries: OverloadSummary[] = [];
  const sections: MeasureSection[] = [];
  for (const scenario of scenarios) {
    const own: OverloadSummary[] = [];
    for (const admission of variants) {
      const run = await runOverload(scenario, {
        admission,
        seed: Number(values.seed),
        warmUpMs: Number(values['warm-up']),
        followsRetryAfter: values['retry-after'],
        product: 'dist/lovagepond.cjs',
        program: process.argv[1] ?? '',
      });
      own.push(summarize(run));
    }
    summaries.push(...own);
    sections.push(
      toSection(scenario.name, own, [
        `npm run measure -- overload --only ${scenario.name}; seed ${values.seed}; ${scenario.gateways} gateways`,
      ]),
    );
    console.error(
      `${scenario.name}: ${JSON.stringify(own.map(one => one.rows))}`,
    );
  }
  if (values.json) {
    writeFileSync(values.json, JSON.stringify(summaries, undefined, 2));
  }
  if (values.svg) writeFileSync(values.svg, plotGoodput(summaries));
  return sections;
}
