/**
 * Runs one scenario and collects what callers, servers and gateways saw.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {withTemporaryFolder} from './measure_disk.js';
import {OverloadCallers} from './overload_callers.js';
import {OverloadFleet} from './overload_fleet.js';
import {
  type BackendCounts,
  OUTCOME,
  type OverloadOptions,
  type OverloadRun,
  type OverloadScenario,
  type RequestRecord,
} from './overload_types.js';

const DELAY_RESOLUTION_MS = 10;
const NANOSECONDS_PER_MS = 1e6;

function sleepUntil(at: number): Promise<void> {
  const waitMs = Math.max(0, at - performance.now());
  return new Promise(resolve => setTimeout(resolve, waitMs));
}

function countUntrue(
  records: readonly RequestRecord[],
  {startedIds}: BackendCounts,
): number {
  const started = new Set(startedIds);
  return records.filter(
    ({id, outcome}) => outcome === OUTCOME.REFUSED && started.has(id),
  ).length;
}

async function runOn(
  fleet: OverloadFleet,
  scenario: OverloadScenario,
  options: OverloadOptions,
): Promise<OverloadRun> {
  const {warmUpMs, seed, followsRetryAfter, admission} = options;
  await fleet.start();
  const endMs = Math.max(...scenario.windows.map(({toMs}) => toMs));
  const zeroAt = performance.now() + warmUpMs;
  const callers = new OverloadCallers({
    scenario,
    addresses: fleet.addresses,
    seed,
    followsRetryAfter,
    zeroAt,
    endMs,
  });
  const run = callers.run();
  const delay = monitorEventLoopDelay({resolution: DELAY_RESOLUTION_MS});
  await sleepUntil(zeroAt);
  const before = await fleet.count();
  if (scenario.disturbance) await fleet.disturb(scenario.disturbance);
  delay.enable();
  const processorBefore = fleet.processorUs();
  await sleepUntil(zeroAt + endMs);
  const after = await fleet.count();
  const processorUs = fleet.processorUs() - processorBefore;
  delay.disable();
  await run;
  const {records, sent} = callers;
  const finalCounts = await fleet.count();
  const measured = records.filter(({sentAtMs}) => sentAtMs >= 0).length;
  return {
    scenario,
    admission,
    sent,
    records,
    callersDelayMs:
      delay.percentile(99) / NANOSECONDS_PER_MS - DELAY_RESOLUTION_MS,
    counts: {
      busyMs: after.busyMs - before.busyMs,
      started: after.started - before.started,
      inVain: after.inVain - before.inVain,
      startedIds: finalCounts.startedIds,
    },
    untrueRefusals: countUntrue(records, finalCounts),
    processorUs: processorUs / Math.max(1, measured),
  };
}

/**
 * @param scenario the scenario
 * @param options programs, seed and variant
 * @returns the outcome of all requests, those of the warm-up included
 */
export function runOverload(
  scenario: OverloadScenario,
  options: OverloadOptions,
): Promise<OverloadRun> {
  return withTemporaryFolder(async folder => {
    const fleet = new OverloadFleet(scenario, options, folder);
    try {
      return await runOn(fleet, scenario, options);
    } finally {
      await fleet.end();
    }
  });
}
