/**
 * Tables and figures of the overload measurement.
 */
import {percentOf, roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {
  capacityOf,
  OUTCOME,
  type OverloadRun,
  type RequestRecord,
  TIMES,
  type Window,
} from './overload_types.js';

/** One row: a group of callers, or all, within one window. */
export interface OverloadRow {
  readonly admission: boolean;
  readonly window: string;
  readonly callers: string;
  /** Requests per second relative to the usable capacity. */
  readonly offered: number;
  /** Parts of the requests. */
  readonly within: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Responses within target per second relative to the usable capacity. */
  readonly goodput: number;
  /** Time until unserved callers are told or leave, milliseconds. */
  readonly toldMedianMs: number;
  readonly toldP95Ms: number;
}

/** One run as it goes into the JSON file. */
export interface OverloadSummary {
  readonly scenario: string;
  readonly admission: boolean;
  readonly rows: readonly OverloadRow[];
  /** Part of the started work (prompts, calls) that was in vain. */
  readonly inVain: number;
  /** Busy part of the servers' time, over all windows. */
  readonly busy: number;
  readonly processorUs: number;
  readonly untrueRefusals: number;
  /** See `OverloadRun`; times of callers are too long by up to this. */
  readonly callersDelayMs: number;
  readonly requests: number;
}

/** @returns the value at this part of the sorted list; 0 for an empty one */
function quantile(sorted: readonly number[], part: number): number {
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * part));
  return sorted[at] ?? 0;
}

function partOf(count: number, whole: number): number {
  return roundTo(percentOf(count, whole) / 100, 3);
}

function summarizeRow(
  {scenario, admission}: OverloadRun,
  window: Window,
  callers: string,
  all: readonly RequestRecord[],
): OverloadRow {
  const {backends} = scenario;
  const {targetMs} = TIMES[backends.kind];
  const records = all.filter(
    ({sentAtMs}) => sentAtMs >= window.fromMs && sentAtMs < window.toMs,
  );
  const served = records.filter(one => one.outcome === OUTCOME.SERVED);
  const isStream = backends.kind === 'engine';
  const within = served.filter(
    ({firstMs, endMs}) => (isStream ? firstMs : endMs) <= targetMs,
  ).length;
  const unserved = records.filter(one => one.outcome !== OUTCOME.SERVED);
  const told = unserved.map(({endMs}) => endMs).sort((a, b) => a - b);
  const refused = unserved.filter(one => one.outcome === OUTCOME.REFUSED);
  const seconds = (window.toMs - window.fromMs) / 1_000;
  const capacity = capacityOf(backends) * (window.capacity ?? 1) * seconds;
  return {
    admission,
    window: window.name,
    callers,
    offered: partOf(records.length, capacity),
    within: partOf(within, records.length),
    late: partOf(served.length - within, records.length),
    refused: partOf(refused.length, records.length),
    failed: partOf(unserved.length - refused.length, records.length),
    goodput: partOf(within, capacity),
    toldMedianMs: roundTo(quantile(told, 0.5), 0),
    toldP95Ms: roundTo(quantile(told, 0.95), 0),
  };
}

/**
 * @param run one run of a scenario
 * @returns its figures
 */
export function summarize(run: OverloadRun): OverloadSummary {
  const {scenario, records, counts, admission} = run;
  const {groups, windows, backends} = scenario;
  const rows = windows.flatMap(window => {
    const byGroup = groups.map(({workspace, kind}, index) => {
      const own = records.filter(({group}) => group === index);
      return summarizeRow(run, window, `${workspace}/${kind}`, own);
    });
    if (groups.length === 1) return byGroup;
    return [...byGroup, summarizeRow(run, window, 'all', records)];
  });
  const lanes = backends.kind === 'engine' ? 1 : backends.slots;
  const runMs = Math.max(...windows.map(({toMs}) => toMs));
  return {
    scenario: scenario.name,
    admission,
    rows,
    inVain: partOf(counts.inVain, counts.started),
    busy: partOf(counts.busyMs, runMs * lanes * backends.count),
    processorUs: roundTo(run.processorUs, 0),
    untrueRefusals: run.untrueRefusals,
    callersDelayMs: roundTo(run.callersDelayMs, 0),
    requests: records.filter(({sentAtMs}) => sentAtMs >= 0).length,
  };
}

/** Headings of a row's columns, and their values. */
const COLUMNS: readonly (readonly [string, keyof OverloadRow])[] = [
  ['window', 'window'],
  ['callers', 'callers'],
  ['offered', 'offered'],
  ['within', 'within'],
  ['goodput', 'goodput'],
  ['late', 'late'],
  ['refused', 'refused'],
  ['failed', 'failed'],
  ['told p50 ms', 'toldMedianMs'],
  ['told p95 ms', 'toldP95Ms'],
];

/**
 * @param name the scenario's name
 * @param summaries its runs
 * @param notes lines below the table
 * @returns the table; figures of a whole run are in its last row
 */
export function toSection(
  name: string,
  summaries: readonly OverloadSummary[],
  notes: readonly string[],
): MeasureSection {
  const rows = summaries.flatMap(({rows: own, inVain, busy, processorUs}) =>
    own.map((row, at) => [
      row.admission ? 'on' : 'off',
      ...COLUMNS.map(([, field]) => String(row[field])),
      ...(at === own.length - 1 ? [inVain, busy, processorUs] : ['', '', '']),
    ]),
  );
  const delays = summaries.map(({callersDelayMs}) => callersDelayMs).join(', ');
  const untrue = summaries.map(({untrueRefusals}) => untrueRefusals).join(', ');
  return {
    title: `Overload: ${name}`,
    columns: [
      'admission',
      ...COLUMNS.map(([heading]) => heading),
      'in vain',
      'busy',
      'us/request',
    ],
    rows,
    notes: [
      ...notes,
      `by run: event loop delay of the callers, p99, ms: ${delays}; untrue refusals "not run": ${untrue}`,
    ],
  };
}
