/**
 * Claims a second, compared with syncs a second and with the rate of bare
 * appends and syncs of the same batches on the same disk in the same run.
 */
import {join} from 'node:path';
import {startLedgerGroup} from './control_group.js';
import {measureBareAppends, withTemporaryFolder} from './measure_disk.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const CONCURRENCIES = [1, 16, 64, 256] as const;
const GROUP_SIZES = [1, 3] as const;
const RUN_MS = 1_500;
const BARE_RUN_MS = 800;
/** Bytes of one claim in a log file, with frame and entry header. */
const CLAIM_BYTES = 420;

interface ClaimRun {
  readonly claimsPerSecond: number;
  readonly syncsPerSecond: number;
  readonly batch: number;
}

type Group = Awaited<ReturnType<typeof startLedgerGroup>>;

let nextCall = 0;

async function claimUntil(group: Group, endAt: number): Promise<number> {
  let granted = 0;
  while (performance.now() < endAt) {
    const call = (nextCall += 1);
    const {outcome} = await group.leader.claim({
      workspace: `workspace-${call % 10}`,
      idempotencyKey: `redemption-${call.toString().padStart(26, '0')}`,
      bodyDigest: Buffer.alloc(32, call),
      backendServer: `muc-riem-engine-${call % 640}`,
      incarnation: `8d3f0a52-6c1e-4b7a-9f10-${(call % 640) + 1e11}`,
      attemptId: `b1946ac9-2492-4d23-8c6e-${call + 1e11}`,
    });
    if (outcome === 'granted') granted += 1;
  }
  return granted;
}

async function runClaims(group: Group, concurrency: number): Promise<ClaimRun> {
  const syncsBefore = group.syncs();
  const started = performance.now();
  const callers = Array.from({length: concurrency}, () =>
    claimUntil(group, started + RUN_MS),
  );
  const granted = (await Promise.all(callers)).reduce((sum, n) => sum + n, 0);
  const seconds = (performance.now() - started) / 1000;
  const syncs = group.syncs() - syncsBefore;
  return {
    claimsPerSecond: granted / seconds,
    syncsPerSecond: syncs / seconds,
    batch: granted / Math.max(1, syncs),
  };
}

async function measureGroup(size: number): Promise<(string | number)[][]> {
  return withTemporaryFolder(async folder => {
    const group = await startLedgerGroup(size, folder);
    await runClaims(group, 64);
    const runBare = (bytes: number): Promise<number> =>
      measureBareAppends(join(folder, 'bare'), bytes, BARE_RUN_MS);
    const rows: (string | number)[][] = [];
    for (const concurrency of CONCURRENCIES) {
      const before = await runBare(CLAIM_BYTES);
      const run = await runClaims(group, concurrency);
      const after = await runBare(CLAIM_BYTES * run.batch);
      const limit = ((before + after) / 2) * run.batch;
      rows.push([
        size,
        concurrency,
        Math.round(run.claimsPerSecond),
        Math.round(run.syncsPerSecond),
        roundTo(run.batch, 1),
        Math.round((before + after) / 2),
        roundTo(limit / run.claimsPerSecond, 2),
      ]);
    }
    await group.stop();
    return rows;
  });
}

/** @returns claims a second by group size and concurrent claims */
export async function measureClaimRate(): Promise<MeasureSection> {
  const rows: (string | number)[][] = [];
  for (const size of GROUP_SIZES) rows.push(...(await measureGroup(size)));
  return {
    title: 'Claims a second, and the disk in the same run',
    columns: [
      'members',
      'concurrent',
      'claims/s',
      'syncs/s',
      'claims/sync',
      'bare syncs/s',
      'batched limit / claims',
    ],
    rows,
    notes: [
      'members share one process, one core and one disk; syncs: the leader',
      'batched limit: rate of bare append and sync of the batch, times its size',
      `each run ${RUN_MS} ms, bare runs before and after ${BARE_RUN_MS} ms`,
    ],
  };
}
